"""Bounded concurrent execution with a queue."""

from collections import deque

from azurerelay.timing import Promise


class Slots:
    """Grant a fixed number of execution slots in arrival order."""

    def __init__(self, count: int) -> None:
        self._free = count
        self._waiting: deque[Promise[None]] = deque()

    def acquire(self) -> Promise[None]:
        """Return a promise that is resolved when a slot is held."""
        if self._free:
            self._free -= 1
            return Promise.of(None)
        promise: Promise[None] = Promise()
        self._waiting.append(promise)
        return promise

    def release(self) -> None:
        """Give a slot back."""
        if self._waiting:
            self._waiting.popleft().resolve(None)
        else:
            self._free += 1
