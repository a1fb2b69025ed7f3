"""Tracks which endpoints announce themselves."""

from dataclasses import replace

from azurerelay.control._leader_context import LeaderContext
from azurerelay.membership import (
    EndpointAnnouncement,
    EndpointRecord,
    Presence,
    RecordEndpoint,
)


class EndpointPresence:
    """Record new and changed endpoints, and expire those that stop announcing.

    An endpoint that has not announced itself to this leader yet counts as last
    heard when the leadership began.
    """

    def __init__(self, context: LeaderContext) -> None:
        self._name = context.name
        self._state = context.state
        self._proposer = context.proposer
        self._timers = context.timers
        self._started_ms = context.timers.now_ms()
        self._last_announced_ms: dict[str, float] = {}

    def on_announcement(self, announcement: EndpointAnnouncement) -> None:
        """Renew an endpoint; record it when it is new or has changed.

        An announcement older than the newest one seen changes nothing.
        """
        endpoint = announcement.endpoint
        announced_ms = self._timers.now_ms() - announcement.age_ms
        previous_ms = self._last_announced_ms.get(endpoint.name, announced_ms)
        self._last_announced_ms[endpoint.name] = max(announced_ms, previous_ms)
        known = self._state.endpoints.get(endpoint.name)
        if known != endpoint and announced_ms >= previous_ms:
            self._record(endpoint, "the endpoint announced itself")

    def expire(self) -> None:
        """Mark present endpoints as expired that have not announced in time."""
        now_ms = self._timers.now_ms()
        for endpoint in list(self._state.endpoints.values()):
            limit_ms = self._state.policy(endpoint.group).endpoints_expire_ms
            silence_ms = now_ms - self._last_announced_ms.get(
                endpoint.name, self._started_ms
            )
            if endpoint.presence is Presence.PRESENT and silence_ms > limit_ms:
                expired = replace(endpoint, presence=Presence.EXPIRED)
                self._record(expired, f"no announcement for {silence_ms:.0f} ms")

    def _record(self, endpoint: EndpointRecord, reason: str) -> None:
        command = RecordEndpoint(
            at_ms=self._timers.wall_clock_ms(),
            actor=self._name,
            endpoint=endpoint,
            expected=self._state.policy(endpoint.group).endpoints_expected,
            reason=reason,
        )
        self._proposer.propose_once(f"endpoint/{endpoint.name}", command)
