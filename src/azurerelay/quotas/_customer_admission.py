"""What an entry host knows of the operations of one limited customer."""

import math
from typing import Final

from azurerelay.quotas._local_allowance import LocalAllowance

# Long enough to average the operations of a small share of a customer's demand, short
# enough to follow the demand.
STARTED_RATE_WINDOW_S: Final = 2.0
QUOTA_WINDOW_S: Final = 5.0
# Held operations may arrive unevenly. If only one could be saved up, much of a steady
# demand at few hosts would be refused.
HELD_BURST_S: Final = 0.5
_MS_PER_S: Final = 1_000.0


class CustomerAdmission:
    """Admission of one customer's operations while control is silent.

    `contact_ms` is the time of the last message from control, and identifies the
    silence since then.
    """

    def __init__(self) -> None:
        self._contact_ms = float("-inf")
        self._started_since_contact = 0
        self._started_rate = 0.0
        self._started_ms = 0.0
        self._held_rate = 0.0
        self._allowance: LocalAllowance | None = None
        self._is_local = False

    def follow_contact(self, contact_ms: float) -> None:
        """End a silence if there has been a message from control since."""
        if contact_ms != self._contact_ms:
            self._contact_ms = contact_ms
            self._started_since_contact = 0
            self._held_rate = self._decayed_rate(contact_ms)
            self._allowance = None
            self._is_local = False

    def record_started(self, now_ms: float) -> None:
        """Record an admitted operation, which is expected to start at once."""
        self._started_since_contact += 1
        self._started_rate = self._decayed_rate(now_ms) + 1.0 / STARTED_RATE_WINDOW_S
        self._started_ms = now_ms

    def refund(self) -> None:
        """Take back an admitted operation that ended without a start."""
        self._started_since_contact = max(0, self._started_since_contact - 1)
        self._started_rate = max(0.0, self._started_rate - 1.0 / STARTED_RATE_WINDOW_S)
        if self._allowance is not None:
            self._allowance.add(1.0)

    def record_late(self) -> None:
        """Record that an operation started long after it was admitted.

        It takes another token during a silence, since tokens were added while it waited
        and operations that waited together start together.
        """
        if self._allowance is not None:
            self._allowance.add(-1.0)

    def take_held(
        self, now_ms: float, since_ms: float, share_per_s: float, phase: float
    ) -> bool:
        """Admit an operation at the rate at which they started before the silence.

        `share_per_s` is the host's equal share of the quota, which is always allowed.
        """
        if self._allowance is None:
            rate_per_s = max(share_per_s, self._held_rate)
            burst = rate_per_s * HELD_BURST_S
            self._allowance = LocalAllowance(
                since_ms, rate_per_s, phase + 0.5 * burst, 1.0 + burst
            )
        return self._allowance.take(now_ms)

    def take_local(
        self, now_ms: float, since_ms: float, share_per_s: float, phase: float
    ) -> bool:
        """Admit an operation at the host's equal share of the quota.

        Operations beyond the share that were started earlier in the silence count
        against it, as far as they are in the same quota window.
        """
        if not self._is_local:
            self._is_local = True
            tokens = phase
            if self._allowance is not None:
                tokens = min(1.0, self._allowance.tokens(since_ms))
            silence_s = (since_ms - self._contact_ms) / _MS_PER_S
            silence_s = min(silence_s, QUOTA_WINDOW_S)  # infinite without any contact
            excess = self._started_since_contact - share_per_s * silence_s
            tokens -= min(max(0.0, excess), share_per_s * QUOTA_WINDOW_S)
            self._allowance = LocalAllowance(since_ms, share_per_s, tokens)
        assert self._allowance is not None
        return self._allowance.take(now_ms)

    def _decayed_rate(self, now_ms: float) -> float:
        """Return the average rate of started operations, weighted by their age."""
        age_s = max(0.0, now_ms - self._started_ms) / _MS_PER_S
        return self._started_rate * math.exp(-age_s / STARTED_RATE_WINDOW_S)
