"""Models of the JSON bodies that callers and endpoints send to an entry host."""

from dataclasses import dataclass, field
from typing import Annotated, ClassVar, Final, Literal

import pydantic

from azurerelay.daemons._wire_numbers import MAX_INTEGER, NUMBER_CHECK
from azurerelay.discovery import MAX_PORT, is_word

_STRICT_CONFIG = pydantic.ConfigDict(extra="forbid", strict=True)

MAX_STATEMENT_LENGTH: Final = 64 * 1024
MAX_PARAMETERS: Final = 1_000
MAX_NAME_LENGTH: Final = 63

ParameterList = Annotated[
    list[Annotated[bool | int | float | str | None, NUMBER_CHECK]],
    pydantic.Field(max_length=MAX_PARAMETERS),
]
ResourceName = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


def _check_address(address: str) -> str:
    """Return an address `HOST:PORT`; raise if no connection to it can be tried."""
    host, _, port = address.rpartition(":")
    is_port = port.isascii() and port.isdecimal() and 1 <= int(port) <= MAX_PORT
    if not is_word(host) or not is_port:
        raise ValueError("must be HOST:PORT")
    return address


@dataclass(frozen=True, slots=True)
class StatementBody:
    """A read or write statement; `idempotent` says that a write may be repeated."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT_CONFIG

    kind: Literal["read", "write"]
    statement: Annotated[
        str, pydantic.Field(min_length=1, max_length=MAX_STATEMENT_LENGTH)
    ]
    parameters: ParameterList = field(default_factory=list)
    idempotent: bool = False


@dataclass(frozen=True, slots=True)
class AnnouncementBody:
    """The state and limits that an endpoint announces about itself."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT_CONFIG

    group: ResourceName
    address: Annotated[
        str,
        pydantic.Field(min_length=3, max_length=64),
        pydantic.AfterValidator(_check_address),
    ]
    failure_domain: ResourceName
    role: Literal["primary", "replica"]
    term: Annotated[int, pydantic.Field(ge=0, le=MAX_INTEGER)]
    position: Annotated[int, pydantic.Field(ge=0, le=MAX_INTEGER)]
    slots: Annotated[int, pydantic.Field(ge=1, le=100_000)]
    connection_limit: Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
    can_fence: bool = True
    leaving: bool = False


STATEMENT_ADAPTER: Final = pydantic.TypeAdapter(StatementBody)
ANNOUNCEMENT_ADAPTER: Final = pydantic.TypeAdapter(AnnouncementBody)
NAME_ADAPTER: Final = pydantic.TypeAdapter(ResourceName)
