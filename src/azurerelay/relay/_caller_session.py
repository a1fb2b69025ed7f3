"""One caller's session."""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Final

from result import Err, Ok

from azurerelay.events import EventLog
from azurerelay.groups import GroupRelay
from azurerelay.pooling import (
    EndpointPool,
    PooledSession,
    PreparedShape,
    SessionProfile,
)
from azurerelay.relay._own_commit import OwnCommit
from azurerelay.relay._pinned_transaction import PinnedTransaction
from azurerelay.relay._route_table import RouteTable
from azurerelay.relay._statement_attempt import StatementAttempt
from azurerelay.relay._statement_recorder import StatementRecorder
from azurerelay.routes import Consistency, Route
from azurerelay.statements import (
    Begin,
    CallerError,
    CallerReply,
    Commit,
    Deallocate,
    DropTransaction,
    EndpointCommand,
    EndpointError,
    EndpointReply,
    Execute,
    Position,
    Prepare,
    Read,
    Rollback,
    RunPrepared,
    RunText,
    SessionState,
    SetValue,
    Statement,
    Write,
)
from azurerelay.telemetry import Meters
from azurerelay.timing import Timer, TimerService, sleep, spawn, within

RETRY_PAUSE_MS: Final = 15.0  # half a typical statement
# Samples are taken a little earlier than the bound allows, for rounding of clocks.
STALENESS_MARGIN_MS: Final = 50.0
# A read that got no answer is asked elsewhere after this many times the usual
# duration, and not before the minimum: an endpoint may lose an answer.
READ_ATTEMPT_FACTOR: Final = 6.0
READ_ATTEMPT_MIN_MS: Final = 300.0

# A write is not offered to an endpoint with less time left than this: it would end in
# doubt, where a refusal can still promise that it has not run.
WRITE_WINDOW_MS: Final = 150.0

_CALLER_ERRORS: Final = {
    EndpointError.BUSY: CallerError.BUSY,
    EndpointError.NOT_CAUGHT_UP: CallerError.NOT_CAUGHT_UP,
    EndpointError.NOT_PRIMARY: CallerError.NOT_PRIMARY,
    EndpointError.TOO_MANY_CONNECTIONS: CallerError.BUSY,
    EndpointError.WRONG_ENDPOINT: CallerError.BUSY,
    EndpointError.UNKNOWN_NAME: CallerError.BUSY,
    EndpointError.FAILED: CallerError.FAILED,
    EndpointError.TIMED_OUT: CallerError.TIMED_OUT,
    EndpointError.OTHER: CallerError.FAILED,
}


