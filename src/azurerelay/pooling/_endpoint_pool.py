"""The connections of this host to one endpoint."""

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from azurerelay.discovery import Announcement
from azurerelay.pooling._connection_share import ConnectionShare, holding_ms
from azurerelay.pooling._pooled_session import PooledSession
from azurerelay.pooling._session_profile import SessionProfile
from azurerelay.statements import ConnectFailed, EndpointConnector, EndpointError
from azurerelay.timing import Promise, TimerService, spawn

# A refused endpoint is tried again after this, doubled up to the maximum: a start
# takes about a second, and a try costs one packet each way.
RETRY_MS: Final = 100.0
RETRY_MAX_MS: Final = 1_000.0
# A connection over the endpoint's limit is tried again after about this, when a few
# statements have ended; doubled up to the maximum, which is less than callers wait.
REOPEN_MS: Final = 100.0
REOPEN_MAX_MS: Final = 400.0
REOPEN_SPREAD: Final = 0.5  # so that hosts which were refused together return apart
SMOOTHING: Final = 0.2  # weight of the newest duration in the moving average
INITIAL_SERVICE_MS: Final = 30.0  # typical statement, until one is measured
# Without new answers the average returns to the typical value at this pace, so that an
# endpoint that was slow is tried again.
FORGET_HALF_LIFE_MS: Final = 2_000.0
# A connection beyond the first is closed after this time unused, a few times what it
# costs to open one from another region. Endpoints count the connections of hosts that
# lost power for seconds; what all hosts leave free is what these need to come back.
IDLE_CLOSE_MS: Final = 500.0
INITIAL_USE_GAP_MS: Final = 1_000.0  # between two uses, until they are timed
LONGEST_GAP: Final = 3.0  # averages that a pause counts for, so that one proves little
# Answers missed in a row before the endpoint itself counts as lost: single ones go
# missing while it is well.
MISSED_ANSWERS: Final = 3


@dataclass(slots=True)
class _Waiter:
    """A request for a connection; a lower priority number is served first."""

    priority: int
    profile: SessionProfile
    granted: Promise[Result[PooledSession, ConnectFailed]]


@dataclass(frozen=True, slots=True, eq=False)
class _IdleSession:
    """A connection that nobody uses, and since when."""

    session: PooledSession
    since_ms: float


