"""The directory of endpoints."""

from collections.abc import Callable, Iterable
from typing import Final

from azurerelay.discovery._announcement import Announcement
from azurerelay.discovery._departure import Departure
from azurerelay.discovery._directory_changes import DirectoryChanges
from azurerelay.discovery._drain import UNKNOWN_AGE_MS, Drain
from azurerelay.discovery._entry_check import (
    has_valid_progress,
    is_valid_announcement,
    is_valid_departure,
)
from azurerelay.discovery._former_members import (
    FormerMembers,
    PrimaryReports,
    is_replaced,
)

DEPARTURE_RETENTION_MS: Final = 60_000.0  # longer than any heartbeat is delayed
# Removed endpoints that are remembered, so that hosts which missed a few changes get
# the difference instead of the whole directory.
MAX_KEPT_REMOVALS: Final = 256
# The age of a drain that is corrected by less than this is not sent again.
MIN_DRAIN_CORRECTION_MS: Final = 200.0


class EndpointDirectory:
    """The newest announcement of each endpoint, by incarnation and sequence.

    Late heartbeats are ignored: after a network partition, one of an earlier
    incarnation may arrive when a newer one, or another endpoint, uses its address.

    Entries with a field out of range are ignored as well, whatever their source: a
    host of an earlier build may send them, or may have saved them. `on_refused` is
    called with the name of the endpoint.

    Once `set_groups` has named the configured groups, an announcement of another group
    replaces none of theirs, neither by its name nor by its address.

    Only a directory that `keeps_former_members` remembers removed endpoints, as
    promotions need it.
    """

    def __init__(
        self,
        on_refused: Callable[[str], object] = lambda _: None,
        *,
        keeps_former_members: bool = True,
    ) -> None:
        self._on_refused = on_refused
        self._keeps_former_members = keeps_former_members
        self._announcements: dict[str, Announcement] = {}
        self._last_heard_ms: dict[str, float] = {}
        self._departures: dict[str, tuple[Departure, float]] = {}
        self._former_members = FormerMembers()
        # By endpoint and incarnation; minus infinity if only the fact is known.
        self._draining_since_ms: dict[tuple[str, int], float] = {}
        self._claims: dict[str, int] = {}
        self._claimed_ms: dict[str, float] = {}
        self._claim_count = 0
        self._revision = 0
        # The revision of the last change of each endpoint, departure and removal.
        self._changed_at: dict[str, int] = {}
        self._departed_at: dict[str, int] = {}
        self._removed_at: dict[str, int] = {}
        self._oldest_base = 0
        self._groups: frozenset[str] | None = None

    @property
    def revision(self) -> int:
        """A counter of the changes that matter to routing."""
        return self._revision

    @property
    def announcements(self) -> tuple[Announcement, ...]:
        """The newest announcements of all endpoints in the directory."""
        return tuple(self._announcements.values())

    @property
    def departures(self) -> tuple[Departure, ...]:
        """The endpoints that departed recently."""
        return tuple(departure for departure, _ in self._departures.values())

    @property
    def former_members(self) -> FormerMembers:
        """The removed endpoints that may hold commits no other endpoint has.

        Endpoints whose log was transferred to a successor are left out.
        """
        return self._former_members

    def set_groups(self, groups: Iterable[str]) -> None:
        """Set the names of the configured groups."""
        self._groups = frozenset(groups)

    def get(self, endpoint: str) -> Announcement | None:
        """Return the newest announcement of an endpoint, or None if it is unknown."""
        return self._announcements.get(endpoint)

    def group(self, name: str) -> tuple[Announcement, ...]:
        """Return the endpoints of a group."""
        return tuple(r for r in self._announcements.values() if r.group == name)

    def primaries(self, group: str) -> tuple[Announcement, ...]:
        """Return the endpoints that claim to be the primary, the newest claim first.

        A primary that crashed keeps its claim until it restarts or expires.
        """
        claimants = [r for r in self.group(group) if r.is_primary]
        return tuple(sorted(claimants, key=lambda r: -self._claims[r.endpoint]))

    def silence_ms(self, endpoint: str, now_ms: float) -> float:
        """Return the time since the last heartbeat; infinite if there was none."""
        return now_ms - self._last_heard_ms.get(endpoint, float("-inf"))

    def draining_since_ms(self, endpoint: str) -> float | None:
        """Return since when an endpoint is known to drain; None if it does not.

        It is minus infinity if a host that knew the time has restarted.
        """
        announcement = self._announcements.get(endpoint)
        if announcement is None or not announcement.is_draining:
            return None
        return self._draining_since_ms[(endpoint, announcement.incarnation)]

    def drains(self, now_ms: float) -> tuple[Drain, ...]:
        """Return how long each draining endpoint has been known to drain."""
        return tuple(
            Drain(a.endpoint, a.incarnation, now_ms - since_ms)
            for a in self._announcements.values()
            if (since_ms := self.draining_since_ms(a.endpoint)) is not None
        )

    def merge_drains(self, drains: Iterable[Drain], now_ms: float) -> None:
        """Add what another host knows; the earliest known time counts."""
        self._forget_ended_drains(now_ms)
        for drain in drains:
            if not drain.age_ms >= 0.0:  # negative, or not a number
                self._on_refused(drain.endpoint)
                continue
            key = (drain.endpoint, drain.incarnation)
            since_ms = now_ms - drain.age_ms
            known_ms = self._draining_since_ms.get(key)
            is_better = known_ms is None or (
                drain.age_ms != UNKNOWN_AGE_MS
                and (known_ms == -UNKNOWN_AGE_MS or since_ms < known_ms)
            )
            if not is_better:
                continue
            self._draining_since_ms[key] = since_ms
            known = self._announcements.get(drain.endpoint)
            is_current = known is not None and known.incarnation == drain.incarnation
            if (
                is_current
                and known_ms is not None
                and abs(since_ms - known_ms) > MIN_DRAIN_CORRECTION_MS
            ):
                self._revision += 1
                self._changed_at[drain.endpoint] = self._revision

    def changes_since(self, revision: int) -> DirectoryChanges | None:
        """Return the changes after a revision; None if they are no longer known."""
        if not self._oldest_base <= revision <= self._revision:
            return None
        return DirectoryChanges(
            tuple(
                announcement
                for name, announcement in self._announcements.items()
                if self._changed_at[name] > revision
            ),
            tuple(
                departure
                for name, (departure, _) in self._departures.items()
                if self._departed_at[name] > revision
            ),
            tuple(name for name, at in self._removed_at.items() if at > revision),
        )

    def merge(self, announcement: Announcement, now_ms: float) -> bool:
        """Add an announcement; return False if it was ignored.

        It is ignored if it is invalid, if a newer one of the endpoint is known, if this
        incarnation has departed, or if a newer endpoint uses its address. One of a
        configured group counts as newer than one of another group.
        """
        known = self._announcements.get(announcement.endpoint)
        is_configured = self._is_configured(announcement)
        if known is not None and is_configured == self._is_configured(known):
            if announcement.recency <= known.recency:
                return announcement.recency == known.recency
        elif known is not None and not is_configured:
            return False
        is_equivalent = known is not None and announcement.is_equivalent_to(known)
        check = has_valid_progress if is_equivalent else is_valid_announcement
        if not check(announcement):
            self._on_refused(announcement.endpoint)
            return False
        departed = self._departures.get(announcement.endpoint)
        if departed and announcement.incarnation <= departed[0].incarnation:
            return False
        for other in self._sharing_address(announcement):
            rank = self._is_configured(other), other.incarnation
            if rank > (is_configured, announcement.incarnation):
                return False
            self._remove(other.endpoint, now_ms)
        self._former_members.forget_returned(announcement)
        key = (announcement.endpoint, announcement.incarnation)
        if announcement.is_draining:
            self._draining_since_ms.setdefault(key, now_ms)
        else:
            self._draining_since_ms.pop(key, None)
        self._record_claim(known, announcement, now_ms)
        self._announcements[announcement.endpoint] = announcement
        self._last_heard_ms[announcement.endpoint] = now_ms
        if not is_equivalent:
            self._revision += 1
            self._changed_at[announcement.endpoint] = self._revision
            self._removed_at.pop(announcement.endpoint, None)
        return True

    def merge_all(
        self,
        announcements: Iterable[Announcement],
        departures: Iterable[Departure],
        now_ms: float,
    ) -> None:
        """Add the announcements and departures known to another host."""
        for departure in departures:
            self.merge_departure(departure, now_ms)
        for announcement in announcements:
            self.merge(announcement, now_ms)

    def merge_departure(self, departure: Departure, now_ms: float) -> None:
        """Record a departure and remove the endpoint, unless it has started again."""
        if not is_valid_departure(departure):
            self._on_refused(departure.endpoint)
            return
        known_departure = self._departures.get(departure.endpoint)
        if known_departure and known_departure[0].incarnation >= departure.incarnation:
            return
        self._revision += 1
        self._departures[departure.endpoint] = (departure, now_ms)
        self._departed_at[departure.endpoint] = self._revision
        announcement = self._announcements.get(departure.endpoint)
        if (
            announcement is not None
            and announcement.incarnation <= departure.incarnation
        ):
            self._remove(departure.endpoint, now_ms)

    def merge_former_members(
        self, announcements: Iterable[Announcement], now_ms: float
    ) -> None:
        """Add the former members known to another host or before a restart."""
        for former in announcements:
            if self._former_members.includes(former):
                continue
            if not is_valid_announcement(former):
                self._on_refused(former.endpoint)
            elif not any(is_replaced(former, a) for a in self.group(former.group)):
                self._former_members.add(former, now_ms)

    def forget(self, endpoint: str, now_ms: float) -> None:
        """Remove an endpoint; also an older announcement of it is then accepted."""
        if endpoint in self._announcements:
            self._remove(endpoint, now_ms)

    def expire(self, limit_ms: float, now_ms: float) -> tuple[str, ...]:
        """Remove endpoints that were silent for longer than the limit.

        Returns their names. Departures past their retention time are removed, too.
        """
        silent = tuple(
            name
            for name, heard_ms in self._last_heard_ms.items()
            if now_ms - heard_ms > limit_ms
        )
        for name in silent:
            self._remove(name, now_ms)
        self._former_members.forget_outdated(
            self._primary_reports(), self._is_configured, now_ms
        )
        for name, (_, since_ms) in list(self._departures.items()):
            if now_ms - since_ms > DEPARTURE_RETENTION_MS:
                del self._departures[name]
                del self._departed_at[name]
        self._forget_ended_drains(now_ms)
        return silent

    def _forget_ended_drains(self, now_ms: float) -> None:
        for (name, incarnation), since_ms in list(self._draining_since_ms.items()):
            known = self._announcements.get(name)
            is_listed = known is not None and known.incarnation == incarnation
            if not is_listed and now_ms - since_ms > DEPARTURE_RETENTION_MS:
                del self._draining_since_ms[(name, incarnation)]

    def _is_configured(self, announcement: Announcement) -> bool:
        return self._groups is None or announcement.group in self._groups

    def _sharing_address(self, announcement: Announcement) -> tuple[Announcement, ...]:
        return tuple(
            other
            for other in self._announcements.values()
            if other.address == announcement.address
            and other.endpoint != announcement.endpoint
        )

    def _record_claim(
        self, known: Announcement | None, new: Announcement, now_ms: float
    ) -> None:
        is_claim_new = (
            known is None
            or not known.is_primary
            or known.incarnation != new.incarnation
        )
        if new.is_primary and is_claim_new:
            self._claim_count += 1
            self._claims[new.endpoint] = self._claim_count
            self._claimed_ms[new.endpoint] = now_ms

    def _primary_reports(self) -> dict[str, PrimaryReports]:
        """Return the reports of the primary with the newest claim, by group."""
        newest: dict[str, str] = {}
        for name, announcement in self._announcements.items():
            if announcement.is_primary:
                other = newest.get(announcement.group)
                if other is None or self._claims[name] > self._claims[other]:
                    newest[announcement.group] = name
        return {
            group: PrimaryReports(self._claimed_ms[name], self._last_heard_ms[name])
            for group, name in newest.items()
        }

    def _remove(self, endpoint: str, now_ms: float) -> None:
        removed = self._announcements.pop(endpoint, None)
        if removed is not None and self._keeps_former_members:
            self._former_members.add(removed, now_ms)
        self._last_heard_ms.pop(endpoint, None)
        self._claims.pop(endpoint, None)
        self._claimed_ms.pop(endpoint, None)
        self._changed_at.pop(endpoint, None)
        self._revision += 1
        self._removed_at[endpoint] = self._revision
        while len(self._removed_at) > MAX_KEPT_REMOVALS:
            oldest = min(self._removed_at, key=self._removed_at.__getitem__)
            self._oldest_base = self._removed_at.pop(oldest)
