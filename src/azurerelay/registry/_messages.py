"""Messages and records of the idempotency registry."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from azurerelay.endpoints import Row


@dataclass(frozen=True, slots=True)
class StoredOutcome:
    """The confirmed result of a keyed write."""

    term: int
    position: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class RegistryEntry:
    """An idempotency key, the id of its attempt, and the outcome once known.

    `fingerprint` is a digest of the request; it exposes the reuse of a key for a
    different request. `recorded_ms` is wall-clock time. `is_given_up` means that the
    attempt has ended and that it is unknown whether it has run.
    """

    key: str
    fingerprint: str
    attempt: str
    recorded_ms: int
    outcome: StoredOutcome | None = None
    is_given_up: bool = False


class IntentStatus(Enum):
    """The result of an IntentRequest at one member."""

    RECORDED = "recorded"
    KNOWN = "known"
    FULL = "full"
    PREDATES_LOSS = "predates_loss"
    WRONG_EPOCH = "wrong_epoch"
    NOT_READY = "not_ready"


@dataclass(frozen=True, slots=True)
class IntentRequest:
    """Ask a member to record an attempt at a keyed write before it runs."""

    request_id: int
    group: str
    epoch: int
    entry: RegistryEntry


@dataclass(frozen=True, slots=True)
class IntentReply:
    """Reply to an IntentRequest; `entry` is the existing entry if KNOWN, else None."""

    request_id: int
    status: IntentStatus
    entry: RegistryEntry | None


@dataclass(frozen=True, slots=True)
class OutcomeRequest:
    """Ask a member to record an attempt's outcome, or that it was given up."""

    request_id: int
    group: str
    epoch: int
    entry: RegistryEntry


@dataclass(frozen=True, slots=True)
class OutcomeReply:
    """Reply to an OutcomeRequest."""

    request_id: int
    is_recorded: bool


@dataclass(frozen=True, slots=True)
class AbortNotice:
    """Tell a member that an attempt has not run and never will."""

    group: str
    key: str
    attempt: str


@dataclass(frozen=True, slots=True)
class CollectRequest:
    """Ask a host for its entries and to refuse intents of epochs before `epoch`.

    The host returns entries only if it has been ready for `needed_epoch` or later.
    """

    request_id: int
    group: str
    epoch: int
    needed_epoch: int


@dataclass(frozen=True, slots=True)
class CollectReply:
    """Reply to a CollectRequest; empty and not ready if entries may be missing."""

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
