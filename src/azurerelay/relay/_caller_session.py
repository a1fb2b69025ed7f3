"""The session of one caller."""

from collections.abc import Callable
from functools import singledispatchmethod
from sys import getsizeof
from typing import Final

from result import Err, Ok

from azurerelay.events import EventLog
from azurerelay.groups import GroupConnections
from azurerelay.pooling import (
    EndpointPool,
    PooledSession,
    PreparedShape,
    SessionProfile,
)
from azurerelay.relay._patience import MIN_WAIT_MS, crowded_wait_ms
from azurerelay.relay._pinned_transaction import PinnedTransaction
from azurerelay.relay._route_table import RouteTable
from azurerelay.relay._session_write_position import SessionWritePosition
from azurerelay.relay._statement_progress import StatementProgress
from azurerelay.relay._statement_recorder import StatementRecorder
from azurerelay.routes import Consistency, Route
from azurerelay.statements import (
    Begin,
    CallerError,
    CallerReply,
    Commit,
    Deallocate,
    EndpointCommand,
    EndpointError,
    EndpointReply,
    Execute,
    Position,
    Prepare,
    Read,
    Rollback,
    RollbackTransaction,
    RunPrepared,
    RunStatement,
    SessionState,
    SetValue,
    Statement,
    TransactionEffect,
    Write,
)
from azurerelay.telemetry import Meters
from azurerelay.timing import Timer, TimerService, sleep, spawn, with_timeout

RETRY_DELAY_MS: Final = 15.0  # half the duration of a typical statement
# Subtracted from the staleness bound of a route, to allow for rounding of clocks.
STALENESS_MARGIN_MS: Final = 50.0
# Endpoints may lose an answer, so a read is retried elsewhere after this many times the
# endpoint's average statement duration, but not before the minimum. The minimum is also
# the time-out for setting up a connection for a caller and for a rollback.
READ_TIMEOUT_FACTOR: Final = 6.0
MIN_ATTEMPT_TIMEOUT_MS: Final = 300.0

# A write is not sent with less time than this before its deadline. It would probably
# time out with an unknown outcome, whereas a refusal guarantees that it has not run.
# Routes with a short statement timeout use a quarter of that timeout instead.
MIN_WRITE_TIME_MS: Final = 150.0

