"""The server of one group on a member of its serving set."""

from azurerelay.membership import GroupRecord, Suspicion
from azurerelay.registry import IdempotencyRegistry
from azurerelay.requests import CallerAnswer, CallerRequest, ErrorCode, Operation
from azurerelay.retries import RetryBudget
from azurerelay.routing import PositionTracker
from azurerelay.serving._answers import not_run
from azurerelay.serving._at_most_once import AtMostOnce
from azurerelay.serving._change_signal import ChangeSignal
from azurerelay.serving._channels import Channels
from azurerelay.serving._confirmer import Confirmer
from azurerelay.serving._explanation import Explanation
from azurerelay.serving._prober import Prober
from azurerelay.serving._read_path import ReadPath
from azurerelay.serving._registry_member import RegistryMember
from azurerelay.serving._serving_context import ServingContext
from azurerelay.serving._transaction_path import TransactionPath
from azurerelay.serving._write_path import WritePath
from azurerelay.timing import Timer

EXPIRY_INTERVAL_MS = 100.0
MIN_REMAINING_MS = 1.0


class GroupServer:
    """Own a group's connections, positions, transactions and registry entries."""

    def __init__(self, context: ServingContext) -> None:
        self._context = context
        policy = context.policy
        self._tracker = PositionTracker()
        self._signal = ChangeSignal()
        self._channels = Channels(context, self._signal)
        self._prober = Prober(context, self._tracker, self._channels.reset_circuit)
        self._budget = RetryBudget(policy.retry_budget_percent)
        registry = IdempotencyRegistry(policy.retention_ms, policy.max_entries)
        self._registry_member = RegistryMember(context, registry)
        confirmer = Confirmer(context, self._tracker)
        self._reads = ReadPath(
            context,
            self._tracker,
            self._channels,
            confirmer,
            self._prober,
            self._budget,
        )
        self._writes = WritePath(
            context,
            self._tracker,
            self._channels,
            confirmer,
            AtMostOnce(context, registry),
            self._budget,
        )
        self._transactions = TransactionPath(
            context, self._tracker, self._channels, confirmer
        )
        self._term = 0
        self._primary: str | None = None
        self._repointed_term = 0
        self._in_flight = 0
        self._is_retiring = False
        self._timer: Timer | None = None

    @property
    def tracker(self) -> PositionTracker:
        """Positions of the group's endpoints."""
        return self._tracker

    @property
    def channels(self) -> Channels:
        """Channels to the group's endpoints."""
        return self._channels

    @property
    def registry_member(self) -> RegistryMember:
        """This host's membership in the group's idempotency registry."""
        return self._registry_member

    @property
    def suspicion(self) -> Suspicion | None:
        """The suspicion that the primary has failed, if any; None while retiring."""
        return None if self._is_retiring else self._prober.suspicion

    @property
    def in_flight(self) -> int:
        """The number of requests in progress."""
        return self._in_flight

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress and no transaction is open."""
        return self._in_flight == 0 and self._transactions.open_count == 0

    @property
    def is_retiring(self) -> bool:
        """Whether the host has left the serving set."""
        return self._is_retiring

    def start(self) -> None:
        """Open channels, start probes and expiry, and collect registry entries."""
        self.on_state_changed()
        self._prober.start()
        self._timer = self._context.timers.call_every(
            EXPIRY_INTERVAL_MS, self._transactions.expire
        )

    def stop(self) -> None:
        """Stop probing and close all channels."""
        self._prober.stop()
        if self._timer is not None:
            self._timer.cancel()
        self._channels.close()

    def retire(self) -> None:
        """Refuse new requests and close idle connections.

        Requests in progress and open transactions continue.
        """
        self._is_retiring = True
        self._channels.close_idle()

    def resume(self) -> None:
        """Accept new requests again after rejoining the serving set."""
        self._is_retiring = False

    def on_state_changed(self) -> None:
        """Apply changes of term, primary, endpoints, settings or serving set."""
        context = self._context
        record = context.record
        policy = context.policy
        self._apply_primary_change(record)
        is_majority = policy.durability == "majority"
        quorum = record.quorum(policy.endpoints_expected) if is_majority else 1
        endpoints = context.state.group_endpoints(context.group)
        self._tracker.configure(record.term, record.primary, quorum, endpoints)
        self._channels.configure()
        self._budget.set_percent(policy.retry_budget_percent)
        self._registry_member.on_state_changed()
        self._signal.notify()

    def _apply_primary_change(self, record: GroupRecord) -> None:
        """Fail calls to a primary whose term has ended; repoint the other endpoints."""
        if record.term != self._term and self._primary is not None:
            detail = f"term {self._term} ended while the call was under way"
            self._channels.interrupt(self._primary, detail)
        if record.primary is not None and record.term != self._repointed_term:
            self._repointed_term = record.term
            self._prober.repoint_all()
        self._term = record.term
        self._primary = record.primary

    def on_lease_changed(self) -> None:
        """Wake requests that wait for a lease."""
        self._signal.notify()

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Run one request of a caller and return the answer."""
        is_new = request.transaction is None
        if self._is_retiring and is_new:
            return not_run(ErrorCode.NO_ROUTE, "this host has left the serving set", 0)
        deadline_ms = self._context.now_ms() + max(MIN_REMAINING_MS, request.timeout_ms)
        explanation = Explanation(request.is_explained)
        self._in_flight += 1
        try:
            answer = await self._dispatch(request, deadline_ms, explanation)
        finally:
            self._in_flight -= 1
        return _with_explanation(answer, explanation, self._context.host)

    async def _dispatch(
        self, request: CallerRequest, deadline_ms: float, explanation: Explanation
    ) -> CallerAnswer:
        if request.transaction is not None:
            return await self._transactions.run(request, deadline_ms, explanation)
        match request.operation:
            case Operation.READ:
                return await self._reads.run(request, deadline_ms, explanation)
            case Operation.WRITE:
                return await self._writes.run(request, deadline_ms, explanation)
            case Operation.BEGIN:
                return await self._transactions.begin(request, deadline_ms, explanation)
            case _:
                return not_run(ErrorCode.TRANSACTION_GONE, "no transaction is named")


def _with_explanation(
    answer: CallerAnswer, explanation: Explanation, host: str
) -> CallerAnswer:
    return CallerAnswer(
        outcome=answer.outcome,
        code=answer.code,
        detail=answer.detail,
        rows=answer.rows,
        term=answer.term,
        position=answer.position,
        staleness_ms=answer.staleness_ms,
        endpoint=answer.endpoint,
        is_from_replica=answer.is_from_replica,
        host=host,
        retry_after_ms=answer.retry_after_ms,
        transaction=answer.transaction,
        is_replay=answer.is_replay,
        explanation=explanation.lines,
    )
