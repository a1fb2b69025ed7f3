"""Calls to an endpoint.

Every call that reads or changes data carries the term that it belongs to, so that an
endpoint can refuse calls of another term.
"""

from dataclasses import dataclass

from azurerelay.endpoints._endpoint_answer import Scalar


@dataclass(frozen=True, slots=True)
class ConnectCall:
    """Open a connection, which counts towards the endpoint's connection limit."""


@dataclass(frozen=True, slots=True)
class StatementCall:
    """Run a statement, within `transaction` if that is set."""

    term: int
    is_write: bool
    statement: str
    parameters: tuple[Scalar, ...] = ()
    transaction: int | None = None


@dataclass(frozen=True, slots=True)
class BeginCall:
    """Begin a transaction on the connection."""

    term: int


@dataclass(frozen=True, slots=True)
class CommitCall:
    """Commit the connection's transaction."""

    term: int
    transaction: int


@dataclass(frozen=True, slots=True)
class RollbackCall:
    """Roll back the connection's transaction."""

    term: int
    transaction: int


@dataclass(frozen=True, slots=True)
class StatusCall:
    """Return the endpoint's state.

    The answer waits up to `wait_ms` for the endpoint's log to reach `position`.
    """

    position: int = 0
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FenceCall:
    """Enter a term: refuse lower ones from now on, and become a replica.

    An endpoint that is in the term already keeps its role.
    """

    term: int


@dataclass(frozen=True, slots=True)
class PromoteCall:
    """Enter a term as its primary."""

    term: int


@dataclass(frozen=True, slots=True)
class FollowCall:
    """Replicate from a term's primary.

    Log entries that the primary does not have are discarded.
    """

    term: int
    primary: str
    address: str


@dataclass(frozen=True, slots=True)
class PullCall:
    """Fetch up to `limit` log entries that follow `position` from the primary.

    `log_term` is the term of the requesting replica's entry at `position`; if the
    primary has another one there, the call fails with `FailureKind.DIVERGED`. The
    answer waits up to `wait_ms` for entries.
    """

    term: int
    position: int
    log_term: int
    limit: int
    wait_ms: float


@dataclass(frozen=True, slots=True)
class KnobsCall:
    """Set simulated latencies and faults of a stand-in; None leaves one unchanged."""

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
