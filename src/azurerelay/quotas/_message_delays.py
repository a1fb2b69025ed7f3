"""How late messages of other hosts arrive."""

from typing import Final

# Less than the time after which an entry host follows another control host and repeats
# its reports, and several times the delay of a healthy link between regions.
MAX_COUNT_DELAY_MS: Final = 800.0
# The clocks of two hosts drift apart, so the shortest delay is measured anew at times.
BASELINE_LIFETIME_MS: Final = 60_000.0
# Messages that waited arrive together, within a moment. A sender whose messages seem
# late for longer has restarted, and with it its clock.
MAX_LATE_MS: Final = 1_000.0
MAX_SENDERS: Final = 10_000  # several times the entry hosts of a control host


class MessageDelays:
    """Tell messages that waited on their way, by the clock of their sender.

    Counts wait while a link is cut or while this host is suspended, and then arrive all
    at once. Taken from the token buckets together, the counts of some seconds would be
    a deficit that lasts for as long again, although the tokens of these seconds were
    there. The clocks have no common origin, so the shortest delay of a sender's
    messages is taken as zero.
    """

    def __init__(self) -> None:
        # For each sender, the smallest difference of the clocks and when it was found.
        self._baselines: dict[str, tuple[float, float]] = {}
        self._late_since_ms: dict[str, float] = {}

    def is_late(self, sender: str, sent_ms: float, now_ms: float) -> bool:
        """Return whether a message waited for longer than `MAX_COUNT_DELAY_MS`."""
        difference_ms = now_ms - sent_ms
        smallest_ms, found_ms = self._baselines.get(sender, (difference_ms, now_ms))
        if difference_ms - smallest_ms > MAX_COUNT_DELAY_MS:
            late_since_ms = self._late_since_ms.setdefault(sender, now_ms)
            if now_ms - late_since_ms <= MAX_LATE_MS:
                return True
            found_ms = -BASELINE_LIFETIME_MS
        self._late_since_ms.pop(sender, None)
        is_old = now_ms - found_ms > BASELINE_LIFETIME_MS
        if is_old or difference_ms <= smallest_ms:
            if len(self._baselines) >= MAX_SENDERS:
                self._baselines.clear()
            self._baselines[sender] = (difference_ms, now_ms)
        return False
