"""Failures of calls to an endpoint."""

from dataclasses import dataclass
from enum import Enum


class FailureKind(Enum):
    """Cause of a failed call."""

    REFUSED_TERM = "refused_term"
    REFUSED_ROLE = "refused_role"
    REFUSED_LIMIT = "refused_limit"
    REFUSED_STATEMENT = "refused_statement"
    REFUSED_TRANSACTION = "refused_transaction"
    DIVERGED = "diverged"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    TIMED_OUT = "timed_out"


_MAY_HAVE_RUN = frozenset({FailureKind.LOST, FailureKind.TIMED_OUT})


@dataclass(frozen=True, slots=True)
class EndpointFailure:
    """A failed call; `term` is the endpoint's term, or 0 where it is unknown."""

    kind: FailureKind
    detail: str
    term: int = 0

    @property
    def guarantees_not_run(self) -> bool:
        """Whether it is certain that the call had no effect."""
        return self.kind not in _MAY_HAVE_RUN
