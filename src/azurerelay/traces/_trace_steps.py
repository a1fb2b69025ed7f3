"""The kinds of steps in a trace; each line of the file is one step.

`at_ms` counts from the start of the replay, shortly after the system has settled.
"""

from dataclasses import dataclass, field
from typing import Annotated, ClassVar, Final, Literal

import pydantic

from azurerelay.endpoints import Scalar

_Strict = pydantic.ConfigDict(extra="forbid", strict=True, frozen=True)
REPEAT_INTERVAL_MS: Final = 20.0
Milliseconds = Annotated[float, pydantic.Field(ge=0, le=3_600_000)]


@dataclass(frozen=True, slots=True)
class HeaderStep:
    """The deployment, the random seed and a description of the trace."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _Strict

    step: Literal["header"]
    about: str
    shape: Literal["childcare", "alert desk"]
    seed: int


@dataclass(frozen=True, slots=True)
class Expectation:
    """The expected answer to a request; a field that is None is not checked.

    The outcome "host died" means that the entry host was down and gave no answer.
    """

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
    """A request, sent at `at_ms` to an entry host.

    `key` is the idempotency key. `session` names a session that requests share.
    `transaction` is a name that a begin step gives to its transaction and later steps
    use.
    """

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
    """A fault or its end.

    The target is a process name, `primary:GROUP` or `replica:GROUP` for an endpoint of
    a group in that role, or `leader` for the control leader.
    """

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
    """A change of one setting and its expected status.

    `times` repeats the change every `REPEAT_INTERVAL_MS`, with `value` and `based_on`
    one higher each time. `number` is the expected settings number.
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
    """Conditions that must hold at `at_ms`.

    `is_primary` is the expected primary of the group `primary_of`, `promotions` the
    expected number of promotions in the group `promotions_of`. Other conditions that
    are None are not checked. `statements_since_start_of` is accepted but has no effect.
    """

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


def _step_tag(value: object) -> str:
    step = value.get("step") if isinstance(value, dict) else None
    return str(step) if step in _NON_REQUEST_STEPS else "request"


_NON_REQUEST_STEPS: Final = ("header", "fault", "change", "check")
STEP_ADAPTER: Final[pydantic.TypeAdapter[Step]] = pydantic.TypeAdapter(
    Annotated[
        Annotated[HeaderStep, pydantic.Tag("header")]
        | Annotated[FaultStep, pydantic.Tag("fault")]
        | Annotated[ChangeStep, pydantic.Tag("change")]
        | Annotated[CheckStep, pydantic.Tag("check")]
        | Annotated[RequestStep, pydantic.Tag("request")],
        pydantic.Discriminator(_step_tag),
    ]
)
