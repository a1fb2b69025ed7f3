"""Messages and records of the idempotency registry."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from azurerelay.endpoints import Row


@dataclass(frozen=True, slots=True)
class StoredOutcome:
    """The confirmed result of a key's one execution."""

    term: int
    position: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class RegistryEntry:
    """A key, the attempt that may run it, and its outcome once known.

    `fingerprint` identifies the request, so that a key reused for another one is
    refused. `recorded_ms` is calendar time. `is_given_up` tells that the attempt has
    ended and that nobody knows whether it has run.
    """

    key: str
    fingerprint: str
    attempt: str
    recorded_ms: int
    outcome: StoredOutcome | None = None
    is_given_up: bool = False


class IntentStatus(Enum):
    """A member's answer to an intent."""

    RECORDED = "recorded"
    KNOWN = "known"
    FULL = "full"
    PREDATES_LOSS = "predates_loss"
    WRONG_EPOCH = "wrong_epoch"
    NOT_READY = "not_ready"


@dataclass(frozen=True, slots=True)
class IntentRequest:
    """Ask a member to record a key's attempt before it runs."""

    request_id: int
    group: str
    epoch: int
    entry: RegistryEntry


@dataclass(frozen=True, slots=True)
class IntentReply:
    """A member's answer; `entry` is the one that it already has when KNOWN."""

    request_id: int
    status: IntentStatus
    entry: RegistryEntry | None


@dataclass(frozen=True, slots=True)
class OutcomeRequest:
    """Ask a member to record an outcome."""

    request_id: int
    group: str
    epoch: int
    entry: RegistryEntry


@dataclass(frozen=True, slots=True)
class OutcomeReply:
    """A member's receipt for an outcome."""

    request_id: int
    is_recorded: bool


@dataclass(frozen=True, slots=True)
class AbortNotice:
    """Tell a member that an attempt has surely not run and never will."""

    group: str
    key: str
    attempt: str


@dataclass(frozen=True, slots=True)
class CollectRequest:
    """Ask a host for its entries, complete as of an epoch, and seal it.

    A sealed host records no intent of an epoch below `epoch` any more.
    """

    request_id: int
    group: str
    epoch: int
    needed_epoch: int


@dataclass(frozen=True, slots=True)
class CollectReply:
    """A member's entries; not ready while it still collects its own."""

    request_id: int
    is_ready: bool
    entries: tuple[RegistryEntry, ...]


REGISTRY_MESSAGES: Final = (
    IntentRequest,
    IntentReply,
    OutcomeRequest,
    OutcomeReply,
    AbortNotice,
    CollectRequest,
    CollectReply,
)
