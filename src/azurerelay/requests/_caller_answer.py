"""The answer to a caller's request."""

from dataclasses import dataclass
from enum import Enum

from azurerelay.endpoints import Row


class Outcome(Enum):
    """Whether a request took effect.

    NOT_RUN guarantees that it did not; with UNKNOWN it may have.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ErrorCode(Enum):
    """Why a request is not done; NONE if it is done or got no answer."""

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
    """Outcome of a request with its rows and position, or why it is not done.

    `term` and `position` are the position in the group's log that the answer reflects,
    from which the caller's session token is updated. `staleness_ms` is an upper bound
    on the age of the state that a read has seen. `is_replay` marks the outcome of an
    earlier request with the same idempotency key. `host` is the serving host, and
    `explanation` holds the steps of the decision if the request asked for them.
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
        """Whether the request was carried out and its result confirmed."""
        return self.outcome is Outcome.DONE
