"""A simulated endpoint with terms, slots, connections and asynchronous replication."""

from collections import deque
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any, Final

from result import Err, Ok, Result

from azurerelay.endpoints import (
    BeginCall,
    CallResult,
    CommitCall,
    EndpointAnswer,
    EndpointCall,
    EndpointFailure,
    EndpointPort,
    EndpointRole,
    FailureKind,
    FenceCall,
    FollowCall,
    KnobsCall,
    LogEntry,
    PromoteCall,
    PullCall,
    RollbackCall,
    Row,
    Scalar,
    Statement,
    StatementCall,
    StatusCall,
)
from azurerelay.standin._slots import Slots
from azurerelay.standin._standin_config import StandinConfig
from azurerelay.standin._standin_data import (
    StandinData,
    is_write_statement,
    run_statement,
)
from azurerelay.timing import Promise, TimerService, sleep, spawn, with_timeout

MAX_PULL_ENTRIES: Final = 512
PULL_WAIT_MS: Final = 500.0
PULL_TIMEOUT_MS: Final = 1_000.0
PULL_RETRY_MS: Final = 20.0
# Entries wait out the replication lag in steps of at most this length, so that a change
# of the lag also takes effect on entries that already wait.
MAX_LAG_SLEEP_MS: Final = 50.0


@dataclass(slots=True)
class _Transaction:
    """An open transaction: its writes and its private copy of the values."""

    statements: list[Statement]
    values: dict[str, Scalar]


@dataclass(frozen=True, slots=True)
class _ReceivedBatch:
    """Entries pulled from the primary that are not yet applied.

    `position` is the log position before the first entry.
    """

    received_ms: float
    following: FollowCall
    position: int
    entries: tuple[LogEntry, ...]


@dataclass(slots=True)
class _Knobs:
    """The simulated latencies and faults, as set by `KnobsCall`."""

    lag_ms: float
    service_ms: float
    status_delay_ms: float = 0.0
    is_isolated: bool = False
    is_replication_cut: bool = False
    is_leaving: bool = False


