"""Failure detection for the primary of a group."""

from collections.abc import Mapping
from typing import Final

from azurerelay.endpoints import EndpointRole
from azurerelay.membership import GroupRecord, Suspicion
from azurerelay.routing import EndpointView
from azurerelay.settings import GroupPolicy

# How many probe intervals replicas may be without contact to the primary.
REPLICATION_SILENCE_INTERVALS: Final = 12
MIN_DEMOTED_PROBES: Final = 2


class PrimaryFailureDetector:
    """Decide whether a serving host suspects the primary of a group.

    A primary is suspected if it fails several probes in a row, or answers several as
    a replica, so that one slow answer is not enough. It is also suspected if no
    replica hears from it.
    """

    def find_suspicion(
        self,
        record: GroupRecord,
        policy: GroupPolicy,
        views: Mapping[str, EndpointView],
    ) -> Suspicion | None:
        """Return the suspicion that follows from the endpoints' views, or None."""
        if record.primary is None:
            return None
        view = views.get(record.primary)
        if view is None:
            return None
        if view.misses >= policy.probe_misses:
            reason = f"{record.primary} missed {view.misses} probes in a row"
            return Suspicion(record.name, record.term, reason)
        if view.demotions >= MIN_DEMOTED_PROBES:
            reason = f"{record.primary} runs, but not as the primary"
            return Suspicion(record.name, record.term, reason)
        silence_limit_ms = REPLICATION_SILENCE_INTERVALS * policy.probe_interval_ms
        if self._is_silent_to_replicas(record, views, silence_limit_ms):
            reason = f"replicas have not heard {record.primary} for {silence_limit_ms}"
            return Suspicion(record.name, record.term, f"{reason} ms")
        return None

    def _is_silent_to_replicas(
        self,
        record: GroupRecord,
        views: Mapping[str, EndpointView],
        silence_limit_ms: float,
    ) -> bool:
        """Return whether no replica has heard the primary within the limit.

        All replicas must report so. If one of them fails probes or does not follow the
        primary of the current term yet, the result is False.
        """
        replicas = [view for view in views.values() if view.name != record.primary]
        replicas_without_primary = [
            view
            for view in replicas
            if view.role is EndpointRole.REPLICA
            and view.synced_term == record.term
            and view.misses == 0
            and view.primary_silence_ms > silence_limit_ms
        ]
        return len(replicas) > 0 and len(replicas_without_primary) == len(replicas)