class EndpointPool:
    """Open, lend and take back connections, as many as its share allows.

    Answers scarce connections: an endpoint takes a fixed number from all hosts
    together, and each new one costs it as much as a statement.
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
        self._used_ms = timers.now_ms()
        self._use_gap_ms = INITIAL_USE_GAP_MS
        self._idle: list[_IdleSession] = []
        self._lent: set[PooledSession] = set()
        self._connecting = 0
        self._waiters: deque[_Waiter] = deque()
        self._failing_since_ms: float | None = None
        self._retry_at_ms = 0.0
        self._retry_ms = RETRY_MS
        self._service_ms = INITIAL_SERVICE_MS
        self._answered_ms = timers.now_ms()
        self._missed = 0
        self._is_closed = False
        self._open_again_ms = 0.0
        self._reopen_ms = REOPEN_MS

    @property
    def endpoint(self) -> Announcement:
        """The endpoint as announced."""
        return self._endpoint

    @property
    def in_use(self) -> int:
        """How many statements of this host wait or run there."""
        return len(self._lent) + len(self._waiters)

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return len(self._idle) + len(self._lent)

    @property
    def size(self) -> int:
        """How many connections are open or being opened."""
        return len(self._idle) + len(self._lent) + self._connecting

    @property
    def service_ms(self) -> float:
        """The moving average of how long a statement takes there."""
        idle_ms = self._timers.now_ms() - self._answered_ms
        kept = math.exp2(-idle_ms / FORGET_HALF_LIFE_MS)
        return INITIAL_SERVICE_MS + kept * (self._service_ms - INITIAL_SERVICE_MS)

    @property
    def has_free_slot(self) -> bool:
        """Whether a connection could be had without waiting for another caller."""
        return bool(self._idle) or self.size < self._share.limit

    @property
    def is_usable(self) -> bool:
        """Whether an attempt is worth while now."""
        if self._is_closed:
            return False
        now_ms = self._timers.now_ms()
        if not self.size and now_ms < self._open_again_ms:
            return False
        return self._failing_since_ms is None or now_ms >= self._retry_at_ms

    @property
    def failing_ms(self) -> float:
        """For how long every attempt has failed; 0 when the last one did not."""
        if self._failing_since_ms is None:
            return 0.0
        return self._timers.now_ms() - self._failing_since_ms

    def update(self, endpoint: Announcement, share: ConnectionShare) -> None:
        """Take a newer announcement of the same incarnation, and a new share."""
        self._endpoint = endpoint
        self._share = share

    def acquire(
        self, priority: int, profile: SessionProfile, wait_ms: float
    ) -> Promise[Result[PooledSession, ConnectFailed]]:
        """Return a connection, to be released, or why there is none in time."""
        self._note_use()
        waiter = _Waiter(priority, profile, Promise())
        if self._is_closed:
            waiter.granted.resolve(Err(ConnectFailed("the endpoint is gone")))
            return waiter.granted
        self._enqueue(waiter)
        self._serve()
        if not waiter.granted.is_done:
            late = Err(ConnectFailed("no connection was free in time"))
            timer = self._timers.call_later(
                wait_ms, lambda: waiter.granted.resolve(late)
            )
            waiter.granted.add_callback(timer.cancel)
        return waiter.granted

    def release(self, session: PooledSession) -> None:
        """Take a connection back; one that is not clean is closed."""
        self._lent.discard(session)
        if session.is_reusable and not self._is_closed:
            self._add_idle(session)
        else:
            session.close()
        self._serve()

    def open_ahead(self) -> None:
        """Open a connection before it is needed, if there is none."""
        may_open = self.is_usable and self._timers.now_ms() >= self._open_again_ms
        if not self.size and may_open:
            spawn(self._open())

    def trim(self) -> None:
        """Close connections that are not needed any more; called regularly."""
        now_ms = self._timers.now_ms()
        last_kept_ms = holding_ms(self._share, self._use_gap_ms)
        for idle in list(self._idle):
            kept_ms = IDLE_CLOSE_MS if self.size > 1 else last_kept_ms
            if now_ms - idle.since_ms > kept_ms:
                self._idle.remove(idle)
                idle.session.close()

    def note_success(self, duration_ms: float) -> None:
        """Record an answer of the endpoint."""
        self._failing_since_ms = None
        self._retry_ms = RETRY_MS
        self._missed = 0
        self._note_duration(duration_ms)

    def note_missed_answer(self, waited_ms: float) -> None:
        """Record that a statement got no answer in time."""
        self._missed += 1
        self._note_duration(waited_ms)
        if self._missed >= MISSED_ANSWERS:
            self.note_failure()

    def note_failure(self) -> None:
        """Record that the endpoint is lost; those who wait look elsewhere."""
        now_ms = self._timers.now_ms()
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        self._retry_at_ms = now_ms + self._retry_ms
        self._retry_ms = min(RETRY_MAX_MS, 2 * self._retry_ms)
        waiters, self._waiters = self._waiters, deque()
        for waiter in waiters:
            waiter.granted.resolve(Err(ConnectFailed("the endpoint does not answer")))

    def close(self) -> None:
        """Close what is idle; lent connections are closed as they come back."""
        self._is_closed = True
        for idle in self._idle:
            idle.session.close()
        self._idle.clear()
        self._refuse_waiters(ConnectFailed("the endpoint is gone"))

    def _note_duration(self, duration_ms: float) -> None:
        self._service_ms = self.service_ms
        self._service_ms += SMOOTHING * (duration_ms - self._service_ms)
        self._answered_ms = self._timers.now_ms()

    def _note_use(self) -> None:
        now_ms = self._timers.now_ms()
        gap_ms = min(now_ms - self._used_ms, LONGEST_GAP * self._use_gap_ms)
        self._use_gap_ms += SMOOTHING * (gap_ms - self._use_gap_ms)
        self._used_ms = now_ms

    def _enqueue(self, waiter: _Waiter) -> None:
        """Insert behind all waiters of the same or a higher priority."""
        place = len(self._waiters)
        while place > 0 and self._waiters[place - 1].priority > waiter.priority:
            place -= 1
        self._waiters.insert(place, waiter)

    def _serve(self) -> None:
        while self._waiters:
            if self._waiters[0].granted.is_done:
                self._waiters.popleft()
                continue
            session = self._take_idle(self._waiters[0].profile)
            if session is None:
                break
            self._lent.add(session)
            waiter = self._waiters.popleft()
            waiter.granted.resolve(Ok(session))
        waiting = sum(not waiter.granted.is_done for waiter in self._waiters)
        may_open = self._timers.now_ms() >= self._open_again_ms
        if may_open and waiting > self._connecting and self.size < self._share.limit:
            spawn(self._open())

    def _take_idle(self, profile: SessionProfile) -> PooledSession | None:
        """Return the idle connection that takes the fewest commands to match."""
        self._idle = [idle for idle in self._idle if idle.session.is_open]
        if not self._idle:
            return None
        best = min(
            reversed(self._idle),  # among equals the last used, so that others idle
            key=lambda idle: idle.session.missing_settings(profile),
        )
        self._idle.remove(best)
        return best.session

    def _add_idle(self, session: PooledSession) -> None:
        self._idle.append(_IdleSession(session, self._timers.now_ms()))

    async def _open(self) -> None:
        self._connecting += 1
        started_ms = self._timers.now_ms()
        outcome = await self._connector.connect(self._endpoint)
        self._connecting -= 1
        if isinstance(outcome, Ok):
            session = PooledSession(self._endpoint.endpoint, outcome.ok_value)
            if self._is_closed:
                session.close()
                return
            self._add_idle(session)
            self._failing_since_ms = None
            self._retry_ms = RETRY_MS
            self._reopen_ms = REOPEN_MS
            self._serve()
            return
        self._on_refused(outcome.err_value, self._timers.now_ms() - started_ms)
        if outcome.err_value.error in (
            EndpointError.BUSY,
            EndpointError.TOO_MANY_CONNECTIONS,
        ):
            # The endpoint is well; connections of hosts that lost power count there
            # for some seconds.
            spread = self._random.uniform(1.0 - REOPEN_SPREAD, 1.0 + REOPEN_SPREAD)
            pause_ms = self._reopen_ms * spread
            self._reopen_ms = min(REOPEN_MAX_MS, 2.0 * self._reopen_ms)
            self._open_again_ms = self._timers.now_ms() + pause_ms
            self._timers.call_later(pause_ms, self._serve)
        else:
            self.note_failure()
        self._refuse_waiters(outcome.err_value)

    def _refuse_waiters(self, failure: ConnectFailed) -> None:
        """Let those who wait look elsewhere, unless connections will come back."""
        if (self._lent or self._connecting) and not self._is_closed:
            return
        waiters, self._waiters = self._waiters, deque()
        for waiter in waiters:
            waiter.granted.resolve(Err(failure))
