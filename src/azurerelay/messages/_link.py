"""Port to the link: one-way typed messages between processes."""

from typing import Any, Protocol


class Link(Protocol):
    """Send messages to named hosts; neither delivery nor order is guaranteed."""

    def send(self, peer: str, message: Any) -> None:
        """Queue a message for a host; drop it if the queue is full."""
