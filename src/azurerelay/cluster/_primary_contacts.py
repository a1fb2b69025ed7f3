"""The control leader's own contacts with suspected primaries."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from azurerelay.cluster._primary_contact import PrimaryContact
from azurerelay.discovery import Announcement
from azurerelay.timing import Promise, TimerService

CONTACT_INTERVAL_MS: Final = 200.0
# An older outcome says nothing about the primary any more.
CONTACT_MAX_AGE_MS: Final = 500.0


@dataclass(slots=True)
class _Contact:
    """The start of the last attempt, and the last outcome with its time."""

    started_ms: float
    finished_ms: float = float("-inf")
    outcome: PrimaryContact = PrimaryContact.UNKNOWN


class PrimaryContacts:
    """Contacts suspected primaries at intervals and remembers the recent outcomes."""

    def __init__(
        self,
        contact: Callable[[Announcement], Promise[PrimaryContact]],
        timers: TimerService,
    ) -> None:
        self._contact = contact
        self._timers = timers
        self._contacts: dict[str, _Contact] = {}

    def recent(self, primary: Announcement) -> PrimaryContact:
        """Return the recent outcome, and contact the primary again if that is due."""
        now_ms = self._timers.now_ms()
        self._forget_old(now_ms)
        known = self._contacts.get(primary.endpoint)
        if known is None:
            known = self._contacts[primary.endpoint] = _Contact(float("-inf"))
        if now_ms - known.started_ms >= CONTACT_INTERVAL_MS:
            self._start(primary, known)
        if now_ms - known.finished_ms > CONTACT_MAX_AGE_MS:
            return PrimaryContact.UNKNOWN
        return known.outcome

    def _start(self, primary: Announcement, known: _Contact) -> None:
        known.started_ms = self._timers.now_ms()
        promise = self._contact(primary)

        def record() -> None:
            known.finished_ms = self._timers.now_ms()
            known.outcome = promise.value

        promise.add_callback(record)

    def _forget_old(self, now_ms: float) -> None:
        for name, contact in list(self._contacts.items()):
            if now_ms - contact.started_ms > 2 * CONTACT_MAX_AGE_MS:
                del self._contacts[name]