class StandinEndpoint:
    """Serve endpoint calls from memory; a replica pulls its log through `port`."""

    def __init__(
        self, config: StandinConfig, timers: TimerService, port: EndpointPort
    ) -> None:
        self._config = config
        self._timers = timers
        self._port = port
        self._data = StandinData()
        self._knobs = _Knobs(config.lag_ms, config.service_ms)
        self._slots = Slots(config.slots)
        self._term = 0
        self._synced_term = 0
        self._role = EndpointRole.REPLICA
        self._following: FollowCall | None = None
        self._transactions: dict[int, _Transaction] = {}
        self._next_transaction = 1
        self._connections = 0
        self._restarts = 0
        self._peak_connections = 0
        self._executed_statements = 0
        self._primary_answered_ms = timers.now_ms()
        self._log_growth: Promise[None] = Promise()
        self._received: deque[_ReceivedBatch] = deque()

    @property
    def config(self) -> StandinConfig:
        """The endpoint's configuration."""
        return self._config

    @property
    def data(self) -> StandinData:
        """The endpoint's log and the data built from it."""
        return self._data

    @property
    def term(self) -> int:
        """The highest term that the endpoint has seen."""
        return self._term

    @property
    def role(self) -> EndpointRole:
        """The endpoint's current role."""
        return self._role

    @property
    def is_isolated(self) -> bool:
        """Whether the endpoint simulates a network that loses all calls and answers."""
        return self._knobs.is_isolated

    @property
    def is_leaving(self) -> bool:
        """Whether the endpoint announces that it is leaving the group."""
        return self._knobs.is_leaving

    @property
    def executed_statements(self) -> int:
        """How many statements have run successfully."""
        return self._executed_statements

    @property
    def peak_connections(self) -> int:
        """The largest number of connections that were open at the same time."""
        return self._peak_connections

    def restart(self) -> None:
        """Simulate a restart after a crash.

        The log, the data and the term are kept. The endpoint becomes a replica that
        follows no primary; connections, transactions, received batches and simulated
        faults are reset.
        """
        self._role = EndpointRole.REPLICA
        self._following = None
        self._synced_term = 0
        self._received.clear()
        self._transactions.clear()
        self._restarts += 1
        self._connections = 0
        self._slots = Slots(self._config.slots)
        self._knobs = _Knobs(self._config.lag_ms, self._config.service_ms)

    def connect(self) -> Promise[Result["StandinConnection", EndpointFailure]]:
        """Open a connection after `connect_ms`; refused at the connection limit."""
        if self._connections >= self._config.connection_limit:
            detail = f"{self._config.connection_limit} connections are open"
            return Promise.of(Err(self._failure(FailureKind.REFUSED_LIMIT, detail)))
        self._connections += 1
        self._peak_connections = max(self._peak_connections, self._connections)
        return spawn(self._open_connection())

    def request(self, call: EndpointCall) -> Promise[CallResult]:
        """Handle a call that was not made on an opened connection."""
        if isinstance(call, StatusCall):
            return spawn(self._answer_status(call))
        if isinstance(call, PullCall):
            return spawn(self._answer_pull(call))
        return Promise.of(self._handle(call))

    def call(
        self, connection: "StandinConnection", call: EndpointCall
    ) -> Promise[CallResult]:
        """Handle a call made on an opened connection."""
        if isinstance(call, StatementCall):
            return spawn(self._run_in_slot(call))
        outcome = self._handle(call)
        if isinstance(call, BeginCall) and isinstance(outcome, Ok):
            connection.transaction = outcome.ok_value.transaction
        elif isinstance(call, CommitCall | RollbackCall):
            connection.transaction = None
        return Promise.of(outcome)

    @property
    def restarts(self) -> int:
        """How many times the endpoint has restarted."""
        return self._restarts

    def end_connection(self, restarts: int, transaction: int | None) -> None:
        """Stop counting a closed connection and roll its transaction back.

        A connection that was opened before the last restart is no longer counted;
        `restarts` is the number of restarts before it was opened.
        """
        if restarts != self._restarts:
            return
        self._connections -= 1
        if transaction is not None:
            self._transactions.pop(transaction, None)

    async def _open_connection(
        self,
    ) -> Result["StandinConnection", EndpointFailure]:
        connection = StandinConnection(self)
        await sleep(self._timers, self._config.connect_ms)
        return Ok(connection)

    def _answer(
        self, rows: tuple[Row, ...] = (), transaction: int | None = None
    ) -> EndpointAnswer:
        silence_ms = self._timers.now_ms() - self._primary_answered_ms
        return EndpointAnswer(
            term=self._term,
            position=self._data.position,
            log_term=self._data.log_term,
            synced_term=self._synced_term,
            role=self._role,
            rows=rows,
            transaction=transaction,
            primary_silence_ms=0.0 if self._is_primary else silence_ms,
        )

    @property
    def _is_primary(self) -> bool:
        return self._role is EndpointRole.PRIMARY

    def _failure(self, kind: FailureKind, detail: str) -> EndpointFailure:
        return EndpointFailure(kind, f"{self._config.name}: {detail}", self._term)

    def _refusal(self, term: int, needs_primary: bool) -> EndpointFailure | None:
        """Return why a call of a term is refused; None if it may proceed."""
        if term != self._term:
            detail = f"term {term} is not the current term {self._term}"
            return self._failure(FailureKind.REFUSED_TERM, detail)
        if needs_primary and not self._is_primary:
            return self._failure(FailureKind.REFUSED_ROLE, "not the primary")
        if self._synced_term != term:
            detail = f"log is not yet that of the primary of term {term}"
            return self._failure(FailureKind.REFUSED_ROLE, detail)
        return None

    @singledispatchmethod
    def _handle(self, call: Any) -> CallResult:
        detail = f"{type(call).__name__} needs a connection"
        return Err(self._failure(FailureKind.REFUSED_STATEMENT, detail))

    @_handle.register
    def _(self, call: BeginCall) -> CallResult:
        refusal = self._refusal(call.term, needs_primary=True)
        if refusal is not None:
            return Err(refusal)
        number = self._next_transaction
        self._next_transaction += 1
        self._transactions[number] = _Transaction([], dict(self._data.values))
        return Ok(self._answer(transaction=number))

    @_handle.register
    def _(self, call: CommitCall) -> CallResult:
        transaction = self._transactions.pop(call.transaction, None)
        refusal = self._refusal(call.term, needs_primary=True)
        if refusal is not None:
            return Err(refusal)
        if transaction is None:
            detail = f"no transaction {call.transaction}"
            return Err(self._failure(FailureKind.REFUSED_TRANSACTION, detail))
        if transaction.statements:
            self._append(tuple(transaction.statements))
        return Ok(self._answer())

    @_handle.register
    def _(self, call: RollbackCall) -> CallResult:
        self._transactions.pop(call.transaction, None)
        return Ok(self._answer())

    @_handle.register
    def _(self, call: FenceCall) -> CallResult:
        if call.term < self._term:
            detail = f"fenced at term {self._term}"
            return Err(self._failure(FailureKind.REFUSED_TERM, detail))
        if call.term > self._term:
            self._enter_term(call.term)
        return Ok(self._answer())

    @_handle.register
    def _(self, call: PromoteCall) -> CallResult:
        if call.term < self._term:
            detail = f"fenced at term {self._term}"
            return Err(self._failure(FailureKind.REFUSED_TERM, detail))
        if call.term == self._term and self._is_primary:
            return Ok(self._answer())
        self._enter_term(call.term)
        self._role = EndpointRole.PRIMARY
        self._synced_term = call.term
        self._append(())
        return Ok(self._answer())

    @_handle.register
    def _(self, call: FollowCall) -> CallResult:
        if call.term < self._term:
            detail = f"fenced at term {self._term}"
            return Err(self._failure(FailureKind.REFUSED_TERM, detail))
        if call.term == self._term and self._is_primary:
            return Err(self._failure(FailureKind.REFUSED_ROLE, "is the primary"))
        if call != self._following:
            if call.term > self._term:
                self._enter_term(call.term)
            self._following = call
            spawn(self._replicate(call))
        return Ok(self._answer())

    @_handle.register
    def _(self, call: KnobsCall) -> CallResult:
        for name in _Knobs.__slots__:
            value = getattr(call, name)
            if value is not None:
                setattr(self._knobs, name, value)
        return Ok(self._answer())

    def _enter_term(self, term: int) -> None:
        self._term = term
        self._role = EndpointRole.REPLICA
        self._following = None
        self._received.clear()
        self._transactions.clear()

    def _append(self, statements: tuple[Statement, ...]) -> None:
        self._data.append([LogEntry(self._term, statements)])
        self._notify_log_growth()

    def _notify_log_growth(self) -> None:
        """Wake the status and pull calls that wait for new log entries."""
        log_growth = self._log_growth
        self._log_growth = Promise()
        log_growth.resolve(None)

    async def _run_in_slot(self, call: StatementCall) -> CallResult:
        slots, restarts = self._slots, self._restarts
        await slots.acquire()
        try:
            await sleep(self._timers, self._knobs.service_ms)
            if restarts != self._restarts:
                return Err(self._failure(FailureKind.LOST, "it has restarted"))
            return self._execute(call)
        finally:
            slots.release()

    def _execute(self, call: StatementCall) -> CallResult:
        refusal = self._refusal(call.term, call.is_write)
        if refusal is not None:
            return Err(refusal)
        statement = Statement(call.statement, call.parameters)
        if is_write_statement(statement) and not call.is_write:
            detail = f"{call.statement!r} is not a read"
            return Err(self._failure(FailureKind.REFUSED_STATEMENT, detail))
        if call.transaction is not None:
            return self._execute_in_transaction(call.transaction, statement)
        outcome = self._data.execute(self._term, statement)
        if isinstance(outcome, Err):
            kind = FailureKind.REFUSED_STATEMENT
            return Err(self._failure(kind, outcome.err_value))
        self._executed_statements += 1
        if is_write_statement(statement):
            self._notify_log_growth()
        return Ok(self._answer(outcome.ok_value))

    def _execute_in_transaction(self, number: int, statement: Statement) -> CallResult:
        transaction = self._transactions.get(number)
        if transaction is None:
            detail = f"no transaction {number}"
            return Err(self._failure(FailureKind.REFUSED_TRANSACTION, detail))
        outcome = run_statement(transaction.values, statement)
        if isinstance(outcome, Err):
            kind = FailureKind.REFUSED_STATEMENT
            return Err(self._failure(kind, outcome.err_value))
        self._executed_statements += 1
        if is_write_statement(statement):
            transaction.statements.append(statement)
        return Ok(self._answer(outcome.ok_value, number))

    async def _answer_status(self, call: StatusCall) -> CallResult:
        if self._knobs.status_delay_ms:
            await sleep(self._timers, self._knobs.status_delay_ms)
        deadline_ms = self._timers.now_ms() + call.wait_ms
        while call.wait_ms and self._data.position < call.position:
            remaining_ms = deadline_ms - self._timers.now_ms()
            if remaining_ms <= 0:
                break
            await with_timeout(self._timers, self._log_growth, remaining_ms)
        return Ok(self._answer())

    async def _answer_pull(self, call: PullCall) -> CallResult:
        deadline_ms = self._timers.now_ms() + call.wait_ms
        while True:
            refusal = self._refusal(call.term, needs_primary=True)
            if refusal is not None:
                return Err(refusal)
            if self._data.term_at(call.position) != call.log_term:
                return Err(self._failure(FailureKind.DIVERGED, "logs differ"))
            entries = self._data.entries_after(call.position, call.limit)
            remaining_ms = deadline_ms - self._timers.now_ms()
            if entries or remaining_ms <= 0:
                return Ok(_with_entries(self._answer(), entries))
            await with_timeout(self._timers, self._log_growth, remaining_ms)

    async def _replicate(self, following: FollowCall) -> None:
        """Pull the primary's log until another primary or term is followed.

        While the primary answers that the logs diverge, the position to pull from steps
        back to the last entry of a lower term.
        """
        position = self._data.position
        log_term = self._data.log_term
        is_synced = False
        while self._following is following:
            if self._knobs.is_isolated or self._knobs.is_replication_cut:
                await sleep(self._timers, PULL_RETRY_MS)
                continue
            wait_ms = PULL_WAIT_MS if is_synced else 0.0
            call = PullCall(
                following.term, position, log_term, MAX_PULL_ENTRIES, wait_ms
            )
            outcome = await self._port.request(following.address, call, PULL_TIMEOUT_MS)
            if self._following is not following:
                return
            if isinstance(outcome, Ok):
                entries = outcome.ok_value.entries
                self._queue_batch(following, position, entries)
                is_synced = True
                position += len(entries)
                log_term = entries[-1].term if entries else log_term
            elif outcome.err_value.kind is FailureKind.DIVERGED:
                position = self._data.position_before_term(position, log_term)
                log_term = self._data.term_at(position) or 0
            else:
                await sleep(self._timers, PULL_RETRY_MS)

    def _queue_batch(
        self, following: FollowCall, position: int, entries: tuple[LogEntry, ...]
    ) -> None:
        """Queue pulled entries until the simulated replication lag has passed.

        The first batch of a term is queued even if it is empty, since applying it marks
        the log as synced with the term's primary.
        """
        now_ms = self._timers.now_ms()
        self._primary_answered_ms = now_ms
        is_first_batch = self._synced_term != following.term and not self._received
        if not entries and not is_first_batch:
            return
        self._received.append(_ReceivedBatch(now_ms, following, position, entries))
        if len(self._received) == 1:
            spawn(self._apply_received())

    async def _apply_received(self) -> None:
        while self._received:
            batch = self._received[0]
            remaining_ms = (
                batch.received_ms + self._knobs.lag_ms - self._timers.now_ms()
            )
            if remaining_ms > 0:
                await sleep(self._timers, min(remaining_ms, MAX_LAG_SLEEP_MS))
                continue
            self._received.popleft()
            self._apply_batch(batch)

    def _apply_batch(self, batch: "_ReceivedBatch") -> None:
        if self._following is not batch.following:
            return
        if self._synced_term != batch.following.term:
            self._data.truncate(batch.position)
            self._synced_term = batch.following.term
        self._data.append(batch.entries)
        self._notify_log_growth()