class CallerSession:
    """Statements of one caller, one after the other.

    Values and prepared statements are kept here and matched to whatever connection
    serves the next statement, so that connections can be shared by all callers.
    """

    def __init__(
        self,
        database: str,
        table: RouteTable,
        timers: TimerService,
        events: EventLog,
        meters: Meters,
    ) -> None:
        self._attempt: StatementAttempt | None = None
        self._database = database
        self._table = table
        self._timers = timers
        self._recorder = StatementRecorder(
            database, lambda: table.version, timers, events, meters
        )
        self._profile = SessionProfile()
        self._transaction: PinnedTransaction | None = None
        self._is_failed = False
        self._was_aborted_idle = False
        self._own_commit = OwnCommit()
        self._idle_timer: Timer | None = None
        self._is_closed = False
        self._is_busy = False
        self._on_idle: Callable[[], object] = lambda: None

    @property
    def database(self) -> str:
        """The database name that the caller connected to."""
        return self._database

    @property
    def state(self) -> SessionState:
        """Whether a transaction is open."""
        if self._is_failed:
            return SessionState.FAILED
        if self._transaction is not None:
            return SessionState.IN_TRANSACTION
        return SessionState.IDLE

    async def handle(self, statement: Statement) -> CallerReply:
        """Serve one statement; the one before must have been answered."""
        self._stop_idle_timer()
        self._is_busy = True
        self._attempt = None
        started_ms = self._timers.now_ms()
        if self._is_failed and not isinstance(statement, (Rollback, Commit)):
            reply = self._reply_in_failed_transaction()
        else:
            reply = await self._run(statement)
        self._is_busy = False
        duration_ms = self._timers.now_ms() - started_ms
        self._recorder.note_outcome(statement, self._attempt, reply, duration_ms)
        if self._is_closed:
            self._release_transaction()
        elif self._transaction is not None:
            self._start_idle_timer()
        return reply

    def close(self) -> None:
        """End the session; an open transaction is rolled back."""
        self._is_closed = True
        self._stop_idle_timer()
        if not self._is_busy:
            self._release_transaction()

    @singledispatchmethod
    async def _run(self, statement: Statement) -> CallerReply:
        raise TypeError(f"no rule for {type(statement).__name__}")

    # Answered by the relay itself

    @_run.register
    async def _(self, statement: SetValue) -> CallerReply:
        self._profile.values[statement.name] = statement.value
        return CallerReply(self.state)

    @_run.register
    async def _(self, statement: Prepare) -> CallerReply:
        shape = PreparedShape(statement.shape, statement.is_write)
        self._profile.prepared[statement.name] = shape
        return CallerReply(self.state)

    @_run.register
    async def _(self, statement: Deallocate) -> CallerReply:
        if self._profile.prepared.pop(statement.name, None) is None:
            return self._unknown_name(statement.name)
        return CallerReply(self.state)

    # Reads and writes

    @_run.register
    async def _(self, statement: Read) -> CallerReply:
        return await self._read_or_write(statement, None, False)

    @_run.register
    async def _(self, statement: Write) -> CallerReply:
        return await self._read_or_write(statement, None, True)

    @_run.register
    async def _(self, statement: Execute) -> CallerReply:
        shape = self._profile.prepared.get(statement.name)
        if shape is None:
            return self._unknown_name(statement.name)
        return await self._read_or_write(statement, shape, shape.is_write)

    async def _read_or_write(
        self, statement: Statement, shape: PreparedShape | None, is_write: bool
    ) -> CallerReply:
        if self._transaction is not None:
            return await self._run_pinned(statement, shape, is_write)
        found = self._table.find(self._database)
        if found is None:
            return self._unknown_database()
        route, group = found
        attempt = self._begin_attempt(statement, route)
        if is_write:
            return await self._run_on_primary(attempt, group, shape)
        return await self._run_anywhere(attempt, group, shape)

    # Transactions

    @_run.register
    async def _(self, statement: Begin) -> CallerReply:
        if self._transaction is not None:
            return CallerReply(
                self.state,
                error=CallerError.MALFORMED,
                error_text="a transaction is open already",
            )
        found = self._table.find(self._database)
        if found is None:
            return self._unknown_database()
        route, group = found
        attempt = self._begin_attempt(statement, route)
        if statement.is_read_only:
            return await self._run_anywhere(attempt, group, None)
        return await self._run_on_primary(attempt, group, None)

    @_run.register
    async def _(self, statement: Commit) -> CallerReply:
        transaction = self._transaction
        if transaction is None:
            was_failed, self._is_failed = self._is_failed, False
            text = "it was rolled back" if was_failed else "no transaction is open"
            error = CallerError.ABORTED if was_failed else CallerError.MALFORMED
            return CallerReply(self.state, error=error, error_text=text)
        attempt = self._begin_attempt(statement, transaction.route)
        attempt.endpoint = transaction.session.endpoint
        while True:
            asked_ms = self._timers.now_ms()
            outcome = await within(
                self._timers,
                transaction.session.send(RunText(statement.request_id, statement.text)),
                max(0.0, attempt.limit_ms - asked_ms),
            )
            if isinstance(outcome, Err) or isinstance(outcome.ok_value, Err):
                transaction.group.note_missed_answer(transaction.pool, asked_ms)
                return self._lose_commit(attempt, transaction)
            reply = outcome.ok_value.ok_value
            transaction.group.note_reply(transaction.pool, asked_ms, reply)
            if reply.error is not EndpointError.BUSY or not self._may_retry(attempt):
                return self._end_commit(attempt, transaction, asked_ms, reply)
            if reply.state is not SessionState.IN_TRANSACTION:
                return self._end_commit(attempt, transaction, asked_ms, reply)
            await self._pause(attempt, "the endpoint is busy")

    @_run.register
    async def _(self, statement: Rollback) -> CallerReply:
        transaction = self._transaction
        self._is_failed = False
        self._was_aborted_idle = False
        if transaction is None:
            return CallerReply(self.state)
        self._release_transaction()
        return CallerReply(self.state)

    # A statement outside a transaction, or the first of one

    async def _run_on_primary(
        self, attempt: StatementAttempt, group: GroupRelay, shape: PreparedShape | None
    ) -> CallerReply:
        """Run a write or open a transaction at the endpoint that leads."""
        window_ms = min(WRITE_WINDOW_MS, attempt.route.statement_timeout_ms / 4)
        last_offer_ms = attempt.limit_ms - window_ms
        while self._timers.now_ms() < last_offer_ms and not self._is_closed:
            pool = group.primary()
            if pool is None:
                await self._pause(attempt, "no endpoint leads the group", group)
                continue
            session = await self._take(attempt, group, pool, shape)
            if session is None:
                continue
            asked_ms = self._timers.now_ms()
            if asked_ms >= last_offer_ms:
                pool.release(session)
                break
            outcome = await within(
                self._timers,
                session.send(self._command(attempt.statement, shape, None)),
                max(0.0, attempt.limit_ms - asked_ms),
            )
            if isinstance(outcome, Err) or isinstance(outcome.ok_value, Err):
                session.close()
                pool.release(session)
                group.note_missed_answer(pool, asked_ms)
                attempt.reason = "the endpoint did not answer"
                if isinstance(attempt.statement, Begin):
                    await self._pause(attempt, attempt.reason)
                    continue
                return self._give_up(attempt, CallerError.IN_DOUBT, "unknown")
            reply = outcome.ok_value.ok_value
            group.note_reply(pool, asked_ms, reply)
            if reply.is_success:
                return self._accept(attempt, group, pool, session, asked_ms, reply)
            pool.release(session)
            if not reply.has_not_run:
                return self._pass_on_error(attempt, reply)
            self._note_not_run(group, session, reply)
            await self._pause(attempt, _cause(reply))
        return self._give_up(attempt, CallerError.BUSY, "no")

    async def _run_anywhere(
        self, attempt: StatementAttempt, group: GroupRelay, shape: PreparedShape | None
    ) -> CallerReply:
        """Run a read on any endpoint whose log has what the read must see."""
        excluded: frozenset[str] = frozenset()
        required: Position | None = None
        has_read_failed: EndpointReply | None = None
        while self._may_retry(attempt):
            if required is None:
                required = await self._required_position(attempt.route, group)
            if required is None:
                await self._pause(attempt, "no endpoint proves that it leads", group)
                continue
            attempt.required = str(required)
            pool = group.choose(required, excluded)
            if pool is None:
                # All lack the position: a promotion may have rolled it back.
                group.prove()
                excluded, required = frozenset(), None
                await self._pause(attempt, "no endpoint could be used")
                continue
            session = await self._take(attempt, group, pool, shape)
            if session is None:
                excluded |= {pool.endpoint.endpoint}
                continue
            asked_ms = self._timers.now_ms()
            outcome = await within(
                self._timers,
                session.send(self._command(attempt.statement, shape, required)),
                self._read_attempt_ms(attempt, pool),
            )
            if isinstance(outcome, Err) or isinstance(outcome.ok_value, Err):
                session.close()
                pool.release(session)
                excluded |= {pool.endpoint.endpoint}
                attempt.reason = "the endpoint did not answer"
                group.note_missed_answer(pool, asked_ms)
                self._recorder.note_retry(attempt)
                continue
            reply = outcome.ok_value.ok_value
            group.note_reply(pool, asked_ms, reply)
            if reply.is_success:
                return self._accept(attempt, group, pool, session, asked_ms, reply)
            pool.release(session)
            excluded |= {pool.endpoint.endpoint}
            attempt.reason = _cause(reply)
            if not reply.has_not_run:
                has_read_failed = reply
            self._note_not_run(group, session, reply)
            self._recorder.note_retry(attempt)
        if has_read_failed is not None:
            return self._pass_on_error(attempt, has_read_failed)
        return self._give_up(attempt, CallerError.BUSY, "no")

    async def _required_position(
        self, route: Route, group: GroupRelay
    ) -> Position | None:
        """Return the position that a read on this route must find in the log."""
        if route.consistency is Consistency.PRIMARY:
            return await group.prove()
        bound_ms = max(0.0, route.max_staleness_ms - STALENESS_MARGIN_MS)
        position = group.covering_position(bound_ms)
        if position is None:
            return await group.prove()
        if route.consistency is Consistency.BOUNDED:
            return position
        return self._own_commit.required(position, group.samples)

    async def _take(
        self,
        attempt: StatementAttempt,
        group: GroupRelay,
        pool: EndpointPool,
        shape: PreparedShape | None,
    ) -> PooledSession | None:
        """Return a connection that is set up for this caller, or None."""
        wait_ms = max(0.0, attempt.limit_ms - self._timers.now_ms())
        granted = await pool.acquire(attempt.route.priority, self._profile, wait_ms)
        attempt.endpoint = pool.endpoint.endpoint
        if isinstance(granted, Err):
            attempt.reason = granted.err_value.reason
            if self._may_retry(attempt):
                await self._pause(attempt, attempt.reason)
            return None
        session = granted.ok_value
        asked_ms = self._timers.now_ms()
        matched = await within(
            self._timers,
            spawn(session.match(self._profile, shape)),
            READ_ATTEMPT_MIN_MS,
        )
        if isinstance(matched, Ok) and isinstance(matched.ok_value, Ok):
            attempt.count += 1
            return session
        session.close()
        pool.release(session)
        group.note_missed_answer(pool, asked_ms)
        attempt.reason = "the connection could not be set up"
        return None

    def _accept(
        self,
        attempt: StatementAttempt,
        group: GroupRelay,
        pool: EndpointPool,
        session: PooledSession,
        asked_ms: float,
        reply: EndpointReply,
    ) -> CallerReply:
        statement = attempt.statement
        if isinstance(statement, Begin):
            self._transaction = PinnedTransaction(
                group, pool, session, attempt.route, statement.is_read_only
            )
        else:
            pool.release(session)
        proves_lead = (
            not statement.is_read_only
            if isinstance(statement, Begin)
            else self._is_write(statement)
        )
        if proves_lead and reply.position is not None:
            group.note_commit(session.endpoint, asked_ms, reply.position)
            if not isinstance(statement, Begin):
                self._own_commit.note(reply.position, self._timers.now_ms())
        return _done(self.state, reply)

    # Statements inside a transaction

    async def _run_pinned(
        self, statement: Statement, shape: PreparedShape | None, is_write: bool
    ) -> CallerReply:
        transaction = self._transaction
        assert transaction is not None
        attempt = self._begin_attempt(statement, transaction.route)
        attempt.endpoint = transaction.session.endpoint
        while True:
            matched = await within(
                self._timers,
                spawn(transaction.session.match(self._profile, shape)),
                READ_ATTEMPT_MIN_MS,
            )
            if isinstance(matched, Err) or isinstance(matched.ok_value, Err):
                return self._abort(attempt, "the connection could not be set up")
            asked_ms = self._timers.now_ms()
            attempt.count += 1
            outcome = await within(
                self._timers,
                transaction.session.send(self._command(statement, shape, None)),
                max(0.0, attempt.limit_ms - asked_ms),
            )
            if isinstance(outcome, Err) or isinstance(outcome.ok_value, Err):
                transaction.group.note_missed_answer(transaction.pool, asked_ms)
                return self._abort(attempt, "the endpoint did not answer")
            reply = outcome.ok_value.ok_value
            transaction.group.note_reply(transaction.pool, asked_ms, reply)
            if reply.is_success:
                transaction.has_written = transaction.has_written or is_write
                return _done(self.state, reply)
            if reply.error is EndpointError.UNKNOWN_NAME:
                transaction.session.forget_prepared()
            is_open = reply.state is SessionState.IN_TRANSACTION
            if not (is_open and reply.has_not_run and self._may_retry(attempt)):
                return self._fail_pinned(attempt, transaction, reply)
            await self._pause(attempt, _cause(reply))

    def _fail_pinned(
        self,
        attempt: StatementAttempt,
        transaction: PinnedTransaction,
        reply: EndpointReply,
    ) -> CallerReply:
        if reply.error is EndpointError.NOT_PRIMARY:
            transaction.group.refute(transaction.session.endpoint)
        self._release_transaction()
        self._is_failed = True
        return self._pass_on_error(attempt, reply)

    def _abort(self, attempt: StatementAttempt, reason: str) -> CallerReply:
        """Close the connection, which rolls back: nothing of it is kept."""
        attempt.reason = reason
        self._drop_transaction()
        self._is_failed = True
        return self._give_up(attempt, CallerError.ABORTED, "rolled back")

    def _lose_commit(
        self, attempt: StatementAttempt, transaction: PinnedTransaction
    ) -> CallerReply:
        attempt.endpoint = transaction.session.endpoint
        attempt.reason = "the endpoint did not answer the commit"
        self._drop_transaction()
        if transaction.has_written:
            return self._give_up(attempt, CallerError.IN_DOUBT, "unknown")
        return self._give_up(attempt, CallerError.ABORTED, "it only read")

    def _end_commit(
        self,
        attempt: StatementAttempt,
        transaction: PinnedTransaction,
        asked_ms: float,
        reply: EndpointReply,
    ) -> CallerReply:
        self._release_transaction()
        if not reply.is_success:
            if reply.error is EndpointError.NOT_PRIMARY:
                transaction.group.refute(transaction.session.endpoint)
            attempt.endpoint = transaction.session.endpoint
            self._is_failed = reply.state is not SessionState.IDLE
            return self._pass_on_error(attempt, reply)
        if transaction.has_written and reply.position is not None:
            self._own_commit.note(reply.position, self._timers.now_ms())
            transaction.group.note_commit(
                transaction.session.endpoint, asked_ms, reply.position
            )
        return _done(self.state, reply)

    def _release_transaction(self) -> None:
        """Give the connection back, rolled back where it still has to be."""
        transaction, self._transaction = self._transaction, None
        if transaction is None:
            return
        if transaction.session.is_reusable or not transaction.session.is_open:
            transaction.pool.release(transaction.session)
            return
        spawn(self._roll_back(transaction))

    async def _roll_back(self, transaction: PinnedTransaction) -> None:
        outcome = await within(
            self._timers,
            transaction.session.send(DropTransaction()),
            READ_ATTEMPT_MIN_MS,
        )
        if isinstance(outcome, Err) or isinstance(outcome.ok_value, Err):
            transaction.session.close()
        transaction.pool.release(transaction.session)

    def _drop_transaction(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            transaction.session.close()
            transaction.pool.release(transaction.session)

    # Idle transactions

    def _start_idle_timer(self) -> None:
        limit_ms = self._table.transaction_idle_ms
        self._idle_timer = self._timers.call_later(limit_ms, self._end_idle)

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _end_idle(self) -> None:
        if self._transaction is not None and not self._is_busy:
            self._release_transaction()
            self._is_failed = True
            self._was_aborted_idle = True

    def _reply_in_failed_transaction(self) -> CallerReply:
        if self._was_aborted_idle:
            self._was_aborted_idle = False
            return CallerReply(
                self.state,
                error=CallerError.ABORTED,
                error_text="the transaction was idle for too long",
            )
        return CallerReply(
            self.state,
            error=CallerError.MALFORMED,
            error_text="the transaction has failed and must be rolled back",
        )

    # Small parts

    def _begin_attempt(self, statement: Statement, route: Route) -> StatementAttempt:
        now_ms = self._timers.now_ms()
        limit_ms = now_ms + route.statement_timeout_ms
        self._attempt = StatementAttempt(statement, route, now_ms, limit_ms)
        return self._attempt

    def _may_retry(self, attempt: StatementAttempt) -> bool:
        return self._timers.now_ms() < attempt.limit_ms and not self._is_closed

    def _read_attempt_ms(self, attempt: StatementAttempt, pool: EndpointPool) -> float:
        left_ms = max(0.0, attempt.limit_ms - self._timers.now_ms())
        usual_ms = READ_ATTEMPT_FACTOR * pool.service_ms
        return min(left_ms, max(READ_ATTEMPT_MIN_MS, usual_ms))

    async def _pause(
        self, attempt: StatementAttempt, reason: str, group: GroupRelay | None = None
    ) -> None:
        """Wait a moment, or until the group's endpoints change."""
        attempt.reason = reason
        if group is not None:
            await within(self._timers, group.changed(), RETRY_PAUSE_MS)
        else:
            await sleep(self._timers, RETRY_PAUSE_MS)

    def _command(
        self,
        statement: Statement,
        shape: PreparedShape | None,
        after: Position | None,
    ) -> EndpointCommand:
        if isinstance(statement, Execute) and shape is not None:
            return RunPrepared(
                statement.request_id, shape.shared_name, statement.arguments, after
            )
        return RunText(statement.request_id, statement.text, after)

    def _is_write(self, statement: Statement) -> bool:
        if isinstance(statement, Execute):
            shape = self._profile.prepared.get(statement.name)
            return shape is not None and shape.is_write
        return isinstance(statement, Write)

    def _note_not_run(
        self, group: GroupRelay, session: PooledSession, reply: EndpointReply
    ) -> None:
        if reply.error is EndpointError.NOT_PRIMARY:
            group.refute(session.endpoint)
        elif reply.error is EndpointError.UNKNOWN_NAME:
            session.forget_prepared()

    def _give_up(
        self, attempt: StatementAttempt, error: CallerError, has_run: str
    ) -> CallerReply:
        self._recorder.note_refusal(attempt, has_run)
        return CallerReply(self.state, error=error, error_text=attempt.reason)

    def _pass_on_error(
        self, attempt: StatementAttempt, reply: EndpointReply
    ) -> CallerReply:
        assert reply.error is not None
        attempt.reason = reply.error.value
        has_run = "no" if reply.has_not_run else "unknown"
        refused = self._give_up(attempt, _CALLER_ERRORS[reply.error], has_run)
        return CallerReply(
            refused.state,
            error=refused.error,
            error_text=reply.error_text,
            position=reply.position,
        )

    def _unknown_database(self) -> CallerReply:
        return CallerReply(
            self.state,
            error=CallerError.UNKNOWN_DATABASE,
            error_text=self._database,
        )

    def _unknown_name(self, name: str) -> CallerReply:
        return CallerReply(self.state, error=CallerError.UNKNOWN_NAME, error_text=name)


def _done(state: SessionState, reply: EndpointReply) -> CallerReply:
    return CallerReply(state, reply.rows, reply.signature, position=reply.position)


def _cause(reply: EndpointReply) -> str:
    """Return why an endpoint refused, in words and not in its own."""
    return reply.error.value if reply.error is not None else "not run"
