"""One serving host's copy of a group's idempotency registry."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from azurerelay.registry._messages import (
    IntentStatus,
    RegistryEntry,
)

# Attempt id of an entry merged from conflicting attempts. Real ids have the form
# "<host>:<incarnation>:<number>", so no attempt matches it.
CONTESTED: Final = "contested"
# Tolerated difference between the clocks of callers, serving hosts and control hosts.
CLOCK_SKEW_MS: Final = 2_000
KEY_TIMESTAMP_DIGITS: Final = 13


class IdempotencyRegistry:
    """Store entries by key in insertion order, bounded by age and count.

    Intents are accepted only for the current epoch, once that epoch is settled and
    the entries of the previously settled serving set were merged or declared lost.
    """

    def __init__(self, retention_ms: int, max_entries: int) -> None:
        self._retention_ms = retention_ms
        self._max_entries = max_entries
        self._entries: OrderedDict[str, RegistryEntry] = OrderedDict()
        self._epoch = 0
        self._sealed_epoch = 0
        self._ready_epoch = 0
        self._settled_epoch = 0
        self._lost_ms = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def epoch(self) -> int:
        """The epoch of the serving set that this member last joined."""
        return self._epoch

    @property
    def is_ready(self) -> bool:
        """Whether earlier entries were merged, or declared lost, for this epoch."""
        return self._ready_epoch == self._epoch

    @property
    def ready_epoch(self) -> int:
        """The latest epoch for which this member was ready."""
        return self._ready_epoch

    @property
    def entries(self) -> tuple[RegistryEntry, ...]:
        """All entries, in insertion order."""
        return tuple(self._entries.values())

    def set_limits(self, retention_ms: int, max_entries: int) -> None:
        """Change the retention time and the maximum number of entries."""
        self._retention_ms = retention_ms
        self._max_entries = max_entries

    def enter_epoch(self, epoch: int, lost_ms: int) -> None:
        """Join the serving set of an epoch, unless a later one has been joined.

        Intents are refused until the member is ready for the epoch and the epoch is
        settled. `lost_ms` is the wall-clock time of the last registry loss, or zero.
        """
        self._epoch = max(self._epoch, epoch)
        self._lost_ms = max(self._lost_ms, lost_ms)

    def settle(self, epoch: int) -> None:
        """Mark an epoch as settled, which permits its intents on a ready member."""
        self._settled_epoch = max(self._settled_epoch, epoch)

    def accept_loss(self, epoch: int) -> None:
        """Become ready for an epoch that was settled with the registry lost.

        A process that has been a member since the epoch began holds every intent
        that it recorded itself. Earlier entries are lost on all members.
        """
        self._ready_epoch = max(self._ready_epoch, epoch)

    def merge_collected(self, epoch: int, collected: Iterable[RegistryEntry]) -> None:
        """Merge the entries of the settled set and become ready for the epoch.

        Does nothing if `epoch` is not the current epoch.
        """
        if epoch != self._epoch:
            return
        for entry in collected:
            self._merge(entry)
        self._ready_epoch = epoch

    def seal(self, epoch: int) -> None:
        """Refuse intents of all epochs before `epoch` from now on."""
        self._sealed_epoch = max(self._sealed_epoch, epoch)

    def find(self, key: str) -> RegistryEntry | None:
        """Return a key's entry, or None."""
        return self._entries.get(key)

    def record_intent(
        self, epoch: int, entry: RegistryEntry, now_ms: int
    ) -> IntentStatus:
        """Record an attempt unless the key is held by another attempt.

        Recording the same attempt again returns RECORDED.
        """
        if epoch != self._epoch or epoch < self._sealed_epoch:
            return IntentStatus.WRONG_EPOCH
        if not self.is_ready or self._settled_epoch != epoch:
            return IntentStatus.NOT_READY
        self._expire(now_ms)
        known = self._entries.get(entry.key)
        if known is not None:
            is_same = known.attempt == entry.attempt
            return IntentStatus.RECORDED if is_same else IntentStatus.KNOWN
        if self._may_predate_loss(entry.key, now_ms):
            return IntentStatus.PREDATES_LOSS
        if len(self._entries) >= self._max_entries:
            return IntentStatus.FULL
        self._entries[entry.key] = entry
        return IntentStatus.RECORDED

    def record_outcome(self, entry: RegistryEntry) -> bool:
        """Record an attempt's outcome, or that it was given up.

        An outcome proves that its attempt is the one that ran, so it replaces any
        entry without an outcome. A given-up attempt replaces only its own entry.
        Return False if the entry is refused, True if it is recorded or the same
        attempt already has an outcome.
        """
        known = self._entries.get(entry.key)
        if known is not None and known.outcome is not None:
            return known.attempt == entry.attempt
        if entry.is_given_up and (known is None or known.attempt != entry.attempt):
            return False
        self._entries[entry.key] = entry
        return True

    def abort(self, key: str, attempt: str) -> None:
        """Remove an attempt that is known not to have run."""
        known = self._entries.get(key)
        is_same_attempt = known is not None and known.attempt == attempt
        if is_same_attempt and known is not None and known.outcome is None:
            del self._entries[key]

    def _merge(self, entry: RegistryEntry) -> None:
        """Add an entry; one with an outcome replaces one without.

        If two different attempts have no outcome, either may have run. Aborting one
        must not remove the entry, so its attempt becomes CONTESTED.
        """
        known = self._entries.get(entry.key)
        if known is None or (known.outcome is None and entry.outcome is not None):
            self._entries[entry.key] = entry
        elif known.outcome is None and known.attempt != entry.attempt:
            self._entries[entry.key] = replace(known, attempt=CONTESTED)

    def _may_predate_loss(self, key: str, now_ms: int) -> bool:
        if now_ms >= self._lost_ms + self._retention_ms:
            return False
        created_ms = key_created_ms(key)
        if created_ms is None or created_ms > now_ms + CLOCK_SKEW_MS:
            return True
        return created_ms <= self._lost_ms + CLOCK_SKEW_MS

    def _expire(self, now_ms: int) -> None:
        oldest_kept_ms = now_ms - self._retention_ms
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if oldest.recorded_ms >= oldest_kept_ms:
                return
            self._entries.popitem(last=False)


def key_created_ms(key: str) -> int | None:
    """Return the creation time in a key of the form "<Unix ms>-<text>", else None.

    The timestamp follows the time-factored keys of "Time-Series Storage in a
    Distributed Hash Table with Time-Factored Keys". It shows which keys were created
    after a loss of the registry and may therefore run.
    """
    timestamp, separator, _ = key.partition("-")
    if (
        not separator
        or len(timestamp) != KEY_TIMESTAMP_DIGITS
        or not timestamp.isdecimal()
    ):
        return None
    return int(timestamp)
