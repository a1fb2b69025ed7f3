"""A bound for the connections of a server."""

from typing import Generic, TypeVar

T = TypeVar("T")


class ConnectionBudget(Generic[T]):
    """Choose which connection is closed when there is one too many.

    Load that this answers: clients that connect and say nothing, or do not go away. The
    connection that has been silent for longest goes first, since ordinary clients speak
    as soon as they are connected. If all have spoken, the new one is closed: it has
    nothing to lose yet, and its client can turn to another host.
    """

    def __init__(self, max_connections: int | None) -> None:
        self._max_connections = max_connections
        self._connections: set[T] = set()
        self._silent: dict[T, None] = {}  # in the order in which they connected
        self._closed_count = 0

    @property
    def closed_count(self) -> int:
        """How many connections were closed for another one, or refused."""
        return self._closed_count

    def add(self, connection: T) -> T | None:
        """Count a new connection; return the one that must be closed, if any."""
        victim: T | None = None
        if (
            self._max_connections is not None
            and len(self._connections) >= self._max_connections
        ):
            self._closed_count += 1
            victim = next(iter(self._silent), connection)
            self.remove(victim)
        if victim is not connection:
            self._connections.add(connection)
            self._silent[connection] = None
        return victim

    def mark_spoken(self, connection: T) -> None:
        """Record that a connection has sent its first complete message."""
        self._silent.pop(connection, None)

    def remove(self, connection: T) -> None:
        """Forget a connection that is closed."""
        self._connections.discard(connection)
        self._silent.pop(connection, None)
