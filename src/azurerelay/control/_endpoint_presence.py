"""Follows which endpoints announce themselves."""

from dataclasses import replace

from azurerelay.control._duty_context import DutyContext
from azurerelay.membership import (
    EndpointAnnouncement,
    EndpointRecord,
    Presence,
    RecordEndpoint,
)


class EndpointPresence:
    """Record announcements that bring news, and expire those not renewed."""

    def __init__(self, context: DutyContext) -> None:
        self._name = context.name
        self._state = context.state
        self._proposer = context.proposer
        self._timers = context.timers
        self._began_ms = context.timers.now_ms()
        self._seen_ms: dict[str, float] = {}

    def on_announcement(self, announcement: EndpointAnnouncement) -> None:
        """Renew an endpoint; record it when it is new or has changed."""
        endpoint = announcement.endpoint
        seen_ms = self._timers.now_ms() - announcement.age_ms
        known_ms = self._seen_ms.get(endpoint.name, seen_ms)
        self._seen_ms[endpoint.name] = max(seen_ms, known_ms)
        known = self._state.endpoints.get(endpoint.name)
        if known != endpoint and seen_ms >= known_ms:
            self._record(endpoint, "the endpoint announced itself")

    def expire(self) -> None:
        """Mark endpoints that have not announced themselves in time."""
        now_ms = self._timers.now_ms()
        for endpoint in list(self._state.endpoints.values()):
            limit_ms = self._state.policy(endpoint.group).endpoints_expire_ms
            silence_ms = now_ms - self._seen_ms.get(endpoint.name, self._began_ms)
            if endpoint.presence is Presence.PRESENT and silence_ms > limit_ms:
                expired = replace(endpoint, presence=Presence.EXPIRED)
                self._record(expired, f"no announcement for {silence_ms:.0f} ms")

    def _record(self, endpoint: EndpointRecord, reason: str) -> None:
        command = RecordEndpoint(
            at_ms=self._timers.wall_ms(),
            actor=self._name,
            endpoint=endpoint,
            expected=self._state.policy(endpoint.group).endpoints_expected,
            reason=reason,
        )
        self._proposer.propose_once(f"endpoint/{endpoint.name}", command)
