"""Limits retries to a share of successes."""

from typing import Final

BUDGET_LIMIT: Final = 20.0
INITIAL_BUDGET: Final = 5.0


class RetryBudget:
    """Grant retries from a balance that successes replenish.

    Each success adds `percent` / 100 of a retry, up to BUDGET_LIMIT retries.
    """

    def __init__(self, percent: int) -> None:
        self._percent = percent
        self._balance = INITIAL_BUDGET
        self._granted = 0
        self._refused = 0

    @property
    def granted(self) -> int:
        """The number of retries granted."""
        return self._granted

    @property
    def refused(self) -> int:
        """The number of retries refused."""
        return self._refused

    def set_percent(self, percent: int) -> None:
        """Change the share of a retry that each success adds."""
        self._percent = percent

    def record_success(self) -> None:
        """Add the share of one success to the balance."""
        self._balance = min(BUDGET_LIMIT, self._balance + self._percent / 100.0)

    def try_spend(self) -> bool:
        """Take one retry from the balance; return False if it holds less than one."""
        if self._balance < 1.0:
            self._refused += 1
            return False
        self._balance -= 1.0
        self._granted += 1
        return True
