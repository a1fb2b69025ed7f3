"""Samples of a primary's position over time."""

from collections import deque
from typing import Final

from azurerelay.statements import Position

# A sample replaces the newest one if it was taken less than this after the second
# newest, since samples closer together add no useful choice.
MIN_SPACING_MS: Final = 50.0
RETENTION_MS: Final = 10_000.0  # longer than any staleness bound in use


class PositionSamples:
    """Finds the position that covers all commits older than a staleness bound.

    A sample with request time t states that every commit acknowledged before t is at or
    below its position, since the endpoint proved after t that it is the primary.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, Position]] = deque()
        self._first_seen: deque[tuple[float, Position]] = deque()

    @property
    def newest(self) -> tuple[float, Position] | None:
        """The newest sample, as request time and position."""
        return self._samples[-1] if self._samples else None

    @property
    def term(self) -> int:
        """The term of the newest sample; 0 before the first one."""
        return self._samples[-1][1].term if self._samples else 0

    def add(self, sent_ms: float, position: Position, received_ms: float) -> None:
        """Record that the primary was at a position after `sent_ms`.

        `sent_ms` is when the request was sent, and `received_ms` when the answer came.
        A sample of an older term is ignored.
        """
        if position.term < self.term:
            return
        if position.term > self.term:
            # Positions of the previous term may have been rolled back.
            self._samples.clear()
            self._first_seen.clear()
        is_out_of_order = bool(self._samples) and sent_ms <= self._samples[-1][0]
        if not is_out_of_order:
            self._drop_rolled_back(position)
        if not self._first_seen or position > self._first_seen[-1][1]:
            self._first_seen.append((received_ms, position))
            while received_ms - self._first_seen[0][0] > RETENTION_MS:
                self._first_seen.popleft()
        if is_out_of_order:
            return
        replaces_newest = (
            len(self._samples) > 1 and sent_ms - self._samples[-2][0] < MIN_SPACING_MS
        )
        if replaces_newest:
            self._samples.pop()
        self._samples.append((sent_ms, position))
        while sent_ms - self._samples[0][0] > RETENTION_MS:
            self._samples.popleft()

    def is_rolled_back(self, position: Position, acknowledged_ms: float) -> bool:
        """Return whether a promotion has rolled back a commit.

        This is the case if a primary that was asked after `acknowledged_ms`, when the
        commit was acknowledged, does not have it.
        """
        if not self._samples:
            return False
        sent_ms, newest = self._samples[-1]
        return sent_ms > acknowledged_ms and newest < position

    def _drop_rolled_back(self, position: Position) -> None:
        """Drop positions beyond that of a primary that was asked later.

        A promotion has rolled them back, so no endpoint has them any more.
        """
        while self._samples and self._samples[-1][1] > position:
            self._samples.pop()
        while self._first_seen and self._first_seen[-1][1] > position:
            self._first_seen.pop()

    def covering(self, before_ms: float) -> Position | None:
        """Return the lowest position known to cover all commits before `before_ms`."""
        for sent_ms, position in self._samples:
            if sent_ms >= before_ms:
                return position
        return None

    def age_ms(self, position: Position, now_ms: float) -> float:
        """Return the time since a position was first known; 0 if it is not known."""
        for received_ms, reached in self._first_seen:
            if reached >= position:
                return now_ms - received_ms
        return 0.0

    def first_missing_age_ms(self, position: Position, now_ms: float) -> float | None:
        """Return the time since a later position was first known, None without one."""
        for received_ms, reached in self._first_seen:
            if reached > position:
                return now_ms - received_ms
        return None
