"""One member's entries of a group's idempotency registry."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from azurerelay.registry._messages import (
    IntentStatus,
    RegistryEntry,
)

CONTESTED: Final = "contested"
CLOCK_SKEW_MS: Final = 2_000
KEY_TIME_DIGITS: Final = 13


class IdempotencyRegistry:
    """Entries by key in order of arrival, bounded in age and number.

    Members accept intents for their own epoch only, once they have collected what
    the last settled set knew and control has settled their own.
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
        """The epoch of the serving set that this member belongs to."""
        return self._epoch

    @property
    def is_ready(self) -> bool:
        """Whether the settled set's entries have been collected for this epoch."""
        return self._ready_epoch == self._epoch

    @property
    def ready_epoch(self) -> int:
        """The last epoch for which this member was complete."""
        return self._ready_epoch

    @property
    def entries(self) -> tuple[RegistryEntry, ...]:
        """All entries, oldest first."""
        return tuple(self._entries.values())

    def set_limits(self, retention_ms: int, max_entries: int) -> None:
        """Change the bounds on age and number."""
        self._retention_ms = retention_ms
        self._max_entries = max_entries

    def enter_epoch(self, epoch: int, lost_ms: int) -> None:
        """Belong to a new serving set; intents wait until `complete`.

        `lost_ms` is the calendar time at which a registry was last lost, or zero.
        """
        self._epoch = max(self._epoch, epoch)
        self._lost_ms = max(self._lost_ms, lost_ms)

    def settle(self, epoch: int) -> None:
        """Take intents of an epoch from now on, if this member is complete."""
        self._settled_epoch = max(self._settled_epoch, epoch)

    def accept_loss(self, epoch: int) -> None:
        """Count as complete for an epoch at whose settling the registry was lost.

        A process that has been a member since that epoch began has every intent
        that it recorded itself, and what came before is lost everywhere.
        """
        self._ready_epoch = max(self._ready_epoch, epoch)

    def complete(self, epoch: int, collected: Iterable[RegistryEntry]) -> None:
        """Merge the entries of the settled set and become ready for the epoch."""
        if epoch != self._epoch:
            return
        for entry in collected:
            self._merge(entry)
        self._ready_epoch = epoch

    def seal(self, epoch: int) -> None:
        """Refuse intents of every epoch below this one from now on."""
        self._sealed_epoch = max(self._sealed_epoch, epoch)

    def find(self, key: str) -> RegistryEntry | None:
        """Return a key's entry, or None."""
        return self._entries.get(key)

    def record_intent(
        self, epoch: int, entry: RegistryEntry, now_ms: int
    ) -> IntentStatus:
        """Record an attempt unless the key is known."""
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
        """Record an outcome, which proves that its attempt is the one that ran.

        An attempt that was given up is recorded only over itself.
        """
        known = self._entries.get(entry.key)
        if known is not None and known.outcome is not None:
            return known.attempt == entry.attempt
        if entry.is_given_up and (known is None or known.attempt != entry.attempt):
            return False
        self._entries[entry.key] = entry
        return True

    def abort(self, key: str, attempt: str) -> None:
        """Forget an attempt that has surely not run."""
        known = self._entries.get(key)
        is_ours = known is not None and known.attempt == attempt
        if is_ours and known is not None and known.outcome is None:
            del self._entries[key]

    def _merge(self, entry: RegistryEntry) -> None:
        """Add an entry; an outcome decides, differing attempts without one do not.

        One of two such attempts may have run, so neither may be forgotten on the
        word of the other: their entry belongs to no attempt from then on.
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
        horizon_ms = now_ms - self._retention_ms
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if oldest.recorded_ms >= horizon_ms:
                return
            self._entries.popitem(last=False)


def key_created_ms(key: str) -> int | None:
    """Return the creation time that a key of the form "<Unix ms>-<text>" states.

    Putting the time into the key follows the time-factored keys of "Time-Series
    Storage in a Distributed Hash Table with Time-Factored Keys": here it tells
    which keys are younger than a loss of the registry and may therefore run.
    """
    stamp, separator, _ = key.partition("-")
    if not separator or len(stamp) != KEY_TIME_DIGITS or not stamp.isdecimal():
        return None
    return int(stamp)
