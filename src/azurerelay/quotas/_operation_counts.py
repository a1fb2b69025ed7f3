"""Counts of operations by customer, collected for the next message."""

from collections.abc import Iterable

from azurerelay.quotas._messages import OperationCount


class OperationCounts:
    """Sums of offered and started operations by customer since they were last taken."""

    def __init__(self) -> None:
        self._sums: dict[str, list[int]] = {}

    def add(self, customer: str, offered: int, started: int) -> None:
        """Add operations of a customer."""
        sums = self._sums.setdefault(customer, [0, 0])
        sums[0] += offered
        sums[1] += started

    def add_all(self, counts: Iterable[OperationCount]) -> None:
        """Add the operations of several customers."""
        for count in counts:
            self.add(*count)

    def take(self) -> tuple[OperationCount, ...]:
        """Return the sums, and start again from zero."""
        sums, self._sums = self._sums, {}
        return tuple(
            OperationCount(customer, offered, started)
            for customer, (offered, started) in sums.items()
        )
