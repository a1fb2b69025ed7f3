"""A counting semaphore with a FIFO queue, built on promises."""

from collections import deque

from azurerelay.timing import Promise


class Slots:
    """Limit concurrent executions to a fixed number of slots, granted in FIFO order."""

    def __init__(self, count: int) -> None:
        self._free = count
        self._waiting: deque[Promise[None]] = deque()

    def acquire(self) -> Promise[None]:
        """Return a promise that is resolved when the caller holds a slot."""
        if self._free:
            self._free -= 1
            return Promise.of(None)
        promise: Promise[None] = Promise()
        self._waiting.append(promise)
        return promise

    def release(self) -> None:
        """Release a slot, to the first waiter if there is one."""
        if self._waiting:
            self._waiting.popleft().resolve(None)
        else:
            self._free += 1
