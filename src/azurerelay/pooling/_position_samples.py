"""Positions of a primary at known times."""

from collections import deque
from typing import Final

from azurerelay.statements import Position

MIN_SPACING_MS: Final = 50.0  # samples closer than this add no useful choice
KEPT_MS: Final = 10_000.0  # longer than any staleness bound in use


class PositionSamples:
    """Tell which position covers all commits that are older than a bound.

    A sample taken at time t says that each commit acknowledged before t is at or
    below its position, since the endpoint proved after t that it leads.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, Position]] = deque()
        self._first_seen: deque[tuple[float, Position]] = deque()

    @property
    def newest(self) -> tuple[float, Position] | None:
        """The newest sample, as time and position."""
        return self._samples[-1] if self._samples else None

    @property
    def term(self) -> int:
        """The newest term seen; 0 before the first sample."""
        return self._samples[-1][1].term if self._samples else 0

    def add(self, asked_ms: float, position: Position, seen_ms: float) -> None:
        """Record that a leading endpoint was at a position after `asked_ms`.

        `seen_ms` is when its answer came.
        """
        if position.term < self.term:
            return
        if position.term > self.term:
            # Positions of the term before may have been rolled back.
            self._samples.clear()
            self._first_seen.clear()
        is_late = bool(self._samples) and asked_ms <= self._samples[-1][0]
        if not is_late:
            self._drop_beyond(position)
        if not self._first_seen or position > self._first_seen[-1][1]:
            self._first_seen.append((seen_ms, position))
            while seen_ms - self._first_seen[0][0] > KEPT_MS:
                self._first_seen.popleft()
        if is_late:
            return
        is_close = (
            len(self._samples) > 1 and asked_ms - self._samples[-2][0] < MIN_SPACING_MS
        )
        if is_close:
            self._samples.pop()
        self._samples.append((asked_ms, position))
        while asked_ms - self._samples[0][0] > KEPT_MS:
            self._samples.popleft()

    def is_rolled_back(self, position: Position, acknowledged_ms: float) -> bool:
        """Return whether a promotion has dropped a commit acknowledged at a time.

        So it is when an endpoint that was asked later leads without it.
        """
        if not self._samples:
            return False
        asked_ms, newest = self._samples[-1]
        return asked_ms > acknowledged_ms and newest < position

    def _drop_beyond(self, position: Position) -> None:
        """Forget positions beyond that of a leader that was asked later.

        A promotion has rolled them back, and no endpoint holds them any more.
        """
        while self._samples and self._samples[-1][1] > position:
            self._samples.pop()
        while self._first_seen and self._first_seen[-1][1] > position:
            self._first_seen.pop()

    def covering(self, not_before_ms: float) -> Position | None:
        """Return the lowest position that covers all commits before a time."""
        for asked_ms, position in self._samples:
            if asked_ms >= not_before_ms:
                return position
        return None

    def age_ms(self, position: Position, now_ms: float) -> float:
        """Return for how long a position has been known to be reached."""
        for seen_ms, reached in self._first_seen:
            if reached >= position:
                return now_ms - seen_ms
        return 0.0

    def missing_age_ms(self, position: Position, now_ms: float) -> float | None:
        """Return the age of the oldest known commit after a position, if any."""
        for seen_ms, reached in self._first_seen:
            if reached > position:
                return now_ms - seen_ms
        return None
