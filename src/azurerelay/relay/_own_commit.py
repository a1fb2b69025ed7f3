"""The newest commit of a session, which its reads must see."""

from azurerelay.pooling import PositionSamples
from azurerelay.statements import Position


class OwnCommit:
    """Keep the newest position that a session's writes have reached."""

    def __init__(self) -> None:
        self._position: Position | None = None
        self._acknowledged_ms = 0.0

    def note(self, position: Position, now_ms: float) -> None:
        """Record a commit of the session."""
        if self._position is None or position > self._position:
            self._position = position
            self._acknowledged_ms = now_ms

    def required(self, covering: Position, samples: PositionSamples) -> Position:
        """Return what a read must find, given what covers all other commits.

        A commit that a promotion has rolled back is in no log any more; what the
        promotion kept is in the new leader's.
        """
        own, newest = self._position, samples.newest
        if own is None:
            return covering
        if newest is not None and (
            own.term < newest[1].term
            or samples.is_rolled_back(own, self._acknowledged_ms)
        ):
            return max(covering, newest[1])
        return max(covering, own)
