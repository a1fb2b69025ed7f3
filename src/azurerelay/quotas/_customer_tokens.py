"""The token bucket of one customer on a control host."""

from typing import Final

from azurerelay.quotas._demand_window import DemandWindow
from azurerelay.routes import Customer

# Operations that were started longer ago no longer count towards the quota, so a
# larger deficit need not be made up.
MAX_DEFICIT_S: Final = 5.0
# Tokens are spent within this time. With 1 s, customers whose bursts use up their quota
# had 0.82 % of their operations refused too early (0.12 % with 0.5 s). With a shorter
# one the fraction would oscillate, since counts arrive up to 0.4 s late.
SPENDING_TIME_S: Final = 0.5
_MS_PER_S: Final = 1_000.0


class CustomerTokens:
    """The operations that a customer may start, and its recent demand.

    The number of tokens becomes negative while messages are under way.
    """

    def __init__(self, customer: Customer, extra: float, now_ms: float) -> None:
        self._demand = DemandWindow()
        self._updated_ms = now_ms
        self._counted_ms = now_ms
        self._set_quota(customer, extra)
        self._tokens = self._capacity

    @property
    def tokens(self) -> float:
        """The tokens at the last refill."""
        return self._tokens

    def replace_quota(self, customer: Customer, extra: float) -> None:
        """Apply a changed quota; tokens beyond the new capacity are lost."""
        self._set_quota(customer, extra)
        self._tokens = min(self._tokens, self._capacity)

    def record(self, now_ms: float, offered: int, started: int) -> None:
        """Record operations, when the message about them has arrived."""
        self._counted_ms = now_ms
        self._demand.add(now_ms, offered)
        self._tokens -= started
        self._tokens = max(self._tokens, -self._rate_per_s * MAX_DEFICIT_S)

    def refill(self, now_ms: float, reserved_share: float) -> None:
        """Add the tokens since the last refill, without a share for silent hosts."""
        elapsed_s = (now_ms - self._updated_ms) / _MS_PER_S
        self._updated_ms = now_ms
        added = self._rate_per_s * (1.0 - reserved_share) * elapsed_s
        self._tokens = min(self._capacity, self._tokens + added)

    def demand_per_s(self, now_ms: float) -> float:
        """Return the estimated demand."""
        return self._demand.rate_per_s(now_ms)

    def count_age_ms(self, now_ms: float) -> float:
        """Return the time since operations were last counted."""
        return now_ms - self._counted_ms

    def fraction(self, demand_per_s: float, reserved_share: float) -> float:
        """Return the fraction of a demand that may start."""
        rate_per_s = self._rate_per_s * (1.0 - reserved_share)
        available = rate_per_s + self._tokens / SPENDING_TIME_S
        if available >= demand_per_s:
            return 1.0
        return available / demand_per_s if available > 0.0 else 0.0

    def _set_quota(self, customer: Customer, extra: float) -> None:
        assert customer.rate_per_s is not None
        self._rate_per_s = customer.rate_per_s
        self._capacity = customer.burst + extra
