"""The token bucket of one customer on a control host."""

from typing import Final

from azurerelay.quotas._customer_admission import QUOTA_WINDOW_S
from azurerelay.quotas._demand_window import DemandWindow
from azurerelay.quotas._messages import OperationCount
from azurerelay.quotas._recent_operations import RecentOperations
from azurerelay.routes import Customer

# Operations that were started longer ago no longer count towards the quota, so a
# larger deficit need not be made up.
MAX_DEFICIT_S: Final = QUOTA_WINDOW_S
# Tokens are spent within this time. With 1 s, customers whose bursts use up their quota
# had 0.82 % of their operations refused too early (0.12 % with 0.5 s). With a shorter
# one the fraction would oscillate, since counts arrive up to 0.4 s late.
SPENDING_TIME_S: Final = 0.5
_MS_PER_S: Final = 1_000.0
_WINDOW_MS: Final = QUOTA_WINDOW_S * _MS_PER_S
_SPENDING_TIME_MS: Final = SPENDING_TIME_S * _MS_PER_S


class CustomerTokens:
    """The operations that a customer may start, and its recent demand.

    The number of tokens becomes negative while messages are under way.

    A token is taken when an operation is admitted. Operations that wait for an endpoint
    may start together later, while tokens are added as usual, so the operations that
    wait or have started within a window are limited as well.
    """

    def __init__(self, customer: Customer, extra: float, now_ms: float) -> None:
        self._demand = DemandWindow()
        self._refunds = DemandWindow()
        self._recent = RecentOperations(_WINDOW_MS)
        self._updated_ms = now_ms
        self._counted_ms = now_ms
        self._set_quota(customer, extra)
        self._tokens = self._capacity

    @property
    def tokens(self) -> float:
        """The tokens at the last refill."""
        return self._tokens

    def replace_quota(self, customer: Customer, extra: float) -> None:
        """Apply a changed quota; what has been used of the capacity stays used.

        A full bucket stays full, also when a control host that restarts applies several
        versions, and repeated changes add no tokens.
        """
        used = self._capacity - self._tokens
        self._set_quota(customer, extra)
        self._tokens = max(self._capacity - used, -self._rate_per_s * MAX_DEFICIT_S)

    def record(self, now_ms: float, count: OperationCount) -> None:
        """Record operations, when the message about them has arrived."""
        self._counted_ms = now_ms
        self._demand.add(now_ms, count.offered)
        self._refunds.add(now_ms, count.refunded)
        self._tokens += count.refunded - count.started
        self._tokens = max(self._tokens, -self._rate_per_s * MAX_DEFICIT_S)
        self._tokens = min(self._tokens, self._capacity)
        self._recent.add(now_ms, now_ms, count.started + count.late)
        admitted_ms = now_ms - count.waited_ms
        self._recent.add(now_ms, admitted_ms, -count.refunded - count.late)

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

    def fraction(
        self, now_ms: float, demand_per_s: float, reserved_share: float
    ) -> float:
        """Return the fraction of a demand that may be admitted.

        What is refunded now is available again. Otherwise a demand whose operations
        mostly end without a start would be limited below its quota.
        """
        rate_per_s = self._rate_per_s * (1.0 - reserved_share)
        # Operations that leave the window before the tokens are spent make room, but no
        # more than the rate: many that started together leave it at the same time.
        window = rate_per_s * QUOTA_WINDOW_S + self._capacity
        room = window - self._recent.total(now_ms, _WINDOW_MS)
        later_room = window - self._recent.total(now_ms, _WINDOW_MS - _SPENDING_TIME_MS)
        available = self._refunds.rate_per_s(now_ms) + min(
            rate_per_s + min(self._tokens, room) / SPENDING_TIME_S,
            later_room / SPENDING_TIME_S,
        )
        if available >= demand_per_s:
            return 1.0
        return available / demand_per_s if available > 0.0 else 0.0

    def _set_quota(self, customer: Customer, extra: float) -> None:
        assert customer.rate_per_s is not None
        self._rate_per_s = customer.rate_per_s
        self._capacity = customer.burst + extra
