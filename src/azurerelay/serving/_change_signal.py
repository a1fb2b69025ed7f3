"""A change notification shared by waiting requests."""

from azurerelay.timing import Promise


class ChangeSignal:
    """Wake all waiters when the group, a circuit or the lease changes."""

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
