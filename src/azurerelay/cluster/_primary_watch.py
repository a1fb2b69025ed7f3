"""What the control leader knows about the primaries of all groups."""

from collections.abc import Callable
from typing import Final

from azurerelay.attachment import SuspectedPrimaryReport
from azurerelay.cluster._endpoint_status_client import EndpointStatusClient
from azurerelay.cluster._open_promotions import OpenPromotions
from azurerelay.cluster._primary_contact import PrimaryContact
from azurerelay.cluster._primary_contacts import PrimaryContacts
from azurerelay.cluster._promotion_policy import (
    CANDIDATE_MISSED_HEARTBEATS,
    GroupHealth,
    Suspicions,
    may_acknowledge_commits,
    promotion_reason,
)
from azurerelay.discovery import Announcement, EndpointDirectory
from azurerelay.membership import ClusterState
from azurerelay.pooling import connected_hosts
from azurerelay.routes import DatabaseGroup
from azurerelay.timing import TimerService, spawn

# Suspicions and contacts come at intervals. A promotion under way is given up only
# after there was no reason for it for this long.
REASON_RETENTION_MS: Final = 1_000.0

SuspicionSource = Callable[[], tuple[SuspectedPrimaryReport, ...]]


class PrimaryWatch:
    """Tells whether the primary of a group has to be replaced, and why."""

    def __init__(
        self,
        state: ClusterState,
        directory: EndpointDirectory,
        status_client: EndpointStatusClient,
        open_promotions: OpenPromotions,
        timers: TimerService,
        heartbeat_ms: float,
    ) -> None:
        self._state = state
        self._directory = directory
        self._open_promotions = open_promotions
        self._timers = timers
        self._heartbeat_ms = heartbeat_ms
        self._reason_seen_ms: dict[str, float] = {}
        self._contacts = PrimaryContacts(
            lambda primary: spawn(status_client.contact_primary(primary)), timers
        )
        self._suspicions: SuspicionSource = tuple
        self._count_entry_hosts: Callable[[], int] = lambda: 1

    def set_sources(
        self, suspicions: SuspicionSource, count_entry_hosts: Callable[[], int]
    ) -> None:
        """Set the callables that return suspicions and the number of entry hosts."""
        self._suspicions = suspicions
        self._count_entry_hosts = count_entry_hosts

    def synchronous_replicas(self, name: str) -> int:
        """Return the number of synchronous replicas of a group; 0 if it is unknown."""
        group = self._group(name)
        return group.synchronous_replicas if group is not None else 0

    def primary(self, group: str) -> str | None:
        """Return the endpoint with the newest claim to be the primary."""
        primaries = self._directory.primaries(group)
        return primaries[0].endpoint if primaries else None

    def reason(self, name: str) -> str | None:
        """Return why the primary of a group has to be replaced now, if it has."""
        group = self._group(name)
        if group is None:
            return None
        reason = promotion_reason(self._health(group), self._heartbeat_ms)
        if reason is None and self.has_open_promotions(name):
            reason = "an earlier order may still be carried out"
        if reason is not None:
            self._reason_seen_ms[name] = self._timers.now_ms()
        return reason

    def is_replacement_needed(self, name: str) -> bool:
        """Return whether there is a reason to replace a primary, or was recently."""
        if self._group(name) is None:
            return False
        if self.reason(name) is not None:
            return True
        seen_ms = self._reason_seen_ms.get(name, float("-inf"))
        return self._timers.now_ms() - seen_ms < REASON_RETENTION_MS

    def has_open_promotions(self, name: str) -> bool:
        """Return whether a promotion under synchronous replicas may take effect."""
        is_open = bool(self._open_promotions.endpoints(name))
        return is_open and self.synchronous_replicas(name) > 0

    def is_healthy(self, name: str) -> bool:
        """Return whether the present primary itself is no reason to replace it."""
        group = self._group(name)
        if group is None:
            return False
        return promotion_reason(self._health(group), self._heartbeat_ms) is None

    def is_serving(self, name: str) -> bool:
        """Return whether the primary may acknowledge commits at this moment."""
        group = self._group(name)
        return group is not None and may_acknowledge_commits(self._health(group))

    def primary_to_keep(self, name: str) -> Announcement | None:
        """Return the primary if it is well and no open promotion can take effect now.

        That is so while the endpoints to be promoted send no heartbeats.
        """
        endpoints = self._open_promotions.endpoints(name)
        primaries = self._directory.primaries(name)
        if not endpoints or not primaries or not self.is_healthy(name):
            return None
        primary = primaries[0]
        if primary.endpoint in endpoints or self._is_silent(primary.endpoint):
            return None
        return primary if all(map(self._is_silent, endpoints)) else None

    def _is_silent(self, endpoint: str) -> bool:
        silence_ms = self._directory.silence_ms(endpoint, self._timers.now_ms())
        return silence_ms >= CANDIDATE_MISSED_HEARTBEATS * self._heartbeat_ms

    def _group(self, name: str) -> DatabaseGroup | None:
        configuration = self._state.configuration
        groups = configuration.groups if configuration is not None else ()
        return next((group for group in groups if group.name == name), None)

    def _health(self, group: DatabaseGroup) -> GroupHealth:
        primaries = self._directory.primaries(group.name)
        primary = primaries[0] if primaries else None
        observing_hosts = connected_hosts(
            group.connection_limit, self._count_entry_hosts()
        )
        unknown = PrimaryContact.UNKNOWN
        if primary is None:
            nobody = Suspicions()
            return GroupHealth(None, 0.0, nobody, nobody, unknown, observing_hosts)
        # Suspicions of an earlier primary say nothing about this one.
        report = next(
            (
                report
                for report in self._suspicions()
                if report.group == group.name and report.endpoint == primary.endpoint
            ),
            None,
        )
        if report is None:
            suspicions = certain = Suspicions()
        else:
            suspicions = Suspicions(report.hosts, report.longest_ms)
            certain = Suspicions(report.certain_hosts, report.longest_certain_ms)
        return GroupHealth(
            primary,
            self._directory.silence_ms(primary.endpoint, self._timers.now_ms()),
            suspicions,
            certain,
            self._contacts.recent(primary) if report is not None else unknown,
            observing_hosts,
        )
