"""Calls to an endpoint; every call that touches data carries the term."""

from dataclasses import dataclass

from azurerelay.endpoints._endpoint_answer import Scalar


@dataclass(frozen=True, slots=True)
class ConnectCall:
    """Open a connection for statements; it counts against the limit."""


@dataclass(frozen=True, slots=True)
class StatementCall:
    """Run a statement, inside a transaction when one is named."""

    term: int
    is_write: bool
    statement: str
    parameters: tuple[Scalar, ...] = ()
    transaction: int | None = None


@dataclass(frozen=True, slots=True)
class BeginCall:
    """Begin a transaction on this connection."""

    term: int


@dataclass(frozen=True, slots=True)
class CommitCall:
    """Commit the connection's transaction."""

    term: int
    transaction: int


@dataclass(frozen=True, slots=True)
class RollbackCall:
    """Roll the connection's transaction back."""

    term: int
    transaction: int


@dataclass(frozen=True, slots=True)
class StatusCall:
    """Ask for term and position; wait up to `wait_ms` until `position` is held."""

    position: int = 0
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FenceCall:
    """Refuse all lower terms from now on, and stop being primary."""

    term: int


@dataclass(frozen=True, slots=True)
class PromoteCall:
    """Become the primary of a term."""

    term: int


@dataclass(frozen=True, slots=True)
class FollowCall:
    """Replicate from a term's primary, dropping what it does not have."""

    term: int
    primary: str
    address: str


@dataclass(frozen=True, slots=True)
class PullCall:
    """Ask the primary for entries after a position whose entry has a term."""

    term: int
    position: int
    log_term: int
    limit: int
    wait_ms: float


@dataclass(frozen=True, slots=True)
class KnobsCall:
    """Set a stand-in's disturbances; None leaves one as it is."""

    lag_ms: float | None = None
    service_ms: float | None = None
    status_delay_ms: float | None = None
    is_isolated: bool | None = None
    is_replication_cut: bool | None = None
    is_leaving: bool | None = None


EndpointCall = (
    ConnectCall
    | StatementCall
    | BeginCall
    | CommitCall
    | RollbackCall
    | StatusCall
    | FenceCall
    | PromoteCall
    | FollowCall
    | PullCall
    | KnobsCall
)
