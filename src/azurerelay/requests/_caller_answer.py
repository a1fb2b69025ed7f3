"""The answer to a caller's request."""

from dataclasses import dataclass
from enum import Enum

from azurerelay.endpoints import Row


class Outcome(Enum):
    """What became of a request; `not_run` is said only when nothing has run."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ErrorCode(Enum):
    """Why a request is not done."""

    NONE = "none"
    NO_PRIMARY = "no_primary"
    NO_ROUTE = "no_route"
    OVERLOADED = "overloaded"
    REJECTED = "rejected"
    ENDPOINT_LOST = "endpoint_lost"
    UNCONFIRMED = "unconfirmed"
    STALE = "stale"
    KEY_REUSED = "key_reused"
    KEY_IN_FLIGHT = "key_in_flight"
    KEY_UNDECIDED = "key_undecided"
    REGISTRY_UNAVAILABLE = "registry_unavailable"
    REGISTRY_FULL = "registry_full"
    TRANSACTION_GONE = "transaction_gone"
    TRANSACTION_BUSY = "transaction_busy"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """An outcome with rows and position if done, else the reason.

    `staleness_ms` bounds the age of the state that a read has seen.
    """

    outcome: Outcome
    code: ErrorCode = ErrorCode.NONE
    detail: str = ""
    rows: tuple[Row, ...] = ()
    term: int = 0
    position: int = 0
    staleness_ms: float | None = None
    endpoint: str = ""
    is_from_replica: bool = False
    host: str = ""
    retry_after_ms: int | None = None
    transaction: str | None = None
    is_replay: bool = False
    explanation: tuple[str, ...] = ()

    @property
    def is_done(self) -> bool:
        """Whether the request has been carried out and confirmed."""
        return self.outcome is Outcome.DONE
