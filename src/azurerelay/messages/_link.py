"""The link port: one-way typed messages between processes."""

from typing import Any, Protocol


class Link(Protocol):
    """Send messages to named hosts; delivery and order are not promised."""

    def send(self, peer: str, message: Any) -> None:
        """Queue a message for a host; drop it when the queue is full."""
