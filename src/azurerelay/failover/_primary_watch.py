"""A serving host's judgement of a group's primary."""

from collections.abc import Mapping
from typing import Final

from azurerelay.endpoints import EndpointRole
from azurerelay.membership import GroupRecord, Suspicion
from azurerelay.routing import EndpointView
from azurerelay.settings import GroupPolicy

REPLICATION_SILENCE_PROBES: Final = 12
DEMOTED_PROBES: Final = 2


class PrimaryWatch:
    """Suspect a primary that misses probes or that its replicas cannot hear.

    One slow answer suspects nobody: several probes in a row must fail.
    """

    def judge(
        self,
        record: GroupRecord,
        policy: GroupPolicy,
        views: Mapping[str, EndpointView],
    ) -> Suspicion | None:
        """Return the suspicion in force, or None."""
        if record.primary is None:
            return None
        view = views.get(record.primary)
        if view is None:
            return None
        if view.misses >= policy.probe_misses:
            reason = f"{record.primary} missed {view.misses} probes in a row"
            return Suspicion(record.name, record.term, reason)
        if view.demotions >= DEMOTED_PROBES:
            reason = f"{record.primary} runs, but not as the primary"
            return Suspicion(record.name, record.term, reason)
        silence_limit_ms = REPLICATION_SILENCE_PROBES * policy.probe_interval_ms
        if self._is_unheard(record, views, silence_limit_ms):
            reason = f"replicas have not heard {record.primary} for {silence_limit_ms}"
            return Suspicion(record.name, record.term, f"{reason} ms")
        return None

    def _is_unheard(
        self,
        record: GroupRecord,
        views: Mapping[str, EndpointView],
        silence_limit_ms: float,
    ) -> bool:
        replicas = [v for v in views.values() if v.name != record.primary]
        unheard = [
            view
            for view in replicas
            if view.role is EndpointRole.REPLICA
            and view.synced_term == record.term
            and view.misses == 0
            and view.primary_silence_ms > silence_limit_ms
        ]
        return len(replicas) > 0 and len(unheard) == len(replicas)