SET_UP_FAILED: Final = "the connection could not be set up"
KEY_REFUSED: Final = "the key is not accepted"
HOST_STOPS: Final = "the host is being stopped"
NO_PRIMARY: Final = "no endpoint leads the group"
NO_PROOF: Final = "no endpoint proves that it leads"
NO_ENDPOINT: Final = "no endpoint could be used"

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
    """Serve the statements of one caller, one at a time.

    Session values and prepared statements are kept here and applied to each
    connection before it serves a statement, so that callers can share connections.
    """

    def __init__(
        self,
        database: str,
        route_table: RouteTable,
        timers: TimerService,
        events: EventLog,
        meters: Meters,
        key: str = "",
        customer: str = "",
    ) -> None:
        self._key = key
        self._customer = customer
        self._progress: StatementProgress | None = None
        self._database = database
        self._route_table = route_table
        self._timers = timers
        self._recorder = StatementRecorder(
            database, lambda: route_table.version, timers, events, meters
        )
        self._profile = SessionProfile()
        self._transaction: PinnedTransaction | None = None
        self._is_transaction_failed = False
        self._has_unreported_idle_abort = False
        self._write_position = SessionWritePosition()
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
        """Whether a transaction is open, and whether it has failed."""
        if self._is_transaction_failed:
            return SessionState.FAILED
        if self._transaction is not None:
            return SessionState.IN_TRANSACTION
        return SessionState.IDLE

    @property
    def state_bytes(self) -> int:
        """About how much memory the session values and prepared statements take."""
        values, prepared = self._profile.values, self._profile.prepared
        return sum(
            getsizeof(name) + getsizeof(text) for name, text in values.items()
        ) + sum(
            getsizeof(name) + getsizeof(shape.shape) for name, shape in prepared.items()
        )

    @property
    def statement_in_progress(self) -> StatementProgress | None:
        """The statement that is being served; None if there is none."""
        return self._progress if self._is_busy else None

    async def handle(self, statement: Statement) -> CallerReply:
        """Serve one statement and return the reply to the caller.

        The previous statement must have been answered.
        """
        self._stop_idle_timer()
        self._is_busy = True
        self._progress = None
        started_ms = self._timers.now_ms()
        if self._is_transaction_failed and not isinstance(
            statement, (Rollback, Commit)
        ):
            reply = self._reply_in_failed_transaction()
        else:
            reply = await self._run(statement)
        self._is_busy = False
        self._refund_unless_started()
        duration_ms = self._timers.now_ms() - started_ms
        self._recorder.record_outcome(statement, self._progress, reply, duration_ms)
        if self._is_closed:
            self._release_transaction()
        elif self._transaction is not None:
            self._start_idle_timer()
        return reply

    def end_in_doubt(self) -> CallerReply:
        """Return the reply to a statement that can no longer be handled to its end.

        An open transaction is rolled back. The session must be closed after the reply.
        """
        if self.statement_in_progress is not None:
            self._recorder.record_unanswered(
                self.statement_in_progress, self._transaction is not None, "in doubt"
            )
        self._refund_unless_started()
        self._is_closed = True
        self._is_busy = False
        self._is_transaction_failed = self._transaction is not None
        self._discard_transaction()
        return CallerReply(
            self.state, error=CallerError.IN_DOUBT, error_text="not handled to its end"
        )

    def close(self, reason: str = "the caller closed the connection") -> None:
        """End the session and roll back an open transaction.

        While a statement is being served, the rollback waits for its end. `reason` is
        recorded for a statement that is not answered.
        """
        if not self._is_closed and self.statement_in_progress is not None:
            self._recorder.record_unanswered(
                self.statement_in_progress, self._transaction is not None, reason
            )
        self._is_closed = True
        self._stop_idle_timer()
        if not self._is_busy:
            self._release_transaction()

    @singledispatchmethod
    async def _run(self, statement: Statement) -> CallerReply:
        raise TypeError(f"unsupported statement type: {type(statement).__name__}")

    # Statements answered without an endpoint

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
            return self._unknown_name_reply(statement.name)
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
            return self._unknown_name_reply(statement.name)
        return await self._read_or_write(statement, shape, shape.is_write)

    async def _read_or_write(
        self, statement: Statement, shape: PreparedShape | None, is_write: bool
    ) -> CallerReply:
        if self._transaction is not None:
            return await self._run_in_transaction(statement, shape, is_write)
        found = self._find_route()
        if isinstance(found, CallerReply):
            return found
        route, group = found
        progress = self._begin_statement(statement, route)
        refused = self._admit(progress)
        if refused is not None:
            return refused
        if is_write:
            return await self._run_on_primary(progress, group, shape)
        return await self._run_on_any_endpoint(progress, group, shape)

    # Transactions

    @_run.register
    async def _(self, statement: Begin) -> CallerReply:
        if self._transaction is not None:
            return CallerReply(
                self.state,
                error=CallerError.MALFORMED,
                error_text="a transaction is open already",
            )
        found = self._find_route()
        if isinstance(found, CallerReply):
            return found
        route, group = found
        progress = self._begin_statement(statement, route)
        if not self._route_table.accepts_transactions:
            return self._refuse_busy(progress)
        refused = self._admit(progress)
        if refused is not None:
            return refused
        if statement.is_read_only:
            return await self._run_on_any_endpoint(progress, group, None)
        return await self._run_on_primary(progress, group, None)

    @_run.register
    async def _(self, statement: Commit) -> CallerReply:
        transaction = self._transaction
        if transaction is None:
            was_failed, self._is_transaction_failed = self._is_transaction_failed, False
            self._has_unreported_idle_abort = False
            text = "it was rolled back" if was_failed else "no transaction is open"
            error = CallerError.ABORTED if was_failed else CallerError.MALFORMED
            return CallerReply(self.state, error=error, error_text=text)
        progress = self._begin_statement(statement, transaction.route)
        progress.endpoint = transaction.session.endpoint
        if not await self._set_up_transaction(transaction, None):
            progress.reason = SET_UP_FAILED
            self._discard_transaction()
            return self._refuse(progress, CallerError.ABORTED, "rolled back")
        if not self._route_table.accepts_statements:
            return self._abort_transaction(progress, HOST_STOPS)
        while True:
            sent_ms = self._timers.now_ms()
            progress.attempt_count += 1
            reply = await self._send(
                progress,
                transaction.session,
                self._endpoint_command(statement, None, None),
                progress.deadline_ms - sent_ms,
            )
            if reply is None:
                transaction.group.record_missed_answer(transaction.pool, sent_ms)
                return self._end_unanswered_commit(progress, transaction)
            transaction.group.record_reply(transaction.pool, sent_ms, reply)
            if reply.error is not EndpointError.BUSY or not self._may_retry(progress):
                return self._finish_commit(progress, transaction, sent_ms, reply)
            if reply.state is not SessionState.IN_TRANSACTION:
                return self._finish_commit(progress, transaction, sent_ms, reply)
            await self._wait_to_retry(progress, "the endpoint is busy")

    @_run.register
    async def _(self, statement: Rollback) -> CallerReply:
        transaction = self._transaction
        self._is_transaction_failed = False
        self._has_unreported_idle_abort = False
        if transaction is None:
            return CallerReply(self.state)
        self._release_transaction()
        return CallerReply(self.state)

    # Statements outside a transaction, and BEGIN

    async def _run_on_primary(
        self,
        progress: StatementProgress,
        group: GroupConnections,
        shape: PreparedShape | None,
    ) -> CallerReply:
        """Run a write, or open a read-write transaction, on the primary.

        A statement is retried only if it has not run. A BEGIN that got no answer is
        retried as well, since closing its connection rolls the transaction back.
        """
        min_write_ms = min(MIN_WRITE_TIME_MS, progress.route.statement_timeout_ms / 4)
        last_send_ms = progress.deadline_ms - min_write_ms
        while self._timers.now_ms() < last_send_ms and self._may_send(progress):
            if not self._is_route_valid(group):
                return await self._follow_route(progress, shape)
            pool = group.primary()
            if pool is None and self._is_crowded_out(progress, group):
                return self._refuse_busy(progress)
            if pool is None:
                await self._wait_to_retry(progress, NO_PRIMARY, group)
                continue
            session = await self._acquire_session(progress, group, pool, shape)
            if session is None and self._is_crowded_out(progress, group):
                return self._refuse_busy(progress)
            if session is None:
                continue
            sent_ms = self._timers.now_ms()
            if sent_ms >= last_send_ms or not self._may_send(progress):
                pool.release(session)
                break
            if not self._is_route_valid(group):
                pool.release(session)
                continue
            reply = await self._send(
                progress,
                session,
                self._endpoint_command(progress.statement, shape, None),
                progress.deadline_ms - sent_ms,
            )
            if reply is None:
                session.close()
                pool.release(session)
                group.record_missed_answer(pool, sent_ms)
                progress.reason = "the endpoint did not answer"
                if isinstance(progress.statement, Begin):
                    await self._wait_to_retry(progress, progress.reason)
                    continue
                return self._refuse(progress, CallerError.IN_DOUBT, "unknown")
            group.record_reply(pool, sent_ms, reply)
            if reply.is_success:
                return self._finish_success(
                    progress, group, pool, session, sent_ms, reply
                )
            pool.release(session)
            if not reply.has_not_run:
                return self._forward_error(progress, reply)
            self._handle_error_reply(group, session, reply)
            await self._wait_to_retry(progress, _failure_reason(reply))
        return self._refuse_busy(progress)

    async def _run_on_any_endpoint(
        self,
        progress: StatementProgress,
        group: GroupConnections,
        shape: PreparedShape | None,
    ) -> CallerReply:
        """Run a read, or open a read-only transaction, on any up-to-date endpoint.

        An endpoint qualifies if its log has the position that the route requires.
        Endpoints that failed the read are excluded until no other one qualifies.
        """
        excluded: frozenset[str] = frozenset()
        required: Position | None = None
        failed_reply: EndpointReply | None = None
        while self._may_retry(progress):
            if not self._is_route_valid(group):
                return await self._follow_route(progress, shape)
            if required is None:
                required = await self._required_position(progress.route, group)
            if required is None:
                if self._is_crowded_out(progress, group):
                    return self._refuse_busy(progress)
                await self._wait_to_retry(progress, NO_PROOF, group)
                continue
            progress.required_position = str(required)
            pool = group.choose_for_read(required, excluded, self._customer)
            if pool is None:
                if self._is_crowded_out(progress, group):
                    return self._refuse_busy(progress)
                # No endpoint can serve the position. A promotion may have rolled it
                # back, so it is determined anew.
                group.prove_primary()
                excluded, required = frozenset(), None
                await self._wait_to_retry(progress, NO_ENDPOINT)
                continue
            session = await self._acquire_session(progress, group, pool, shape)
            if session is None:
                if self._is_crowded_out(progress, group, pool.endpoint.endpoint):
                    return self._refuse_busy(progress)
                excluded |= {pool.endpoint.endpoint}
                continue
            if not self._may_send(progress):
                pool.release(session)
                break
            if not self._is_route_valid(group):
                pool.release(session)
                continue
            sent_ms = self._timers.now_ms()
            reply = await self._send(
                progress,
                session,
                self._endpoint_command(progress.statement, shape, required),
                self._read_timeout_ms(progress, pool),
            )
            if reply is None:
                session.close()
                pool.release(session)
                excluded |= {pool.endpoint.endpoint}
                progress.reason = "the endpoint did not answer"
                group.record_missed_answer(pool, sent_ms)
                self._recorder.record_retry(progress)
                continue
            group.record_reply(pool, sent_ms, reply)
            if reply.is_success:
                return self._finish_success(
                    progress, group, pool, session, sent_ms, reply
                )
            pool.release(session)
            excluded |= {pool.endpoint.endpoint}
            progress.reason = _failure_reason(reply)
            if not reply.has_not_run:
                failed_reply = reply
            self._handle_error_reply(group, session, reply)
            self._recorder.record_retry(progress)
        if failed_reply is not None:
            return self._forward_error(progress, failed_reply)
        return self._refuse_busy(progress)

    def _find_route(self) -> tuple[Route, GroupConnections] | CallerReply:
        """Return the route and the group of the next operation, or why it has none.

        The caller's key is checked again, since it may have been withdrawn or given to
        another customer since the last operation.
        """
        found = self._route_table.find_route(self._database)
        if found is None:
            return self._unknown_database_reply()
        customer = self._route_table.identify(found[0], self._key)
        if isinstance(customer, Err):
            self._route_table.record_refused_key(self._database, customer.err_value)
            return CallerReply(
                self.state, error=customer.err_value, error_text=KEY_REFUSED
            )
        self._customer = customer.ok_value
        return found

    def _is_route_valid(self, group: GroupConnections) -> bool:
        """Return whether route and key still lead to the group and the customer.

        Both may change while a statement waits for a connection.
        """
        found = self._route_table.find_route(self._database)
        if found is None or found[1] is not group:
            return False
        return self._route_table.identify(found[0], self._key) == Ok(self._customer)

    async def _follow_route(
        self, progress: StatementProgress, shape: PreparedShape | None
    ) -> CallerReply:
        """Run a statement whose route or key was changed before it was sent."""
        found = self._find_route()
        if isinstance(found, CallerReply):
            return found
        progress.route, group = found
        if progress.customer != self._customer:
            self._refund_unless_started()
            progress.customer = self._customer
            refused = self._admit(progress)
            if refused is not None:
                return refused
        statement = progress.statement
        if isinstance(statement, Begin):
            is_read = statement.is_read_only
        else:
            is_read = not self._is_write(statement)
        if is_read:
            return await self._run_on_any_endpoint(progress, group, shape)
        return await self._run_on_primary(progress, group, shape)

    async def _required_position(
        self, route: Route, group: GroupConnections
    ) -> Position | None:
        """Return the position that a read on this route must find in the log.

        None if the position is unknown, because no primary has proven itself.
        """
        if route.consistency is Consistency.PRIMARY:
            return await group.prove_primary(self._customer)
        bound_ms = staleness_bound_ms(route)
        position = group.covering_position(bound_ms, self._customer)
        if position is None:
            return await group.prove_primary(self._customer)
        if route.consistency is Consistency.BOUNDED:
            return position
        return self._write_position.required_position(
            group.name, position, group.samples
        )

    async def _acquire_session(
        self,
        progress: StatementProgress,
        group: GroupConnections,
        pool: EndpointPool,
        shape: PreparedShape | None,
    ) -> PooledSession | None:
        """Return a connection with the caller's session values and statement set up.

        None if no connection was granted or its set-up failed.
        """
        wait_ms = max(0.0, progress.deadline_ms - self._timers.now_ms())
        if not progress.attempt_count and group.are_connections_scarce:
            patience_ms = self._patience_left_ms(progress)
            wait_ms = min(wait_ms, max(MIN_WAIT_MS, patience_ms))
        granted = await pool.acquire(
            progress.route.priority, self._profile, wait_ms, self._customer
        )
        progress.endpoint = pool.endpoint.endpoint
        if isinstance(granted, Err):
            progress.reason = granted.err_value.reason
            if self._may_retry(progress):
                await self._wait_to_retry(progress, progress.reason)
            return None
        session = granted.ok_value
        sent_ms = self._timers.now_ms()
        applied = await with_timeout(
            self._timers,
            spawn(session.apply_profile(self._profile, shape)),
            MIN_ATTEMPT_TIMEOUT_MS,
        )
        if isinstance(applied, Ok) and isinstance(applied.ok_value, Ok):
            progress.attempt_count += 1
            return session
        session.close()
        pool.release(session)
        group.record_missed_answer(pool, sent_ms)
        progress.reason = SET_UP_FAILED
        return None

    def _finish_success(
        self,
        progress: StatementProgress,
        group: GroupConnections,
        pool: EndpointPool,
        session: PooledSession,
        sent_ms: float,
        reply: EndpointReply,
    ) -> CallerReply:
        """Return the reply to a statement that an endpoint has completed.

        The connection is pinned by a BEGIN, and released otherwise. A write or a
        read-write transaction proves that the endpoint is the primary.
        """
        statement = progress.statement
        if isinstance(statement, Begin):
            self._transaction = PinnedTransaction(
                group, pool, session, progress.route, statement.is_read_only
            )
        else:
            pool.release(session)
        proves_primary = (
            not statement.is_read_only
            if isinstance(statement, Begin)
            else self._is_write(statement)
        )
        if proves_primary and reply.position is not None:
            group.record_write_proof(session.endpoint, sent_ms, reply.position)
            if not isinstance(statement, Begin):
                self._write_position.record(
                    group.name, reply.position, self._timers.now_ms()
                )
        return _success_reply(self.state, reply)

    # Statements inside a transaction

    async def _run_in_transaction(
        self, statement: Statement, shape: PreparedShape | None, is_write: bool
    ) -> CallerReply:
        transaction = self._transaction
        assert transaction is not None
        progress = self._begin_statement(statement, transaction.route)
        progress.endpoint = transaction.session.endpoint
        while True:
            if not await self._set_up_transaction(transaction, shape):
                return self._abort_transaction(progress, SET_UP_FAILED)
            if not self._route_table.accepts_statements:
                return self._abort_transaction(progress, HOST_STOPS)
            sent_ms = self._timers.now_ms()
            progress.attempt_count += 1
            reply = await self._send(
                progress,
                transaction.session,
                self._endpoint_command(statement, shape, None),
                progress.deadline_ms - sent_ms,
            )
            if reply is None:
                transaction.group.record_missed_answer(transaction.pool, sent_ms)
                return self._abort_transaction(progress, "the endpoint did not answer")
            transaction.group.record_reply(transaction.pool, sent_ms, reply)
            if reply.is_success:
                transaction.has_written = transaction.has_written or is_write
                return _success_reply(self.state, reply)
            if reply.error is EndpointError.UNKNOWN_NAME:
                transaction.session.forget_prepared()
            is_open = reply.state is SessionState.IN_TRANSACTION
            if not (is_open and reply.has_not_run and self._may_retry(progress)):
                return self._fail_transaction(progress, transaction, reply)
            await self._wait_to_retry(progress, _failure_reason(reply))

    async def _set_up_transaction(
        self, transaction: PinnedTransaction, shape: PreparedShape | None
    ) -> bool:
        """Set the caller's values and statement up on the connection, if it works."""
        applied = await with_timeout(
            self._timers,
            spawn(transaction.session.apply_profile(self._profile, shape)),
            MIN_ATTEMPT_TIMEOUT_MS,
        )
        return isinstance(applied, Ok) and isinstance(applied.ok_value, Ok)

    def _fail_transaction(
        self,
        progress: StatementProgress,
        transaction: PinnedTransaction,
        reply: EndpointReply,
    ) -> CallerReply:
        if reply.error is EndpointError.NOT_PRIMARY:
            transaction.group.record_not_primary(transaction.session.endpoint)
        self._release_transaction()
        self._is_transaction_failed = True
        return self._forward_error(progress, reply)

    def _abort_transaction(
        self, progress: StatementProgress, reason: str
    ) -> CallerReply:
        """Abort the transaction by closing its connection, which rolls it back."""
        progress.reason = reason
        self._discard_transaction()
        self._is_transaction_failed = True
        return self._refuse(progress, CallerError.ABORTED, "rolled back")

    def _end_unanswered_commit(
        self, progress: StatementProgress, transaction: PinnedTransaction
    ) -> CallerReply:
        progress.endpoint = transaction.session.endpoint
        progress.reason = "the endpoint did not answer the commit"
        self._discard_transaction()
        if transaction.has_written:
            return self._refuse(progress, CallerError.IN_DOUBT, "unknown")
        return self._refuse(progress, CallerError.ABORTED, "it only read")

    def _finish_commit(
        self,
        progress: StatementProgress,
        transaction: PinnedTransaction,
        sent_ms: float,
        reply: EndpointReply,
    ) -> CallerReply:
        self._release_transaction()
        if not reply.is_success:
            if reply.error is EndpointError.NOT_PRIMARY:
                transaction.group.record_not_primary(transaction.session.endpoint)
            progress.endpoint = transaction.session.endpoint
            self._is_transaction_failed = reply.state is not SessionState.IDLE
            return self._forward_error(progress, reply)
        if transaction.has_written and reply.position is not None:
            self._write_position.record(
                transaction.group.name, reply.position, self._timers.now_ms()
            )
            transaction.group.record_write_proof(
                transaction.session.endpoint, sent_ms, reply.position
            )
        return _success_reply(self.state, reply)

    def _release_transaction(self) -> None:
        """Return the connection to its pool, after a rollback if one is needed."""
        transaction, self._transaction = self._transaction, None
        if transaction is None:
            return
        if transaction.session.is_reusable or not transaction.session.is_open:
            transaction.pool.release(transaction.session)
            return
        spawn(self._roll_back(transaction))

    async def _roll_back(self, transaction: PinnedTransaction) -> None:
        outcome = await with_timeout(
            self._timers,
            transaction.session.send(RollbackTransaction()),
            MIN_ATTEMPT_TIMEOUT_MS,
        )
        if isinstance(outcome, Err) or isinstance(outcome.ok_value, Err):
            transaction.session.close()
        transaction.pool.release(transaction.session)

    def _discard_transaction(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            transaction.session.close()
            transaction.pool.release(transaction.session)

    # Idle transactions

    def _start_idle_timer(self) -> None:
        limit_ms = self._route_table.transaction_idle_ms
        self._idle_timer = self._timers.call_later(
            limit_ms, self._abort_idle_transaction
        )

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _abort_idle_transaction(self) -> None:
        if self._transaction is not None and not self._is_busy:
            self._release_transaction()
            self._is_transaction_failed = True
            self._has_unreported_idle_abort = True

    def _reply_in_failed_transaction(self) -> CallerReply:
        if self._has_unreported_idle_abort:
            self._has_unreported_idle_abort = False
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

    # Helpers

    async def _send(
        self,
        progress: StatementProgress,
        session: PooledSession,
        command: EndpointCommand,
        timeout_ms: float,
    ) -> EndpointReply | None:
        """Send a statement to an endpoint; return its reply, or None without one."""
        progress.is_sent = True
        if progress.admitted_ms is not None:
            waited_ms = self._timers.now_ms() - progress.admitted_ms
            progress.admitted_ms = None
            self._route_table.record_started(progress.customer, waited_ms)
        outcome = await with_timeout(
            self._timers, session.send(command), max(0.0, timeout_ms)
        )
        progress.is_sent = False
        if isinstance(outcome, Err) or isinstance(outcome.ok_value, Err):
            progress.has_unanswered_attempt = True
            return None
        return outcome.ok_value.ok_value

    def _begin_statement(self, statement: Statement, route: Route) -> StatementProgress:
        now_ms = self._timers.now_ms()
        deadline_ms = now_ms + route.statement_timeout_ms
        self._progress = StatementProgress(
            statement, route, now_ms, deadline_ms, customer=self._customer
        )
        return self._progress

    def _admit(self, progress: StatementProgress) -> CallerReply | None:
        """Admit an operation to its customer's quota; return the refusal, if any."""
        refusal = self._route_table.admit(progress.customer)
        if refusal is not None:
            return self._refuse_over_quota(progress, refusal)
        progress.admitted_ms = self._timers.now_ms()
        return None

    def _refund_unless_started(self) -> None:
        """Report an admitted operation of which no attempt was sent."""
        progress = self._progress
        if progress is not None and progress.admitted_ms is not None:
            waited_ms = self._timers.now_ms() - progress.admitted_ms
            progress.admitted_ms = None
            self._route_table.refund(progress.customer, waited_ms)

    def _may_send(self, progress: StatementProgress) -> bool:
        table = self._route_table
        is_begin = isinstance(progress.statement, Begin)
        accepts = table.accepts_transactions if is_begin else table.accepts_statements
        return accepts and not self._is_closed

    def _may_retry(self, progress: StatementProgress) -> bool:
        return self._timers.now_ms() < progress.deadline_ms and self._may_send(progress)

    def _patience_left_ms(self, progress: StatementProgress) -> float:
        """Return for how long a statement may wait for a scarce connection."""
        waited_ms = self._timers.now_ms() - progress.started_ms
        return crowded_wait_ms(progress.route) - waited_ms

    def _is_crowded_out(
        self,
        progress: StatementProgress,
        group: GroupConnections,
        endpoint: str | None = None,
    ) -> bool:
        """Return whether a statement should be refused because others hold its place.

        It has not been offered to an endpoint, and has waited for long enough. Without
        an endpoint, the group's primary is the one that it waits for.
        """
        if progress.attempt_count or self._patience_left_ms(progress) > 0.0:
            return False
        is_crowded = group.is_crowded(self._customer, endpoint)
        if is_crowded:
            progress.reason = "all connections are in use"
        return is_crowded

    def _read_timeout_ms(
        self, progress: StatementProgress, pool: EndpointPool
    ) -> float:
        left_ms = max(0.0, progress.deadline_ms - self._timers.now_ms())
        usual_ms = READ_TIMEOUT_FACTOR * pool.service_ms
        return min(left_ms, max(MIN_ATTEMPT_TIMEOUT_MS, usual_ms))

    async def _wait_to_retry(
        self,
        progress: StatementProgress,
        reason: str,
        group: GroupConnections | None = None,
    ) -> None:
        """Wait for the retry delay, or less if the endpoints of `group` change."""
        progress.reason = reason
        if group is not None:
            await with_timeout(self._timers, group.next_change(), RETRY_DELAY_MS)
        else:
            await sleep(self._timers, RETRY_DELAY_MS)

    def _endpoint_command(
        self,
        statement: Statement,
        shape: PreparedShape | None,
        after: Position | None,
    ) -> EndpointCommand:
        if isinstance(statement, Execute) and shape is not None:
            return RunPrepared(
                statement.request_id, shape.shared_name, statement.arguments, after
            )
        effect = TransactionEffect.NONE
        if isinstance(statement, Begin):
            effect = TransactionEffect.BEGINS
        elif isinstance(statement, Commit):
            effect = TransactionEffect.ENDS
        return RunStatement(statement.request_id, statement.text, after, effect)

    def _is_write(self, statement: Statement) -> bool:
        if isinstance(statement, Execute):
            shape = self._profile.prepared.get(statement.name)
            return shape is not None and shape.is_write
        return isinstance(statement, Write)

    def _handle_error_reply(
        self, group: GroupConnections, session: PooledSession, reply: EndpointReply
    ) -> None:
        if reply.error is EndpointError.NOT_PRIMARY:
            group.record_not_primary(session.endpoint)
        elif reply.error is EndpointError.UNKNOWN_NAME:
            session.forget_prepared()

    def _refuse(
        self, progress: StatementProgress, error: CallerError, has_run: str
    ) -> CallerReply:
        self._recorder.record_refusal(progress, has_run)
        return CallerReply(self.state, error=error, error_text=progress.reason)

    def _refuse_busy(self, progress: StatementProgress) -> CallerReply:
        """Refuse a statement that has no effect: it has not run, or it only reads."""
        if not self._may_send(progress):
            progress.reason = HOST_STOPS
        may_have_run = progress.has_unanswered_attempt and not isinstance(
            progress.statement, Begin
        )
        has_run = "unknown" if may_have_run else "no"
        return self._refuse(progress, CallerError.BUSY, has_run)

    def _refuse_over_quota(
        self, progress: StatementProgress, reason: str
    ) -> CallerReply:
        """Refuse an operation of a customer that has used up its quota."""
        progress.reason = reason
        return self._refuse(progress, CallerError.OVER_QUOTA, "no")

    def _forward_error(
        self, progress: StatementProgress, reply: EndpointReply
    ) -> CallerReply:
        assert reply.error is not None
        progress.reason = reply.error.value
        has_run = "no" if reply.has_not_run else "unknown"
        refused = self._refuse(progress, _CALLER_ERRORS[reply.error], has_run)
        return CallerReply(
            refused.state,
            error=refused.error,
            error_text=reply.error_text,
            position=reply.position,
        )

    def _unknown_database_reply(self) -> CallerReply:
        return CallerReply(
            self.state,
            error=self._route_table.refuse_database(self._database),
            error_text=self._database,
        )

    def _unknown_name_reply(self, name: str) -> CallerReply:
        return CallerReply(self.state, error=CallerError.UNKNOWN_NAME, error_text=name)


def staleness_bound_ms(route: Route) -> float:
    """Return how old the state that a read of a route sees may be."""
    return max(0.0, route.max_staleness_ms - STALENESS_MARGIN_MS)


def _success_reply(state: SessionState, reply: EndpointReply) -> CallerReply:
    return CallerReply(state, reply.rows, reply.signature, position=reply.position)


def _failure_reason(reply: EndpointReply) -> str:
    """Return why an endpoint refused, without the endpoint's own error text."""
    return reply.error.value if reply.error is not None else "not run"
