"""Endpoints that have left the directory but may still hold commits."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from azurerelay.discovery._announcement import Announcement

# How long a primary must have been reporting since an endpoint was removed, for the
# other endpoints of the group to have received the commits of the removed one.
FORMER_MEMBER_RETENTION_MS: Final = 60_000.0


@dataclass(frozen=True, slots=True)
class PrimaryReports:
    """When a primary first and last reported as such, in milliseconds."""

    first_ms: float
    last_ms: float


class FormerMembers:
    """The last announcements of endpoints that departed or expired.

    A member is kept until a primary of its group has reported for the retention time
    since the removal. Without a primary, no other endpoint receives the commits that
    only the removed one holds. A member of a group that is not configured is kept for
    the retention time.
    """

    def __init__(self) -> None:
        self._members: dict[str, tuple[Announcement, float]] = {}
        self._names_by_address: defaultdict[str, set[str]] = defaultdict(set)
        self._revision = 0

    @property
    def revision(self) -> int:
        """A counter of the changes."""
        return self._revision

    @property
    def announcements(self) -> tuple[Announcement, ...]:
        """The last announcements of all former members."""
        return tuple(announcement for announcement, _ in self._members.values())

    def add(self, announcement: Announcement, now_ms: float) -> None:
        """Record an endpoint that has been removed, unless it is known already."""
        name = announcement.endpoint
        if self.includes(announcement):
            return
        if name in self._members:
            self._forget(name)
        self._members[name] = (announcement, now_ms)
        self._names_by_address[announcement.address].add(name)
        self._revision += 1

    def includes(self, announcement: Announcement) -> bool:
        """Return whether this or a newer announcement of a former member is known."""
        known = self._members.get(announcement.endpoint)
        return known is not None and known[0].recency >= announcement.recency

    def group(self, name: str) -> tuple[Announcement, ...]:
        """Return the former members of a group."""
        return tuple(a for a in self.announcements if a.group == name)

    def forget_returned(self, announcement: Announcement) -> None:
        """Forget the members that an announcement replaces.

        These are the endpoint itself, and drained ones at its address: their log is
        transferred to the successor.
        """
        at_address = self._names_by_address.get(announcement.address, ())
        for name in {announcement.endpoint, *at_address}:
            known = self._members.get(name)
            if known is not None and is_replaced(known[0], announcement):
                self._forget(name)

    def forget_outdated(
        self,
        primaries: Mapping[str, PrimaryReports],
        is_configured: Callable[[Announcement], bool],
        now_ms: float,
    ) -> None:
        """Forget the members whose commits the other endpoints have received.

        `primaries` has the reports of the primary of each group that has one.
        """
        for name, (former, removed_ms) in list(self._members.items()):
            reports = primaries.get(former.group)
            if not is_configured(former):
                since_ms, until_ms = removed_ms, now_ms
            elif reports is not None:
                since_ms, until_ms = max(removed_ms, reports.first_ms), reports.last_ms
            else:
                continue
            if until_ms - since_ms > FORMER_MEMBER_RETENTION_MS:
                self._forget(name)

    def _forget(self, name: str) -> None:
        former, _ = self._members.pop(name)
        names = self._names_by_address[former.address]
        names.discard(name)
        if not names:
            del self._names_by_address[former.address]
        self._revision += 1


def is_replaced(former: Announcement, announcement: Announcement) -> bool:
    """Return whether a removed endpoint has returned or has got a successor."""
    is_succeeded = (
        former.is_draining
        and former.group == announcement.group
        and former.address == announcement.address
    )
    return former.endpoint == announcement.endpoint or is_succeeded
