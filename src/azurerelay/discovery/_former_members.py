"""Endpoints that have left the directory but may still hold commits."""

from collections.abc import Callable
from typing import Final

from azurerelay.discovery._announcement import Announcement

# How long a primary must have been reporting since an endpoint was removed, for the
# other endpoints of the group to have received the commits of the removed one.
FORMER_MEMBER_RETENTION_MS: Final = 60_000.0


class FormerMembers:
    """The last announcements of endpoints that departed or expired.

    A member is kept until a primary of its group has reported for the retention time
    since the removal. Without a primary, no other endpoint receives the commits that
    only the removed one holds.
    """

    def __init__(self) -> None:
        self._members: dict[str, tuple[Announcement, float]] = {}
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
        if not self.includes(announcement):
            self._members[announcement.endpoint] = (announcement, now_ms)
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
        for name, (former, _) in list(self._members.items()):
            if is_replaced(former, announcement):
                self._forget(name)

    def forget_outdated(
        self, primary_reports: Callable[[str], tuple[float, float] | None]
    ) -> None:
        """Forget the members whose commits the other endpoints have received.

        `primary_reports` returns the times in milliseconds of the first and the last
        report of a group's primary, or None if the group has none.
        """
        for name, (former, removed_ms) in list(self._members.items()):
            reports = primary_reports(former.group)
            if reports is None:
                continue
            first_ms, last_ms = reports
            if last_ms - max(first_ms, removed_ms) > FORMER_MEMBER_RETENTION_MS:
                self._forget(name)

    def _forget(self, name: str) -> None:
        del self._members[name]
        self._revision += 1


def is_replaced(former: Announcement, announcement: Announcement) -> bool:
    """Return whether a removed endpoint has returned or has got a successor."""
    is_succeeded = (
        former.is_draining
        and former.group == announcement.group
        and former.address == announcement.address
    )
    return former.endpoint == announcement.endpoint or is_succeeded
