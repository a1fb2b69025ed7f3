"""The operations of one customer that count towards its quota window."""

from typing import Final

_SLOT_MS: Final = 100.0  # the interval of reports


class RecentOperations:
    """The numbers of operations within the last `window_ms`, by the time they count."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._slots: dict[int, int] = {}

    def add(self, now_ms: float, at_ms: float, count: int) -> None:
        """Add operations that count from `at_ms`; a negative number removes some."""
        if count and at_ms > now_ms - self._window_ms:
            slot = int(at_ms // _SLOT_MS)
            self._slots[slot] = self._slots.get(slot, 0) + count

    def total(self, now_ms: float, within_ms: float) -> int:
        """Return the number of operations within a time, at most the window."""
        oldest = (now_ms - self._window_ms) // _SLOT_MS
        for slot in [slot for slot in self._slots if slot < oldest]:
            del self._slots[slot]
        oldest = (now_ms - within_ms) // _SLOT_MS
        return max(0, sum(n for slot, n in self._slots.items() if slot >= oldest))
