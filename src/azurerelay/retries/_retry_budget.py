"""A budget that keeps retries a share of successes."""

from typing import Final

BUDGET_LIMIT: Final = 20.0
INITIAL_BUDGET: Final = 5.0


class RetryBudget:
    """Earn a part of a retry with each success; spend one with each retry."""

    def __init__(self, percent: int) -> None:
        self._percent = percent
        self._balance = INITIAL_BUDGET
        self._spent = 0
        self._refused = 0

    @property
    def spent(self) -> int:
        """Retries that were allowed."""
        return self._spent

    @property
    def refused(self) -> int:
        """Retries that were not allowed."""
        return self._refused

    def set_percent(self, percent: int) -> None:
        """Change the share of retries."""
        self._percent = percent

    def record_success(self) -> None:
        """Earn a share of a retry."""
        self._balance = min(BUDGET_LIMIT, self._balance + self._percent / 100.0)

    def try_spend(self) -> bool:
        """Take one retry from the budget, if it holds one."""
        if self._balance < 1.0:
            self._refused += 1
            return False
        self._balance -= 1.0
        self._spent += 1
        return True
