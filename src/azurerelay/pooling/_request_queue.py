"""Requests that wait for a connection to one endpoint."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from result import Result

from azurerelay.pooling._pooled_session import PooledSession
from azurerelay.pooling._session_profile import SessionProfile
from azurerelay.statements import ConnectFailed
from azurerelay.timing import Promise


@dataclass(frozen=True, slots=True, eq=False)
class ConnectionRequest:
    """A pending request; lower priority numbers are served first.

    With `accepts_any_customer`, a connection of another customer serves as well.
    """

    priority: int
    profile: SessionProfile
    promise: Promise[Result[PooledSession, ConnectFailed]]
    customer: str
    accepts_any_customer: bool

    def may_use(self, session: PooledSession) -> bool:
        """Return whether a connection may carry the statement."""
        return self.accepts_any_customer or session.customer == self.customer


class RequestQueue:
    """Pending requests, in the order in which they are to be served.

    Requests are served by priority. Among equal ones, the second of a customer comes
    after the first of every other customer: a customer with many statements delays each
    of the others by one statement.
    """

    def __init__(self) -> None:
        self._requests: list[ConnectionRequest] = []

    def __len__(self) -> int:
        return sum(not request.promise.is_done for request in self._requests)

    def __iter__(self) -> Iterator[ConnectionRequest]:
        """Iterate over the pending requests; the queue may change meanwhile."""
        return iter([r for r in self._requests if not r.promise.is_done])

    def add(self, request: ConnectionRequest) -> None:
        """Add a request."""
        self._requests.append(request)
        self._sort()

    def remove(self, request: ConnectionRequest) -> None:
        """Remove a request; the later ones of its customer move up."""
        self._requests.remove(request)
        self._sort()

    def remove_callers(self) -> list[ConnectionRequest]:
        """Remove and return the requests of callers, with priorities from 0 on."""
        removed = [request for request in self._requests if request.priority >= 0]
        self._requests = [r for r in self._requests if r.priority < 0]
        return removed

    def clear(self) -> list[ConnectionRequest]:
        """Remove and return all requests."""
        removed, self._requests = self._requests, []
        return removed

    def _sort(self) -> None:
        """Forget requests that are done, and restore the order."""
        pending = list(self)
        earlier: Counter[tuple[int, str]] = Counter()
        ranks: list[int] = []
        for request in pending:
            turn = (request.priority, request.customer)
            ranks.append(earlier[turn])
            earlier[turn] += 1
        order = sorted(
            range(len(pending)), key=lambda i: (pending[i].priority, ranks[i])
        )
        self._requests = [pending[index] for index in order]
