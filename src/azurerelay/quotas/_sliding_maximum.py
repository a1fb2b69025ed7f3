"""The highest of recent values."""

from collections import deque


class SlidingMaximum:
    """The highest value that was recorded within the last `window_ms`."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        # Times and values, in falling order of the values.
        self._candidates: deque[tuple[float, float]] = deque()

    def record(self, now_ms: float, value: float) -> float:
        """Record a value, and return the highest recent one."""
        while self._candidates and self._candidates[-1][1] <= value:
            self._candidates.pop()
        self._candidates.append((now_ms, value))
        while self._candidates[0][0] < now_ms - self._window_ms:
            self._candidates.popleft()
        return self._candidates[0][1]
