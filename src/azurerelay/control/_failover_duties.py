"""Decides when a group's primary is replaced."""

from collections import deque
from typing import Final

from result import Ok

from azurerelay.control._duty_context import DutyContext
from azurerelay.control._primary_change import PrimaryChange
from azurerelay.endpoints import StatusCall
from azurerelay.membership import (
    GroupRecord,
    HoldWrites,
    Presence,
    RecordRefusal,
    Suspicion,
)
from azurerelay.timing import sleep, spawn

RETRY_MS: Final = 500.0
BOOTSTRAP_WAIT_MS: Final = 500.0
FLAP_BASE_MS: Final = 1_000.0
FLAP_LIMIT_MS: Final = 5_000.0


class FailoverDuties:
    """Replace a primary that a majority of its serving set suspects.

    With fewer suspicions the leader's own probes must fail too, so that one slow
    answer or one cut link promotes nobody.
    """

    def __init__(self, context: DutyContext) -> None:
        self._name = context.name
        self._state = context.state
        self._context = context
        self._table = context.table
        self._proposer = context.proposer
        self._endpoints = context.endpoints
        self._timers = context.timers
        self._changing: set[str] = set()
        self._probing: set[str] = set()
        self._confirmed_by_probe: set[tuple[str, int]] = set()
        self._changes_ms: dict[str, deque[float]] = {}
        self._seen_ms: dict[str, float] = {}
        self._troubles: dict[str, str] = {}
        self._is_active = True

    def stop(self) -> None:
        """Begin no further change."""
        self._is_active = False

    def trouble(self, group: str) -> str:
        """Return why a group has no primary, as far as it is known."""
        return self._troubles.get(group, "")

    def check_all(self) -> None:
        """Look at every group that may need a change."""
        for group in list(self._state.groups.values()):
            self.check(group)

    def check(self, group: GroupRecord) -> None:
        """Begin a change of primary if the group needs one now."""
        if not self._is_active or group.name in self._changing:
            return
        if group.primary is None:
            self._check_without_primary(group)
            return
        reason = self._agreed_reason(group)
        if reason is not None:
            if self._is_damped(group.name):
                self._troubles[group.name] = "waiting: primaries changed too often"
                return
            self._begin(group, reason, "")
            return
        preferred = self._planned_target(group)
        if preferred and not self._is_damped(group.name):
            self._begin(group, f"planned switch to {preferred}", preferred)
        elif group.is_held:
            self._release(group)

    def _release(self, group: GroupRecord) -> None:
        """Let writes go on that an earlier leader held for a switch it did not end."""
        command = HoldWrites(
            self._timers.wall_ms(),
            self._name,
            group.name,
            group.term,
            False,
            "no switch of primary is under way",
        )
        self._proposer.propose_once(f"hold/{group.name}", command)

    def _check_without_primary(self, group: GroupRecord) -> None:
        now_ms = self._timers.now_ms()
        seen_ms = self._seen_ms.setdefault(group.name, now_ms)
        expected = self._state.policy(group.name).endpoints_expected
        is_complete = len(group.members) >= expected
        has_waited = now_ms - seen_ms >= BOOTSTRAP_WAIT_MS
        if len(group.members) >= group.quorum(expected) and (is_complete or has_waited):
            reason = "the group has no primary"
            self._begin(group, reason, "")

    def _agreed_reason(self, group: GroupRecord) -> str | None:
        suspicions = self._suspicions(group)
        if not suspicions:
            self._confirmed_by_probe.discard((group.name, group.term))
            return None
        majority = len(group.serving) // 2 + 1
        reason = f"{next(iter(suspicions.values())).reason}, seen by "
        hosts = ", ".join(sorted(suspicions))
        if len(suspicions) >= majority:
            return f"{reason}{hosts}"
        if (group.name, group.term) in self._confirmed_by_probe:
            return f"{reason}{hosts} and by the leader's own probes"
        if group.name not in self._probing:
            self._probing.add(group.name)
            spawn(self._probe(group))
        return None

    def _suspicions(self, group: GroupRecord) -> dict[str, Suspicion]:
        found: dict[str, Suspicion] = {}
        for host in group.serving:
            session = self._table.sessions.get(host)
            suspicion = session.suspicions.get(group.name) if session else None
            if suspicion is not None and suspicion.term == group.term:
                found[host] = suspicion
        return found

    async def _probe(self, group: GroupRecord) -> None:
        """Probe the primary as often as a serving host would before suspecting."""
        policy = self._state.policy(group.name)
        primary = self._state.endpoints.get(group.primary or "")
        failures = 0
        while primary is not None and failures < policy.probe_misses:
            outcome = await self._endpoints.request(
                primary.address, StatusCall(), policy.probe_timeout_ms
            )
            if isinstance(outcome, Ok):
                break
            failures += 1
            await sleep(self._timers, policy.probe_interval_ms)
        self._probing.discard(group.name)
        if failures >= policy.probe_misses:
            self._confirmed_by_probe.add((group.name, group.term))
            self.check(self._state.groups[group.name])

    def _planned_target(self, group: GroupRecord) -> str:
        """Return the endpoint that should take over in a planned switch, if any."""
        preferred = self._state.policy(group.name).preferred_primary
        is_member = preferred in group.members and preferred != group.primary
        if preferred and is_member and self._is_present(preferred):
            return preferred
        primary = self._state.endpoints.get(group.primary or "")
        if primary is None or primary.presence is not Presence.LEAVING:
            return ""
        others = [
            name
            for name in group.members
            if name != group.primary and self._is_present(name)
        ]
        return others[0] if others else ""

    def _is_present(self, endpoint: str) -> bool:
        record = self._state.endpoints.get(endpoint)
        return record is not None and record.presence is Presence.PRESENT

    def _is_damped(self, group: str) -> bool:
        now_ms = self._timers.now_ms()
        changes = self._changes_ms.setdefault(group, deque())
        policy = self._state.policy(group)
        while changes and now_ms - changes[0] > policy.flap_window_ms:
            changes.popleft()
        excess = len(changes) - policy.flap_free_changes
        if excess < 0:
            return False
        spacing_ms: float = min(FLAP_LIMIT_MS, FLAP_BASE_MS * 2.0**excess)
        return now_ms - changes[-1] < spacing_ms

    def _begin(self, group: GroupRecord, reason: str, preferred: str) -> None:
        self._changing.add(group.name)
        spawn(self._change(group.name, reason, preferred))

    async def _change(self, group: str, reason: str, preferred: str) -> None:
        change = PrimaryChange(self._context, group, reason, preferred)
        report = await change.run()
        if report.primary is not None:
            self._changes_ms.setdefault(group, deque()).append(self._timers.now_ms())
            self._troubles.pop(group, None)
        else:
            self._note_trouble(group, report.trouble)
            await sleep(self._timers, RETRY_MS)
        self._changing.discard(group)

    def _note_trouble(self, group: str, trouble: str) -> None:
        is_news = self._troubles.get(group) != trouble
        self._troubles[group] = trouble
        if is_news and self._is_active:
            command = RecordRefusal(self._timers.wall_ms(), self._name, group, trouble)
            self._proposer.propose_once(f"refusal/{group}", command)
