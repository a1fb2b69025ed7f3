"""The pool of this host's connections to one endpoint."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from azurerelay.discovery import Announcement
from azurerelay.pooling._connection_share import ConnectionShare, idle_timeout_ms
from azurerelay.pooling._duration_average import SMOOTHING, DurationAverage
from azurerelay.pooling._load_estimate import LoadEstimate, LoadKnowledge
from azurerelay.pooling._pooled_session import PooledSession
from azurerelay.pooling._request_queue import ConnectionRequest, RequestQueue
from azurerelay.pooling._session_profile import SessionProfile
from azurerelay.statements import ConnectFailed, EndpointConnector, EndpointSession
from azurerelay.timing import Promise, TimerService, spawn

# Delay before a lost endpoint is tried again; it doubles with each failure up to the
# maximum. An endpoint takes about a second to start, and an attempt costs one packet
# each way.
RETRY_DELAY_MS: Final = 100.0
MAX_RETRY_DELAY_MS: Final = 1_000.0
# Mean delay before another connection is opened after the endpoint refused one because
# of its limits; by then a few statements have ended. It doubles with each refusal up to
# the maximum, which is shorter than callers wait.
REOPEN_DELAY_MS: Final = 100.0
MAX_REOPEN_DELAY_MS: Final = 400.0
# Fraction by which the reopen delay varies at random, so that hosts that were refused
# at the same time do not try again together.
REOPEN_JITTER: Final = 0.5
# Idle connections are closed after this time while the pool has more than one; it is a
# few times the cost of opening a connection from another region. For some seconds an
# endpoint still counts the connections of hosts that lost power, so these hosts can
# reconnect only if the others leave connections free.
EXTRA_IDLE_TIMEOUT_MS: Final = 500.0
INITIAL_USE_GAP_MS: Final = 1_000.0  # time between two uses, until it is measured
# A gap counts as at most this multiple of the moving average, so that a single long
# pause changes the average little.
MAX_GAP_FACTOR: Final = 3.0
# Statements without an answer in a row after which the endpoint counts as lost; single
# answers are also missed while the endpoint is healthy.
MISSED_ANSWER_THRESHOLD: Final = 3
NO_CUSTOMER: Final = ""
NO_ANSWER: Final = ConnectFailed("the endpoint does not answer")
POOL_CLOSED: Final = "removed"
ENDPOINT_FULL: Final = "it refused a connection because of its limits"
ENDPOINT_LOST: Final = "lost; the next attempt is not due"


@dataclass(frozen=True, slots=True, eq=False)
class _IdleSession:
    """An idle connection and the time at which it became idle."""

    session: PooledSession
    since_ms: float


class EndpointPool:
    """A connection pool for one endpoint, limited to this host's share.

    Connections are reused because an endpoint takes a fixed number of connections from
    all hosts together, and because opening one costs it as much as a statement. Each
    serves one customer. Where all connections of the share are open and one of another
    customer is idle, it is closed, and one for the waiting customer opened instead.
    `on_refused` is called with each failed attempt to connect and its duration in ms.
    """

    def __init__(
        self,
        endpoint: Announcement,
        connector: EndpointConnector,
        timers: TimerService,
        share: ConnectionShare,
        random_source: random.Random,
        on_refused: Callable[[ConnectFailed, float], object],
    ) -> None:
        self._random = random_source
        self._on_refused = on_refused
        self._endpoint = endpoint
        self._connector = connector
        self._timers = timers
        self._share = share
        self._last_use_ms = timers.now_ms()
        self._mean_use_gap_ms = INITIAL_USE_GAP_MS
        self._idle: list[_IdleSession] = []
        self._checked_out: set[PooledSession] = set()
        self._connecting: Counter[str] = Counter()
        self._requests = RequestQueue()
        self._is_endpoint_full = False
        self._failing_since_ms: float | None = None
        self._retry_at_ms = 0.0
        self._retry_delay_ms = RETRY_DELAY_MS
        self._durations = DurationAverage(timers.now_ms())
        self._load: LoadEstimate | None = None
        self._missed_answers = 0
        self._outcome_ms: float | None = None
        self._is_closed = False
        self._reopen_at_ms = 0.0
        self._reopen_delay_ms = REOPEN_DELAY_MS

    @property
    def endpoint(self) -> Announcement:
        """The newest announcement of the endpoint."""
        return self._endpoint

    @property
    def pending_statements(self) -> int:
        """The number of connections in use and of requests waiting for one."""
        return len(self._checked_out) + len(self._requests)

    @property
    def open_connection_count(self) -> int:
        """The number of open connections."""
        return len(self._idle) + len(self._checked_out)

    @property
    def size(self) -> int:
        """The number of connections that are open or being opened."""
        connecting = self._connecting.total()
        return len(self._idle) + len(self._checked_out) + connecting

    @property
    def service_ms(self) -> float:
        """The moving average of statement durations; decays while none is measured."""
        return self._durations.service_ms(self._timers.now_ms())

    @property
    def load(self) -> LoadKnowledge:
        """What recent answers tell of the endpoint, if that is estimated."""
        if self._load is None:
            return LoadKnowledge()
        return self._load.knowledge(
            self._timers.now_ms(),
            max((session.unanswered_ms for session in self._checked_out), default=0.0),
            self.pending_statements,
        )

    @property
    def is_usable(self) -> bool:
        """Whether connections may be requested now.

        False if the pool is closed, if the endpoint is lost and the next attempt is not
        due, or, while the pool has no connection, for a delay after one was refused.
        """
        return not self.obstacle

    @property
    def obstacle(self) -> str:
        """Why no connection may be requested now; empty if `is_usable`."""
        if self._is_closed:
            return POOL_CLOSED
        now_ms = self._timers.now_ms()
        if not self.size and now_ms < self._reopen_at_ms:
            return ENDPOINT_FULL
        if self._failing_since_ms is not None and now_ms < self._retry_at_ms:
            return ENDPOINT_LOST
        return ""

    @property
    def _may_open(self) -> bool:
        """Whether the delay after the endpoint has refused a connection is over."""
        return self._timers.now_ms() >= self._reopen_at_ms

    @property
    def is_unreached(self) -> bool:
        """Whether the endpoint is lost and there is no open connection to it."""
        return self._failing_since_ms is not None and not self.open_connection_count

    @property
    def failing_ms(self) -> float:
        """The time since the endpoint was recorded as lost; 0 if it is not lost."""
        if self._failing_since_ms is None:
            return 0.0
        return self._timers.now_ms() - self._failing_since_ms

    @property
    def outcome_age_ms(self) -> float | None:
        """The time since the last answer, failed or missed answer; None without one."""
        if self._outcome_ms is None:
            return None
        return self._timers.now_ms() - self._outcome_ms

    def has_free_slot(self, customer: str = "") -> bool:
        """Return whether a statement need not wait for another to end.

        A connection for it is idle or may be opened, if need be in place of an idle one
        of another customer.
        """
        if self.has_idle_connection(customer):
            return True
        if self._idle:
            return self._may_open
        return self.size < self._share.limit

    def is_usable_for(self, customer: str) -> bool:
        """Return whether a connection for a customer may be requested now.

        Like `is_usable`, but only connections of the customer count.
        """
        return not self.obstacle_for(customer)

    def obstacle_for(self, customer: str) -> str:
        """Return why `is_usable_for` is False for a customer; empty if it is True."""
        if obstacle := self.obstacle:
            return obstacle
        sessions = (*self._checked_out, *(idle.session for idle in self._idle))
        is_usable = (
            self._may_open
            or bool(self._connecting.get(customer))
            or any(session.customer == customer for session in sessions)
        )
        return "" if is_usable else ENDPOINT_FULL

    def is_crowded(self, customer: str = "") -> bool:
        """Return whether others hold the connections that a customer's statement needs.

        All are in use, or the endpoint refused the last one because of its limits. The
        endpoint itself is not lost.
        """
        if self._is_closed or self._failing_since_ms is not None:
            return False
        if self.has_idle_connection(customer):
            return False
        return not self._may_open or len(self._checked_out) >= self._share.limit

    def has_idle_connection(self, customer: str) -> bool:
        """Return whether a statement of a customer needs no new connection."""
        return any(idle.session.customer == customer for idle in self._idle)

    def update(self, endpoint: Announcement, share: ConnectionShare) -> None:
        """Replace the announcement by one of the same incarnation, and the share."""
        self._endpoint = endpoint
        self._share = share
        self._serve_requests()

    def estimate_load(self, is_on: bool, has_joined: bool) -> None:
        """Start or stop to estimate the load; without a change, nothing happens.

        An endpoint that has just joined others starts with a low weight: it may be
        cold, and all hosts learn of it at about the same time.
        """
        if not is_on:
            self._load = None
        elif self._load is None:
            self._load = LoadEstimate(self._random)
            if has_joined:
                self._load.begin_return(self._timers.now_ms())

    def acquire(
        self,
        priority: int,
        profile: SessionProfile,
        wait_ms: float,
        customer: str = "",
        accepts_any_customer: bool = False,
    ) -> Promise[Result[PooledSession, ConnectFailed]]:
        """Return a promise of a connection, which the caller must release.

        Connections are granted in the order of `RequestQueue`. One that has to be
        opened is opened for `customer`. The promise holds a ConnectFailed if the
        endpoint is lost or removed, if it refuses the connection, or if no connection
        is free within `wait_ms`.
        """
        self._record_use()
        promise: Promise[Result[PooledSession, ConnectFailed]] = Promise()
        if self._is_closed:
            promise.resolve(Err(ConnectFailed("the endpoint is gone")))
            return promise
        self._requests.add(
            ConnectionRequest(
                priority, profile, promise, customer, accepts_any_customer
            )
        )
        self._serve_requests()
        if not promise.is_done:
            timed_out = Err(ConnectFailed("no connection was free in time"))
            timer = self._timers.call_later(wait_ms, lambda: promise.resolve(timed_out))
            promise.add_callback(timer.cancel)
        return promise

    def release(self, session: PooledSession) -> None:
        """Put a connection back; it is closed if not reusable or the pool is closed.

        One that keeps too much of its callers is closed, too.
        """
        self._checked_out.discard(session)
        is_reusable = session.is_reusable and not session.is_oversized
        if is_reusable and not self._is_closed:
            self._add_idle(session)
        else:
            session.close()
        self._serve_requests()

    def open_standby_connection(self) -> None:
        """Open a connection if the pool has none and an attempt is due."""
        if not self.size and self.is_usable and self._may_open:
            spawn(self._open_connection(NO_CUSTOMER))

    def trim(self) -> None:
        """Close connections that reached their idle timeout; called periodically."""
        now_ms = self._timers.now_ms()
        single_timeout_ms = idle_timeout_ms(self._share, self._mean_use_gap_ms)
        for idle in list(self._idle):
            timeout_ms = EXTRA_IDLE_TIMEOUT_MS if self.size > 1 else single_timeout_ms
            if now_ms - idle.since_ms > timeout_ms:
                self._idle.remove(idle)
                idle.session.close()
        self._serve_requests()

    def record_answer(self, duration_ms: float) -> None:
        """Record an answer and its duration; the endpoint no longer counts as lost."""
        self._failing_since_ms = None
        self._retry_delay_ms = RETRY_DELAY_MS
        self._missed_answers = 0
        self._outcome_ms = self._timers.now_ms()
        self._durations.record(duration_ms, self._timers.now_ms())
        if self._load is not None:
            self._load.record_answer(duration_ms, self._timers.now_ms())

    def record_failed_answer(self) -> None:
        """Record that the endpoint failed or refused a statement."""
        self._outcome_ms = self._timers.now_ms()
        if self._load is not None:
            self._load.record_failure(self._timers.now_ms())

    def record_missed_answer(self, waited_ms: float) -> None:
        """Record a statement without an answer.

        After `MISSED_ANSWER_THRESHOLD` of them in a row the endpoint counts as lost.
        """
        self._missed_answers += 1
        self._outcome_ms = self._timers.now_ms()
        self._durations.record(waited_ms, self._timers.now_ms())
        if self._load is not None:
            self._load.record_failure(self._timers.now_ms())
        if self._missed_answers >= MISSED_ANSWER_THRESHOLD:
            self.mark_lost()

    def mark_lost(self, failure: ConnectFailed = NO_ANSWER) -> None:
        """Record that the endpoint is lost, and fail all waiting requests."""
        now_ms = self._timers.now_ms()
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        self._retry_at_ms = now_ms + self._retry_delay_ms
        self._retry_delay_ms = min(MAX_RETRY_DELAY_MS, 2 * self._retry_delay_ms)
        if self._load is not None:
            self._load.record_loss(now_ms)
        self._refuse_requests(failure)

    def refuse_callers(self, failure: ConnectFailed) -> None:
        """Fail the waiting requests of callers, which have priorities from 0 on."""
        for request in self._requests.remove_callers():
            request.promise.resolve(Err(failure))

    def abort(self) -> None:
        """Close all connections now; statements that wait for answers get none."""
        self.close()
        for session in tuple(self._checked_out):
            session.close()

    def close(self) -> None:
        """Close idle connections now, and those in use when they are released."""
        self._is_closed = True
        for idle in self._idle:
            idle.session.close()
        self._idle.clear()
        self._refuse_requests(ConnectFailed("the endpoint is gone"))

    def _refuse_requests(self, failure: ConnectFailed) -> None:
        for request in self._requests.clear():
            request.promise.resolve(Err(failure))

    def _record_use(self) -> None:
        now_ms = self._timers.now_ms()
        gap_ms = min(now_ms - self._last_use_ms, MAX_GAP_FACTOR * self._mean_use_gap_ms)
        self._mean_use_gap_ms += SMOOTHING * (gap_ms - self._mean_use_gap_ms)
        self._last_use_ms = now_ms

    def _serve_requests(self) -> None:
        if not self._requests:
            return
        while (grant := self._next_grant()) is not None:
            request, session = grant
            self._requests.remove(request)
            self._checked_out.add(session)
            request.promise.resolve(Ok(session))
        if self._may_open:
            self._open_for_requests()

    def _next_grant(self) -> tuple[ConnectionRequest, PooledSession] | None:
        """Return the first request that an idle connection can serve, and remove that.

        None if there is none, or if the connection should be closed in favour of a
        request of another customer that comes first.
        """
        self._idle = [idle for idle in self._idle if idle.session.is_open]
        if not self._idle:
            return None
        connecting = self._connecting.copy()
        room = self._room
        for request in self._requests:
            session = self._take_idle(request)
            if session is not None:
                return request, session
            if connecting[request.customer]:
                connecting[request.customer] -= 1
            elif room > 0:
                room -= 1
            elif self._may_open:
                return None
        return None

    @property
    def _room(self) -> int:
        """How many more connections may be opened without closing another one.

        An endpoint that refused the last connection has no room: other hosts hold what
        this host's share would allow.
        """
        return 0 if self._is_endpoint_full else self._share.limit - self.size

    def _open_for_requests(self) -> None:
        """Open a connection for the first request of each customer that needs one.

        If there is no room, idle connections of other customers are closed.
        """
        connecting = self._connecting.copy()
        opened_for: set[str] = set()
        for request in self._requests:
            customer = request.customer
            if connecting[customer]:
                connecting[customer] -= 1
            elif customer not in opened_for:
                if not self._make_room():
                    return
                opened_for.add(customer)
                spawn(self._open_connection(customer))

    def _make_room(self) -> bool:
        """Close idle connections until one may be opened; return whether it may."""
        if self._is_endpoint_full and self._idle:
            self._idle.pop(0).session.close()
        while self.size >= self._share.limit and self._idle:
            self._idle.pop(0).session.close()
        return self.size < self._share.limit

    def _take_idle(self, request: ConnectionRequest) -> PooledSession | None:
        """Remove and return the idle connection cheapest to match to a statement."""
        usable = [idle for idle in self._idle if request.may_use(idle.session)]
        if not usable:
            return None
        # Of equally cheap ones the last used, so that others reach their idle timeout.
        best = min(
            reversed(usable),
            key=lambda idle: idle.session.profile_mismatch(request.profile),
        )
        self._idle.remove(best)
        return best.session

    def _add_idle(self, session: PooledSession) -> None:
        self._idle.append(_IdleSession(session, self._timers.now_ms()))

    async def _open_connection(self, customer: str) -> None:
        self._connecting[customer] += 1
        started_ms = self._timers.now_ms()
        outcome: Result[EndpointSession, ConnectFailed]
        try:
            outcome = await self._connector.connect(self._endpoint, customer)
        except Exception as error:
            outcome = Err(ConnectFailed(f"unexpected error: {error!r}"))
        self._connecting[customer] -= 1
        if not self._connecting[customer]:
            del self._connecting[customer]
        if isinstance(outcome, Ok):
            session = PooledSession(
                self._endpoint.endpoint, outcome.ok_value, self._timers.now_ms, customer
            )
            if self._is_closed:
                session.close()
                return
            self._is_endpoint_full = False
            self._add_idle(session)
            self._failing_since_ms = None
            self._retry_delay_ms = RETRY_DELAY_MS
            self._reopen_delay_ms = REOPEN_DELAY_MS
            self._serve_requests()
            return
        self._on_refused(outcome.err_value, self._timers.now_ms() - started_ms)
        self._is_endpoint_full = outcome.err_value.is_at_limit
        if outcome.err_value.is_at_limit:
            # The endpoint is healthy; for some seconds it still counts the connections
            # of hosts that lost power.
            jitter = self._random.uniform(1.0 - REOPEN_JITTER, 1.0 + REOPEN_JITTER)
            delay_ms = self._reopen_delay_ms * jitter
            self._reopen_delay_ms = min(
                MAX_REOPEN_DELAY_MS, 2.0 * self._reopen_delay_ms
            )
            self._reopen_at_ms = self._timers.now_ms() + delay_ms
            self._timers.call_later(delay_ms, self._serve_requests)
        else:
            self.mark_lost(outcome.err_value)
        self._fail_requests(outcome.err_value)

    def _fail_requests(self, failure: ConnectFailed) -> None:
        """Fail the waiting requests, unless a connection may still become free."""
        if not (self._checked_out or self._connecting.total()):
            self._refuse_requests(failure)
