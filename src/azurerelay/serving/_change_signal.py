"""A signal that waiting requests share."""

from azurerelay.timing import Promise


class ChangeSignal:
    """Wake every waiter at each change of the group or of the lease."""

    def __init__(self) -> None:
        self._promise: Promise[None] = Promise()

    @property
    def next_change(self) -> Promise[None]:
        """A promise that is resolved at the next change."""
        return self._promise

    def notify(self) -> None:
        """Wake all waiters."""
        promise = self._promise
        self._promise = Promise()
        promise.resolve(None)
