"""Port that events are written to."""

from typing import Protocol

from azurerelay.events._events import Event


class EventLog(Protocol):
    """Record events without blocking."""

    def record(self, event: Event) -> None:
        """Write an event, or only count it if the rate limit of its type is reached."""


class NullEventLog:
    """Discard all events, for tests that do not check them."""

    def record(self, event: Event) -> None:
        """Discard the event."""
