"""The port that events are written to."""

from typing import Protocol

from azurerelay.events._events import Event


class EventLog(Protocol):
    """Take events without ever waiting."""

    def record(self, event: Event) -> None:
        """Write an event, or count it where the budget of its kind is used up."""


class NoEvents:
    """Drop all events, for tests that look at outcomes only."""

    def record(self, event: Event) -> None:
        """Do nothing."""
