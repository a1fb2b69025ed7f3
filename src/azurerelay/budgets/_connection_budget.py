"""A bound for the connections of a server."""

from typing import Generic, TypeVar

T = TypeVar("T")


class ConnectionBudget(Generic[T]):
    """Choose which connection is closed when there is one too many.

    Load that this answers: clients that connect and say nothing, or do not go away. The
    connection that has been idle for longest goes first, since ordinary clients speak
    soon after they have connected. If none is idle, the new one is closed: it has
    nothing to lose yet, and its client can turn to another host. Accepting goes on,
    since ordinary clients would wait behind the others in the kernel's queue.
    """

    def __init__(self, max_connections: int | None) -> None:
        self._max_connections = max_connections
        self._idle: dict[T, None] = {}  # the one that has been idle for longest first
        self._busy: set[T] = set()

    def add(self, connection: T) -> T | None:
        """Count a new connection; return the one that must be closed, if any."""
        if self._max_connections is None:
            return None
        if len(self._idle) + len(self._busy) >= self._max_connections:
            surplus = next(iter(self._idle), connection)
            self.remove(surplus)
            if surplus is connection:
                return surplus
        else:
            surplus = None
        self._idle[connection] = None
        return surplus

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
