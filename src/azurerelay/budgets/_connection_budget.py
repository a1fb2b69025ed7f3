"""A bound for the connections of a server."""

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class ConnectionBudget(Generic[T]):
    """Choose which connection is closed when there is one too many.

    Load that this answers: clients that connect and say nothing, or do not go away. The
    connection that has been idle for longest goes first, since ordinary clients speak
    soon after they have connected. If none is idle, `rank_busy` chooses: it ranks a
    busy connection by what closing it costs, the lowest first, and returns None for one
    that must stay. If all must stay, the new one is closed: it has nothing to lose yet,
    and its client can turn to another host. Accepting goes on, since ordinary clients
    would wait behind the others in the kernel's queue.
    """

    def __init__(
        self,
        max_connections: int | None,
        rank_busy: Callable[[T], tuple[bool, float] | None] = lambda _: None,
    ) -> None:
        self._max_connections = max_connections
        self._rank_busy = rank_busy
        self._idle: dict[T, None] = {}  # the one that has been idle for longest first
        self._busy: set[T] = set()

    def add(self, connection: T) -> T | None:
        """Count a new connection; return the one that must be closed, if any."""
        if self._max_connections is None:
            return None
        if len(self._idle) + len(self._busy) >= self._max_connections:
            surplus = next(iter(self._idle), None) or self._choose_busy() or connection
            self.remove(surplus)
            if surplus is connection:
                return surplus
        else:
            surplus = None
        self._idle[connection] = None
        return surplus

    def _choose_busy(self) -> T | None:
        ranked = ((self._rank_busy(busy), busy) for busy in self._busy)
        candidates = [(rank, busy) for rank, busy in ranked if rank is not None]
        if not candidates:
            return None
        return min(candidates, key=lambda candidate: candidate[0])[1]

    def mark_busy(self, connection: T) -> None:
        """Record that a complete message of a connection is being served."""
        if connection in self._idle:
            del self._idle[connection]
            self._busy.add(connection)

    def mark_idle(self, connection: T) -> None:
        """Record that a connection has nothing that is served or left open."""
        if connection in self._busy:
            self._busy.discard(connection)
            self._idle[connection] = None

    def remove(self, connection: T) -> None:
        """Forget a connection that is closed."""
        self._busy.discard(connection)
        self._idle.pop(connection, None)
