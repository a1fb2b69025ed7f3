"""Carries out one change of a group's primary."""

from dataclasses import dataclass
from typing import Final

from result import Err, Ok

from azurerelay.control._leader_context import LeaderContext
from azurerelay.endpoints import (
    EndpointAnswer,
    FenceCall,
    PromoteCall,
    StatusCall,
)
from azurerelay.membership import (
    BeginTerm,
    EndpointRecord,
    GroupRecord,
    HoldWrites,
    InstallPrimary,
)
from azurerelay.timing import Promise, sleep, spawn, with_timeout

FENCE_TIMEOUT_MS: Final = 400.0
# How long further answers are awaited once a majority has answered.
FENCE_GRACE_MS: Final = 15.0
PROMOTE_TIMEOUT_MS: Final = 400.0
# The interval at which acknowledgements and leases of hosts are checked.
HOST_POLL_MS: Final = 2.0
CATCH_UP_TIMEOUT_MS: Final = 1_000.0
CATCH_UP_POLL_MS: Final = 5.0
HOLD_ACK_TIMEOUT_MS: Final = 200.0


@dataclass(frozen=True, slots=True)
class ChangeReport:
    """The result of a change: the new primary, or why the change failed."""

    primary: str | None
    trouble: str = ""


class PrimaryChange:
    """Replace the primary of a group.

    A change commits a new term, waits until no host holds a lease for an earlier
    term, fences a majority of the endpoints at the new term and promotes the fenced
    endpoint with the most advanced log.

    With a preferred endpoint the change is a planned switchover: before the new
    term, writes are held until that endpoint has caught up with the primary.
    """

    def __init__(
        self,
        context: LeaderContext,
        group: str,
        reason: str,
        preferred: str,
    ) -> None:
        self._name = context.name
        self._group = group
        self._reason = reason
        self._preferred = preferred
        self._state = context.state
        self._table = context.table
        self._proposer = context.proposer
        self._endpoints = context.endpoints
        self._timers = context.timers

    async def run(self) -> ChangeReport:
        """Carry out the change; without a fenced majority nothing is promoted."""
        if self._preferred and not await self._prepare_switchover():
            await self._set_writes_held(
                False, "the preferred endpoint did not catch up"
            )
            return ChangeReport(None, f"{self._preferred} did not catch up")
        term = self._record.term + 1
        is_begun = await self._proposer.propose(
            BeginTerm(
                self._timers.wall_clock_ms(),
                self._name,
                self._group,
                term,
                self._reason,
            )
        )
        if not is_begun:
            return ChangeReport(None, "the new term was not committed here")
        fencing = spawn(self._fence(term, can_fence=True))
        await self._wait_for_lease_expiry()
        fenced = await fencing
        fenced.update(await self._fence(term, can_fence=False))
        quorum = self._quorum
        if len(fenced) < quorum:
            reached = ", ".join(sorted(fenced)) or "none"
            trouble = f"{quorum} endpoints are needed, reached: {reached}"
            return ChangeReport(None, trouble)
        return await self._promote(term, fenced)

    @property
    def _record(self) -> GroupRecord:
        return self._state.groups[self._group]

    @property
    def _quorum(self) -> int:
        expected = self._state.policy(self._group).endpoints_expected
        return self._record.quorum(expected)

    async def _prepare_switchover(self) -> bool:
        """Hold writes and return whether the preferred endpoint has caught up.

        The wait ends after `CATCH_UP_TIMEOUT_MS`.
        """
        await self._set_writes_held(True, self._reason)
        await self._wait_for_hold_acks()
        target = self._state.endpoints.get(self._preferred)
        primary = self._state.endpoints.get(self._record.primary or "")
        if target is None or primary is None:
            return False
        deadline_ms = self._timers.now_ms() + CATCH_UP_TIMEOUT_MS
        while self._timers.now_ms() < deadline_ms:
            if await self._is_caught_up(primary, target):
                return True
            await sleep(self._timers, CATCH_UP_POLL_MS)
        return False

    async def _wait_for_hold_acks(self) -> None:
        """Wait until all serving hosts have applied the hold of writes.

        The wait ends after `HOLD_ACK_TIMEOUT_MS`.
        """
        required_index = self._record.hold_index
        deadline_ms = self._timers.now_ms() + HOLD_ACK_TIMEOUT_MS
        while self._timers.now_ms() < deadline_ms:
            acked_indexes = [
                self._table.acked_index(host) for host in self._record.serving
            ]
            if all(acked_index >= required_index for acked_index in acked_indexes):
                return
            await sleep(self._timers, HOST_POLL_MS)

    async def _is_caught_up(
        self, primary: EndpointRecord, target: EndpointRecord
    ) -> bool:
        """Return whether the target has the position that the primary reports now."""
        primary_outcome = await self._endpoints.request(
            primary.address, StatusCall(), FENCE_TIMEOUT_MS
        )
        if isinstance(primary_outcome, Err):
            return False
        position = primary_outcome.ok_value.position
        target_outcome = await self._endpoints.request(
            target.address, StatusCall(position, FENCE_TIMEOUT_MS / 2), FENCE_TIMEOUT_MS
        )
        return (
            isinstance(target_outcome, Ok)
            and target_outcome.ok_value.synced_term == self._record.term
            and target_outcome.ok_value.position >= position
        )

    async def _set_writes_held(self, is_held: bool, reason: str) -> None:
        await self._proposer.propose(
            HoldWrites(
                self._timers.wall_clock_ms(),
                self._name,
                self._group,
                self._record.term,
                is_held,
                reason,
            )
        )

    async def _wait_for_lease_expiry(self) -> None:
        """Wait until no host can confirm requests of an earlier term."""
        required_index = self._record.term_index
        while True:
            until_ms = self._table.lagging_leases_until_ms(
                self._possible_lease_holders(), required_index, self._timers.now_ms()
            )
            if until_ms is None:
                return
            remaining_ms = until_ms - self._timers.now_ms()
            await sleep(self._timers, min(HOST_POLL_MS, remaining_ms))

    def _possible_lease_holders(self) -> tuple[str, ...]:
        """Return the hosts that may serve the group under a lease.

        Besides the serving set these are the hosts that have not applied it yet: they
        may still act as members of an earlier one.
        """
        record = self._record
        return tuple(
            host
            for host in self._state.hosts
            if host in record.serving
            or self._table.acked_index(host) < record.set_index
        )

    async def _fence(self, term: int, can_fence: bool) -> dict[str, EndpointAnswer]:
        """Fence the endpoints that support it, or ask the others for their status.

        Waits for a majority or for all to answer or fail, and then `FENCE_GRACE_MS`
        for further answers. Returns the answers by endpoint name.
        """
        endpoints = [
            endpoint
            for endpoint in self._state.group_endpoints(self._group)
            if endpoint.can_fence is can_fence
        ]
        answers: dict[str, EndpointAnswer] = {}
        all_answered: Promise[None] = Promise()
        majority_answered: Promise[None] = Promise()
        unanswered = len(endpoints)

        async def ask(endpoint: EndpointRecord) -> None:
            nonlocal unanswered
            call = FenceCall(term) if can_fence else StatusCall()
            outcome = await self._endpoints.request(
                endpoint.address, call, FENCE_TIMEOUT_MS
            )
            unanswered -= 1
            if isinstance(outcome, Ok):
                answers[endpoint.name] = outcome.ok_value
            if len(answers) >= self._quorum:
                majority_answered.resolve(None)
            if not unanswered:
                all_answered.resolve(None)
                majority_answered.resolve(None)

        if not endpoints:
            return answers
        for endpoint in endpoints:
            spawn(ask(endpoint))
        await majority_answered
        await with_timeout(self._timers, all_answered, FENCE_GRACE_MS)
        return dict(answers)

    async def _promote(
        self, term: int, fenced: dict[str, EndpointAnswer]
    ) -> ChangeReport:
        """Promote the endpoint with the highest log term, then position.

        Of equally advanced endpoints the preferred one is promoted.
        """

        def rank(name: str) -> tuple[int, int, bool, str]:
            answer = fenced[name]
            is_preferred = name == self._preferred
            return (answer.log_term, answer.position, is_preferred, name)

        chosen = max(fenced, key=rank)
        address = self._state.endpoints[chosen].address
        outcome = await self._endpoints.request(
            address, PromoteCall(term), PROMOTE_TIMEOUT_MS
        )
        if isinstance(outcome, Err):
            return ChangeReport(None, f"{chosen}: {outcome.err_value.detail}")
        chosen_answer = fenced[chosen]
        reason = (
            f"most advanced of {len(fenced)} fenced endpoints, "
            f"at term {chosen_answer.log_term} position {chosen_answer.position}"
        )
        is_installed = await self._proposer.propose(
            InstallPrimary(
                self._timers.wall_clock_ms(),
                self._name,
                self._group,
                term,
                chosen,
                reason,
            )
        )
        if not is_installed:
            return ChangeReport(None, "the new primary was not committed here")
        return ChangeReport(chosen)
