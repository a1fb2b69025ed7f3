"""Counts of operations by customer, collected for the next message."""

from collections.abc import Iterable

from azurerelay.quotas._messages import OperationCount


class OperationCounts:
    """Sums of operations by customer and waiting time since they were last taken."""

    def __init__(self) -> None:
        self._sums: dict[tuple[str, int], OperationCount] = {}

    def add(self, count: OperationCount) -> None:
        """Add operations of a customer."""
        key = (count.customer, count.waited_ms)
        known = self._sums.get(key)
        if known is not None:
            count = OperationCount(
                count.customer,
                known.offered + count.offered,
                known.started + count.started,
                known.refunded + count.refunded,
                known.late + count.late,
                count.waited_ms,
            )
        self._sums[key] = count

    def add_all(self, counts: Iterable[OperationCount]) -> None:
        """Add the operations of several customers."""
        for count in counts:
            self.add(count)

    def take(self) -> tuple[OperationCount, ...]:
        """Return the sums, and start again from zero."""
        sums, self._sums = self._sums, {}
        return tuple(sums.values())
