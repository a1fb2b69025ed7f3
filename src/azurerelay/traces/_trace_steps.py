"""The lines of a trace."""

from dataclasses import dataclass, field
from typing import Annotated, ClassVar, Final, Literal

import pydantic

from azurerelay.endpoints import Scalar

_Strict = pydantic.ConfigDict(extra="forbid", strict=True, frozen=True)
EVERY_MS: Final = 20.0
Milliseconds = Annotated[float, pydantic.Field(ge=0, le=3_600_000)]


@dataclass(frozen=True, slots=True)
class HeaderStep:
    """The first line: the deployment, the seed and what the trace is about."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _Strict

    step: Literal["header"]
    about: str
    shape: Literal["childcare", "alert desk"]
    seed: int


@dataclass(frozen=True, slots=True)
class Expectation:
    """What an answer must be; a field that is left out may be anything."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _Strict

    outcome: Literal["done", "not_run", "unknown", "host died"] | None = None
    code: str | None = None
    rows: list[list[Scalar]] | None = None
    from_replica: bool | None = None
    replay: bool | None = None
    within_ms: Milliseconds | None = None
    max_staleness_ms: Milliseconds | None = None


@dataclass(frozen=True, slots=True)
class RequestStep:
    """A request at a time; `session` and `transaction` name earlier results."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _Strict

    step: Literal["read", "write", "begin", "commit", "rollback"]
    at_ms: Milliseconds
    entry: str
    group: str
    expect: Expectation
    statement: str = ""
    parameters: list[Scalar] = field(default_factory=list)
    idempotent: bool = False
    key: str | None = None
    session: str | None = None
    transaction: str | None = None
    max_staleness_ms: int | None = None
    timeout_ms: Milliseconds = 5_000.0


@dataclass(frozen=True, slots=True)
class FaultStep:
    """A fault, or its end; the target may be `primary:GROUP`, `replica:GROUP`."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _Strict

    step: Literal["fault"]
    at_ms: Milliseconds
    do: Literal[
        "kill endpoint",
        "restart endpoint",
        "isolate endpoint",
        "rejoin endpoint",
        "lag endpoint",
        "leave endpoint",
        "kill entry",
        "start entry",
        "drain entry",
        "kill control",
        "start control",
        "lose disk",
        "isolate host",
        "heal host",
        "freeze host",
        "thaw host",
    ]
    target: str
    lag_ms: Milliseconds = 0.0


@dataclass(frozen=True, slots=True)
class ChangeStep:
    """A change of one setting, with the status that it must get.

    With `times` it is made that often, `EVERY_MS` apart, each based on the one before.
    """

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _Strict

    step: Literal["change"]
    at_ms: Milliseconds
    path: str
    key: str
    value: bool | int | str
    expect: Literal["accepted", "conflict", "invalid"]
    change_id: str
    based_on: int
    control: str = "control-1"
    number: int | None = None
    times: Annotated[int, pydantic.Field(ge=1, le=1_000)] = 1


@dataclass(frozen=True, slots=True)
class CheckStep:
    """A condition that must hold at a time."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _Strict

    step: Literal["check"]
    at_ms: Milliseconds
    number_everywhere: int | None = None
    primary_of: str | None = None
    is_primary: str | None = None
    promotions_of: str | None = None
    promotions: int | None = None
    audit_contains: str | None = None
    statements_since_start_of: str | None = None
    leaders: int | None = None


Step = HeaderStep | RequestStep | FaultStep | ChangeStep | CheckStep


def _kind(value: object) -> str:
    step = value.get("step") if isinstance(value, dict) else None
    return str(step) if step in _OTHER_STEPS else "request"


_OTHER_STEPS: Final = ("header", "fault", "change", "check")
STEP_ADAPTER: Final[pydantic.TypeAdapter[Step]] = pydantic.TypeAdapter(
    Annotated[
        Annotated[HeaderStep, pydantic.Tag("header")]
        | Annotated[FaultStep, pydantic.Tag("fault")]
        | Annotated[ChangeStep, pydantic.Tag("change")]
        | Annotated[CheckStep, pydantic.Tag("check")]
        | Annotated[RequestStep, pydantic.Tag("request")],
        pydantic.Discriminator(_kind),
    ]
)
