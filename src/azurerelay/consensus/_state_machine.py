"""The port to the state that the log replicates."""

from typing import Any, Protocol


class StateMachine(Protocol):
    """Deterministic state, changed by committed entries only."""

    def apply(self, index: int, payload: bytes) -> Any:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""
