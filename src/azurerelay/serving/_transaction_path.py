"""Runs transactions, each on a dedicated connection."""

import itertools

from result import Err, Ok

from azurerelay.endpoints import (
    BeginCall,
    CommitCall,
    EndpointAnswer,
    EndpointConnection,
    EndpointFailure,
    FailureKind,
    RollbackCall,
    StatementCall,
)
from azurerelay.limits import Priority, Shed
from azurerelay.requests import (
    CallerAnswer,
    CallerRequest,
    ErrorCode,
    Operation,
    Outcome,
)
from azurerelay.routing import PositionTracker
from azurerelay.serving._answers import (
    DEFAULT_RETRY_AFTER_MS,
    failure_answer,
    not_run,
    shed_answer,
    unknown,
)
from azurerelay.serving._channels import Channels, guarded
from azurerelay.serving._confirmer import Confirmer
from azurerelay.serving._endpoint_channel import ChannelResult, EndpointChannel
from azurerelay.serving._explanation import Explanation
from azurerelay.serving._serving_context import ServingContext
from azurerelay.serving._transaction import Transaction
from azurerelay.timing import spawn

# Connections of a pool that open transactions leave to other requests.
RESERVED_CONNECTIONS = 1
ROLLBACK_TIMEOUT_MS = 500.0


