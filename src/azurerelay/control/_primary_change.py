"""One change of a group's primary."""

from dataclasses import dataclass
from typing import Final

from result import Err, Ok

from azurerelay.control._duty_context import DutyContext
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
from azurerelay.timing import Promise, sleep, spawn, within

FENCE_TIMEOUT_MS: Final = 400.0
FENCE_GRACE_MS: Final = 15.0
PROMOTE_TIMEOUT_MS: Final = 400.0
LEASE_POLL_MS: Final = 2.0
SWITCH_LIMIT_MS: Final = 1_000.0
SWITCH_POLL_MS: Final = 5.0
HOLD_LIMIT_MS: Final = 200.0


@dataclass(frozen=True, slots=True)
class ChangeReport:
    """What came of a change: the new primary, or why there is none."""

    primary: str | None
    trouble: str = ""


class PrimaryChange:
    """Begin a term, end older leases, fence a majority, promote the most advanced.

    With a preferred endpoint the change is planned: writes are held until that
    endpoint has all that the present primary has.
    """

    def __init__(
        self,
        context: DutyContext,
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
        """Carry the change out; nothing is promoted without a fenced majority."""
        if self._preferred and not await self._hand_over():
            await self._hold_writes(False, "the preferred endpoint did not catch up")
            return ChangeReport(None, f"{self._preferred} did not catch up")
        term = self._record.term + 1
        begun = await self._proposer.propose(
            BeginTerm(
                self._timers.wall_ms(), self._name, self._group, term, self._reason
            )
        )
        if not begun:
            return ChangeReport(None, "the new term was not committed here")
        fencing = spawn(self._fence(term, can_fence=True))
        await self._outwait_leases()
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

    async def _hand_over(self) -> bool:
        """Hold writes until the preferred endpoint has the primary's position."""
        await self._hold_writes(True, self._reason)
        await self._await_hold()
        target = self._state.endpoints.get(self._preferred)
        primary = self._state.endpoints.get(self._record.primary or "")
        if target is None or primary is None:
            return False
        limit_ms = self._timers.now_ms() + SWITCH_LIMIT_MS
        while self._timers.now_ms() < limit_ms:
            if await self._is_caught_up(primary, target):
                return True
            await sleep(self._timers, SWITCH_POLL_MS)
        return False

    async def _await_hold(self) -> None:
        """Wait until the serving hosts hold their writes, or for a while."""
        index = self._record.hold_index
        limit_ms = self._timers.now_ms() + HOLD_LIMIT_MS
        while self._timers.now_ms() < limit_ms:
            acked = [self._table.acked_index(host) for host in self._record.serving]
            if all(applied >= index for applied in acked):
                return
            await sleep(self._timers, LEASE_POLL_MS)

    async def _is_caught_up(
        self, primary: EndpointRecord, target: EndpointRecord
    ) -> bool:
        source = await self._endpoints.request(
            primary.address, StatusCall(), FENCE_TIMEOUT_MS
        )
        if isinstance(source, Err):
            return False
        position = source.ok_value.position
        copy = await self._endpoints.request(
            target.address, StatusCall(position, FENCE_TIMEOUT_MS / 2), FENCE_TIMEOUT_MS
        )
        return (
            isinstance(copy, Ok)
            and copy.ok_value.synced_term == self._record.term
            and copy.ok_value.position >= position
        )

    async def _hold_writes(self, is_held: bool, reason: str) -> None:
        await self._proposer.propose(
            HoldWrites(
                self._timers.wall_ms(),
                self._name,
                self._group,
                self._record.term,
                is_held,
                reason,
            )
        )

    async def _outwait_leases(self) -> None:
        """Wait until no host can confirm work of an earlier term any more."""
        index = self._record.term_index
        while True:
            until_ms = self._table.holders_until_ms(
                self._possible_holders(), index, self._timers.now_ms()
            )
            if until_ms is None:
                return
            remaining_ms = until_ms - self._timers.now_ms()
            await sleep(self._timers, min(LEASE_POLL_MS, remaining_ms))

    def _possible_holders(self) -> tuple[str, ...]:
        record = self._record
        return tuple(
            host
            for host in self._state.hosts
            if host in record.serving
            or self._table.acked_index(host) < record.set_index
        )

    async def _fence(self, term: int, can_fence: bool) -> dict[str, EndpointAnswer]:
        """Return the answers of a majority, and of those that answer soon after."""
        endpoints = [
            endpoint
            for endpoint in self._state.group_endpoints(self._group)
            if endpoint.can_fence is can_fence
        ]
        answers: dict[str, EndpointAnswer] = {}
        is_all: Promise[None] = Promise()
        is_majority: Promise[None] = Promise()
        pending = len(endpoints)

        async def ask(endpoint: EndpointRecord) -> None:
            nonlocal pending
            call = FenceCall(term) if can_fence else StatusCall()
            outcome = await self._endpoints.request(
                endpoint.address, call, FENCE_TIMEOUT_MS
            )
            pending -= 1
            if isinstance(outcome, Ok):
                answers[endpoint.name] = outcome.ok_value
            if len(answers) >= self._quorum:
                is_majority.resolve(None)
            if not pending:
                is_all.resolve(None)
                is_majority.resolve(None)

        if not endpoints:
            return answers
        for endpoint in endpoints:
            spawn(ask(endpoint))
        await is_majority
        await within(self._timers, is_all, FENCE_GRACE_MS)
        return dict(answers)

    async def _promote(
        self, term: int, fenced: dict[str, EndpointAnswer]
    ) -> ChangeReport:
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
        held = fenced[chosen]
        reason = (
            f"most advanced of {len(fenced)} fenced endpoints, "
            f"at term {held.log_term} position {held.position}"
        )
        installed = await self._proposer.propose(
            InstallPrimary(
                self._timers.wall_ms(), self._name, self._group, term, chosen, reason
            )
        )
        if not installed:
            return ChangeReport(None, "the new primary was not committed here")
        return ChangeReport(chosen)