class StandinConnection:
    """A connection to a stand-in endpoint, with at most one transaction.

    It ends when the endpoint restarts.
    """

    def __init__(self, endpoint: StandinEndpoint) -> None:
        self._endpoint = endpoint
        self._restarts = endpoint.restarts
        self._is_open = True
        self._transaction: int | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection has neither been closed nor lost."""
        return self._is_open and self._restarts == self._endpoint.restarts

    @property
    def transaction(self) -> int | None:
        """The number of the open transaction; None if there is none."""
        return self._transaction

    @transaction.setter
    def transaction(self, transaction: int | None) -> None:
        self._transaction = transaction

    def call(self, call: EndpointCall) -> Promise[CallResult]:
        """Make one call on this connection."""
        return self._endpoint.call(self, call)

    def close(self) -> None:
        """Close the connection and roll an open transaction back."""
        if self._is_open:
            self._is_open = False
            self._endpoint.end_connection(self._restarts, self._transaction)


def _with_entries(
    answer: EndpointAnswer, entries: tuple[LogEntry, ...]
) -> EndpointAnswer:
    return EndpointAnswer(
        term=answer.term,
        position=answer.position,
        log_term=answer.log_term,
        synced_term=answer.synced_term,
        role=answer.role,
        entries=entries,
    )
