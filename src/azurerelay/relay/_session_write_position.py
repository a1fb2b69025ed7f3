"""The newest commit of a session, needed for read-your-writes consistency."""

from azurerelay.pooling import PositionSamples
from azurerelay.statements import Position


class SessionWritePosition:
    """The highest log position that the writes of a session have reached."""

    def __init__(self) -> None:
        self._position: Position | None = None
        self._acknowledged_ms = 0.0

    def record(self, position: Position, now_ms: float) -> None:
        """Record a commit of the session that was acknowledged at `now_ms`."""
        if self._position is None or position > self._position:
            self._position = position
            self._acknowledged_ms = now_ms

    def required_position(
        self, covering: Position, samples: PositionSamples
    ) -> Position:
        """Return the position that a read of the session must find in the log.

        `covering` is the position that covers all commits older than the staleness
        bound. If a promotion may have rolled back the session's own commit, no log may
        hold its position any more. The newest position of the new primary is required
        instead, which covers every commit that the promotion kept.
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