class TransactionPath:
    """Begin, run, commit and roll back transactions of one group on this host."""

    def __init__(
        self,
        context: ServingContext,
        tracker: PositionTracker,
        channels: Channels,
        confirmer: Confirmer,
    ) -> None:
        self._context = context
        self._tracker = tracker
        self._channels = channels
        self._confirmer = confirmer
        self._open: dict[str, Transaction] = {}
        self._names = itertools.count(1)

    @property
    def open_count(self) -> int:
        """The number of open transactions."""
        return len(self._open)

    async def begin(
        self, request: CallerRequest, deadline_ms: float, explanation: Explanation
    ) -> CallerAnswer:
        """Begin a transaction on a dedicated connection."""
        wait_until_ms = self._channels.primary_wait_deadline_ms(deadline_ms)
        usable_primary = await self._channels.wait_for_primary(
            wait_until_ms, is_write=True
        )
        if isinstance(usable_primary, Err):
            return usable_primary.err_value
        channel = usable_primary.ok_value
        if self._is_full(channel):
            detail = f"{len(self._open)} transactions are open on this host"
            return not_run(ErrorCode.OVERLOADED, detail, DEFAULT_RETRY_AFTER_MS)
        admission = await channel.gate.admit(
            Priority.WRITE, request.caller, deadline_ms
        )
        if isinstance(admission, Err):
            return shed_answer(admission.err_value, channel.record.name)
        remaining_ms = deadline_ms - self._context.now_ms()
        connection = await channel.pool.acquire(remaining_ms)
        if isinstance(connection, Err):
            channel.gate.cancel()
            return failure_answer(connection.err_value)
        return await self._begin_on(channel, connection.ok_value, deadline_ms)

    async def run(
        self, request: CallerRequest, deadline_ms: float, explanation: Explanation
    ) -> CallerAnswer:
        """Run a statement, a commit or a rollback of an open transaction."""
        transaction = self._open.get(request.transaction or "")
        if transaction is None:
            detail = f"no open transaction {request.transaction}: it was rolled back"
            return not_run(ErrorCode.TRANSACTION_GONE, detail)
        if transaction.is_busy:
            detail = "another request of this transaction is still running"
            return not_run(ErrorCode.TRANSACTION_BUSY, detail)
        transaction.is_busy = True
        try:
            return await self._run_exclusively(transaction, request, deadline_ms)
        finally:
            transaction.is_busy = False
            transaction.last_used_ms = self._context.now_ms()

    def expire(self) -> None:
        """Roll back transactions that are idle, too old or of an ended term.

        One with a request in progress is left until that request has ended.
        """
        now_ms = self._context.now_ms()
        policy = self._context.policy
        for transaction in list(self._open.values()):
            idle_ms = now_ms - transaction.last_used_ms
            is_idle = not transaction.is_busy and idle_ms > policy.transaction_idle_ms
            is_old = now_ms - transaction.started_ms > policy.transaction_max_ms
            is_superseded = transaction.term != self._context.record.term
            if not transaction.is_busy and (is_idle or is_old or is_superseded):
                spawn(self._roll_back(transaction))

    def _is_full(self, channel: EndpointChannel) -> bool:
        limit = max(1, channel.pool.capacity - RESERVED_CONNECTIONS)
        return len(self._open) >= limit

    async def _begin_on(
        self,
        channel: EndpointChannel,
        connection: EndpointConnection,
        deadline_ms: float,
    ) -> CallerAnswer:
        context = self._context
        term = context.record.term
        guard = guarded(self._channels, term, BeginCall(term))
        outcome = await channel.call_admitted(connection, guard, deadline_ms)
        if isinstance(outcome, Err):
            channel.pool.put_back(connection, is_clean=False)
            return _begin_failure_answer(outcome.err_value)
        number = outcome.ok_value.transaction or 0
        nonce = context.random_source.getrandbits(64)
        name = f"{context.host}~{context.incarnation}-{next(self._names)}-{nonce:016x}"
        now_ms = context.now_ms()
        self._open[name] = Transaction(
            name, term, number, channel, connection, now_ms, now_ms
        )
        context.counters.transactions += 1
        return CallerAnswer(
            Outcome.DONE, endpoint=channel.record.name, transaction=name
        )

    async def _run_exclusively(
        self, transaction: Transaction, request: CallerRequest, deadline_ms: float
    ) -> CallerAnswer:
        match request.operation:
            case Operation.COMMIT:
                return await self._commit(transaction, request.caller, deadline_ms)
            case Operation.ROLLBACK:
                await self._roll_back(transaction)
                return CallerAnswer(Outcome.DONE)
            case _:
                return await self._run_statement(transaction, request, deadline_ms)

    async def _run_statement(
        self, transaction: Transaction, request: CallerRequest, deadline_ms: float
    ) -> CallerAnswer:
        call = StatementCall(
            transaction.term,
            request.operation is Operation.WRITE,
            request.statement,
            request.parameters,
            transaction.number,
        )
        outcome = await self._call(transaction, call, request.caller, deadline_ms)
        if isinstance(outcome, Ok):
            return _statement_answer(transaction, outcome.ok_value)
        error = outcome.err_value
        if isinstance(error, Shed):
            return shed_answer(error, transaction.channel.record.name)
        if error.kind is FailureKind.REFUSED_STATEMENT:
            return failure_answer(error)
        self._discard(transaction)
        # Nothing was committed, and closing the connection rolls the work back.
        detail = f"{error.detail}; the transaction was rolled back"
        return not_run(ErrorCode.TRANSACTION_GONE, detail)

    async def _commit(
        self, transaction: Transaction, caller: str, deadline_ms: float
    ) -> CallerAnswer:
        context = self._context
        call = CommitCall(transaction.term, transaction.number)
        sent_ms = context.now_ms()
        outcome = await self._call(transaction, call, caller, deadline_ms)
        if isinstance(outcome, Err):
            return self._commit_failure_answer(transaction, outcome.err_value)
        answer = outcome.ok_value
        name = transaction.channel.record.name
        self._finish(transaction, is_clean=True)
        self._tracker.record_answer(name, answer, sent_ms, context.now_ms())
        term = transaction.term
        if not await self._confirmer.confirm(term, answer.position, deadline_ms):
            context.counters.unknown_outcomes += 1
            detail = f"{name}: no majority was known to hold the commit"
            return unknown(ErrorCode.UNCONFIRMED, detail)
        return CallerAnswer(
            Outcome.DONE, term=term, position=answer.position, endpoint=name
        )

    def _commit_failure_answer(
        self, transaction: Transaction, error: EndpointFailure | Shed
    ) -> CallerAnswer:
        if isinstance(error, Shed):
            return shed_answer(error, transaction.channel.record.name)
        self._discard(transaction)
        if error.guarantees_not_run:
            return not_run(ErrorCode.TRANSACTION_GONE, error.detail)
        self._context.counters.unknown_outcomes += 1
        return unknown(ErrorCode.ENDPOINT_LOST, error.detail)

    async def _roll_back(self, transaction: Transaction) -> None:
        if transaction.has_ended:
            return
        transaction.has_ended = True
        self._open.pop(transaction.name, None)
        call = RollbackCall(transaction.term, transaction.number)
        outcome = await transaction.connection.call(call, ROLLBACK_TIMEOUT_MS)
        pool = transaction.channel.pool
        pool.put_back(transaction.connection, is_clean=isinstance(outcome, Ok))

    async def _call(
        self,
        transaction: Transaction,
        call: StatementCall | CommitCall,
        caller: str,
        deadline_ms: float,
    ) -> ChannelResult:
        return await transaction.channel.run_pinned(
            transaction.connection,
            guarded(self._channels, transaction.term, call),
            caller,
            deadline_ms,
        )

    def _discard(self, transaction: Transaction) -> None:
        self._finish(transaction, is_clean=False)

    def _finish(self, transaction: Transaction, is_clean: bool) -> None:
        if transaction.has_ended:
            return
        transaction.has_ended = True
        self._open.pop(transaction.name, None)
        transaction.channel.pool.put_back(transaction.connection, is_clean)


def transaction_host(name: str) -> str:
    """Return the host that runs a transaction, taken from its name."""
    return name.partition("~")[0]


def _statement_answer(transaction: Transaction, answer: EndpointAnswer) -> CallerAnswer:
    return CallerAnswer(
        Outcome.DONE,
        rows=answer.rows,
        endpoint=transaction.channel.record.name,
        transaction=transaction.name,
    )


def _begin_failure_answer(failure: EndpointFailure) -> CallerAnswer:
    answer = failure_answer(failure)
    if answer.outcome is Outcome.UNKNOWN:
        # If the transaction has begun, closing the connection rolls it back; the
        # caller never learns its name and cannot use it.
        detail = failure.detail
        return not_run(ErrorCode.ENDPOINT_LOST, detail, DEFAULT_RETRY_AFTER_MS)
    return answer
