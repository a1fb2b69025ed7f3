"""Interface of the state machine that the log replicates."""

from typing import Any, Protocol


class StateMachine(Protocol):
    """Deterministic state that only committed entries change."""

    def apply(self, index: int, payload: bytes) -> Any:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by an encoded snapshot."""
