"""Decides when the primary of a group is replaced."""

from collections import deque
from typing import Final

from result import Ok

from azurerelay.control._leader_context import LeaderContext
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

CHANGE_RETRY_MS: Final = 500.0
# How long a leader that finds a group without a primary waits for all expected
# endpoints; after that a majority of them suffices.
BOOTSTRAP_WAIT_MS: Final = 500.0
# The spacing of changes beyond `failover.flap_free_changes` doubles with each
# further change in the window, from the base to the maximum.
FLAP_BACKOFF_BASE_MS: Final = 1_000.0
FLAP_BACKOFF_MAX_MS: Final = 5_000.0


class FailoverController:
    """Start changes of primary: failovers and planned switchovers.

    A primary is replaced when a majority of the serving set suspects it. With fewer
    suspicions the leader's own probes must fail too, so that one slow answer or one
    broken link between a host and the primary causes no failover.

    A primary that announces that it leaves, or that is not the preferred one, is
    replaced by a planned switchover. Both kinds of change are delayed while changes
    of the group are too frequent (flap damping). A group without a primary gets one
    without such a delay.
    """

    def __init__(self, context: LeaderContext) -> None:
        self._name = context.name
        self._state = context.state
        self._context = context
        self._table = context.table
        self._proposer = context.proposer
        self._endpoints = context.endpoints
        self._timers = context.timers
        self._changing_groups: set[str] = set()
        self._probed_groups: set[str] = set()
        self._probe_confirmed_terms: set[tuple[str, int]] = set()
        self._change_times_ms: dict[str, deque[float]] = {}
        self._first_without_primary_ms: dict[str, float] = {}
        self._troubles: dict[str, str] = {}
        self._is_active = True

    def stop(self) -> None:
        """Start no further change of primary."""
        self._is_active = False

    def trouble(self, group: str) -> str:
        """Return why the last change of a group's primary failed or is delayed.

        The text is empty if there was no such failure, and again after the next
        successful change.
        """
        return self._troubles.get(group, "")

    def check_all(self) -> None:
        """Check every group."""
        for group in list(self._state.groups.values()):
            self.check(group)

    def check(self, group: GroupRecord) -> None:
        """Start a change of primary if the group needs one now."""
        if not self._is_active or group.name in self._changing_groups:
            return
        if group.primary is None:
            self._check_without_primary(group)
            return
        reason = self._failover_reason(group)
        if reason is not None:
            if self._is_damped(group.name):
                self._troubles[group.name] = "waiting: primaries changed too often"
                return
            self._begin_change(group, reason, "")
            return
        target = self._switchover_target(group)
        if target and not self._is_damped(group.name):
            self._begin_change(group, f"planned switch to {target}", target)
        elif group.is_held:
            self._release_writes(group)

    def _release_writes(self, group: GroupRecord) -> None:
        """Release writes that are held although no switchover is under way.

        Such a hold is left over when a leader is lost during a switchover.
        """
        command = HoldWrites(
            self._timers.wall_clock_ms(),
            self._name,
            group.name,
            group.term,
            False,
            "no switch of primary is under way",
        )
        self._proposer.propose_once(f"hold/{group.name}", command)

    def _check_without_primary(self, group: GroupRecord) -> None:
        """Start a change once enough endpoints are known to choose among."""
        now_ms = self._timers.now_ms()
        first_ms = self._first_without_primary_ms.setdefault(group.name, now_ms)
        expected = self._state.policy(group.name).endpoints_expected
        is_complete = len(group.members) >= expected
        has_waited = now_ms - first_ms >= BOOTSTRAP_WAIT_MS
        if len(group.members) >= group.quorum(expected) and (is_complete or has_waited):
            reason = "the group has no primary"
            self._begin_change(group, reason, "")

    def _failover_reason(self, group: GroupRecord) -> str | None:
        """Return why the primary must be replaced, or None.

        Starts the leader's own probes if a minority of the hosts suspects it.
        """
        suspicions = self._suspicions(group)
        if not suspicions:
            self._probe_confirmed_terms.discard((group.name, group.term))
            return None
        majority = len(group.serving) // 2 + 1
        reason = f"{next(iter(suspicions.values())).reason}, seen by "
        hosts = ", ".join(sorted(suspicions))
        if len(suspicions) >= majority:
            return f"{reason}{hosts}"
        if (group.name, group.term) in self._probe_confirmed_terms:
            return f"{reason}{hosts} and by the leader's own probes"
        if group.name not in self._probed_groups:
            self._probed_groups.add(group.name)
            spawn(self._probe(group))
        return None

    def _suspicions(self, group: GroupRecord) -> dict[str, Suspicion]:
        """Return the serving hosts' suspicions of the current term by host."""
        by_host: dict[str, Suspicion] = {}
        for host in group.serving:
            session = self._table.sessions.get(host)
            suspicion = session.suspicions.get(group.name) if session else None
            if suspicion is not None and suspicion.term == group.term:
                by_host[host] = suspicion
        return by_host

    async def _probe(self, group: GroupRecord) -> None:
        """Probe the primary with the limits that serving hosts use.

        If all `probe_misses` probes fail, the group is checked again with the
        suspicion confirmed.
        """
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
        self._probed_groups.discard(group.name)
        if failures >= policy.probe_misses:
            self._probe_confirmed_terms.add((group.name, group.term))
            self.check(self._state.groups[group.name])

    def _switchover_target(self, group: GroupRecord) -> str:
        """Return the endpoint that a planned switchover should promote, or "".

        That is the preferred primary if it is present, else another present member
        if the primary is leaving.
        """
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
        """Return whether the next change must wait because of flap damping."""
        now_ms = self._timers.now_ms()
        change_times_ms = self._change_times_ms.setdefault(group, deque())
        policy = self._state.policy(group)
        while change_times_ms and now_ms - change_times_ms[0] > policy.flap_window_ms:
            change_times_ms.popleft()
        excess = len(change_times_ms) - policy.flap_free_changes
        if excess < 0:
            return False
        spacing_ms: float = min(FLAP_BACKOFF_MAX_MS, FLAP_BACKOFF_BASE_MS * 2.0**excess)
        return now_ms - change_times_ms[-1] < spacing_ms

    def _begin_change(self, group: GroupRecord, reason: str, preferred: str) -> None:
        self._changing_groups.add(group.name)
        spawn(self._run_change(group.name, reason, preferred))

    async def _run_change(self, group: str, reason: str, preferred: str) -> None:
        change = PrimaryChange(self._context, group, reason, preferred)
        report = await change.run()
        if report.primary is not None:
            self._change_times_ms.setdefault(group, deque()).append(
                self._timers.now_ms()
            )
            self._troubles.pop(group, None)
        else:
            self._record_trouble(group, report.trouble)
            await sleep(self._timers, CHANGE_RETRY_MS)
        self._changing_groups.discard(group)

    def _record_trouble(self, group: str, trouble: str) -> None:
        is_new = self._troubles.get(group) != trouble
        self._troubles[group] = trouble
        if is_new and self._is_active:
            command = RecordRefusal(
                self._timers.wall_clock_ms(), self._name, group, trouble
            )
            self._proposer.propose_once(f"refusal/{group}", command)
