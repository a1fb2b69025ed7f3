"""Admission, connections and calls to one endpoint."""

import itertools
from collections.abc import Callable
from typing import Final

from result import Err, Ok, Result

from azurerelay.endpoints import (
    CallResult,
    EndpointAnswer,
    EndpointCall,
    EndpointConnection,
    EndpointFailure,
    EndpointPort,
    FailureKind,
)
from azurerelay.limits import (
    AdmissionGate,
    ConcurrencyWindow,
    ConnectionPool,
    Priority,
    Shed,
    serving_host_share,
)
from azurerelay.membership import EndpointRecord, Presence
from azurerelay.settings import GroupPolicy
from azurerelay.timing import Promise, TimerService

CIRCUIT_OPENING_FAILURES: Final = frozenset(
    {
        FailureKind.UNREACHABLE,
        FailureKind.LOST,
        FailureKind.REFUSED_ROLE,
    }
)

ChannelResult = Result[EndpointAnswer, EndpointFailure | Shed]
CallGuard = Callable[[], EndpointCall | None]


class EndpointChannel:
    """Admit calls to an endpoint and run them on pooled connections."""

    def __init__(
        self,
        record: EndpointRecord,
        policy: GroupPolicy,
        port: EndpointPort,
        timers: TimerService,
    ) -> None:
        self._record = record
        self._timers = timers
        share = _host_share(record, policy)
        self._pool = ConnectionPool(port, timers, record.address, share)
        window = ConcurrencyWindow(record.slots, share)
        self._gate = AdmissionGate(timers, window, policy.queue_length)
        self._is_circuit_open = False
        self._call_numbers = itertools.count()
        self._outstanding: dict[int, tuple[EndpointConnection, Promise[CallResult]]] = (
            {}
        )

    @property
    def record(self) -> EndpointRecord:
        """The endpoint's record in the cluster state."""
        return self._record

    @property
    def gate(self) -> AdmissionGate:
        """The admission gate."""
        return self._gate

    @property
    def pool(self) -> ConnectionPool:
        """The connection pool."""
        return self._pool

    @property
    def is_serving(self) -> bool:
        """Whether the endpoint is present and its circuit is closed."""
        return self._record.presence is Presence.PRESENT and not self._is_circuit_open

    @property
    def is_circuit_open(self) -> bool:
        """Whether a failure has opened the circuit and no probe has closed it."""
        return self._is_circuit_open

    def configure(self, record: EndpointRecord, policy: GroupPolicy) -> None:
        """Apply a new record or new settings; calls in progress continue."""
        self._record = record
        share = _host_share(record, policy)
        self._pool.set_capacity(share)
        self._gate.window.set_maximum(share)
        self._gate.set_queue_length(policy.queue_length)
        if record.presence is Presence.PRESENT:
            self._gate.open()
        else:
            self._gate.close()

    def warm_up(self) -> None:
        """Open connections up to the window's size before the first call."""
        if self.is_serving and not self._pool.open_count:
            self._pool.open_up_to(self._gate.window.size)

    def reset_circuit(self) -> None:
        """Accept new calls again after a successful probe."""
        self._is_circuit_open = False

    def interrupt(self, detail: str) -> None:
        """Fail all calls that are outstanding or wait for a connection."""
        failure = EndpointFailure(FailureKind.LOST, f"{self._record.name}: {detail}")
        outstanding = self._outstanding
        self._outstanding = {}
        for connection, outcome in outstanding.values():
            connection.close()
            outcome.resolve(Err(failure))
        self._pool.fail_waiters(detail)

    def close(self) -> None:
        """Refuse new calls and close idle connections."""
        self._gate.close()
        self._pool.close()

    async def run(
        self, guard: CallGuard, priority: Priority, caller: str, deadline_ms: float
    ) -> ChannelResult:
        """Run the guard's call on a pooled connection.

        The guard is evaluated just before the call is sent and returns None if the
        call must no longer be made.
        """
        admission = await self._gate.admit(priority, caller, deadline_ms)
        if isinstance(admission, Err):
            return admission
        connection = await self._pool.acquire(self._remaining_ms(deadline_ms))
        if isinstance(connection, Err):
            self._gate.cancel()
            self._record_failure(connection.err_value)
            return connection
        outcome = await self.call_admitted(connection.ok_value, guard, deadline_ms)
        self._pool.put_back(connection.ok_value, is_clean=_is_connection_clean(outcome))
        return outcome

    async def run_pinned(
        self,
        connection: EndpointConnection,
        guard: CallGuard,
        caller: str,
        deadline_ms: float,
    ) -> ChannelResult:
        """Run the guard's call on a transaction's dedicated connection."""
        priority = Priority.TRANSACTION
        admission = await self._gate.admit(priority, caller, deadline_ms)
        if isinstance(admission, Err):
            return admission
        return await self.call_admitted(connection, guard, deadline_ms)

    async def call_admitted(
        self, connection: EndpointConnection, guard: CallGuard, deadline_ms: float
    ) -> CallResult:
        """Make the guard's call, then release or cancel its admission."""
        call = guard()
        if call is None:
            self._gate.cancel()
            detail = f"{self._record.name}: the term or the lease has ended"
            return Err(EndpointFailure(FailureKind.REFUSED_TERM, detail))
        started_ms = self._timers.now_ms()
        outcome = await self._interruptible(
            connection, connection.call(call, self._remaining_ms(deadline_ms))
        )
        is_known = isinstance(outcome, Ok) or outcome.err_value.guarantees_not_run
        latency_ms = self._timers.now_ms() - started_ms
        self._gate.release(latency_ms if is_known else None)
        if isinstance(outcome, Err):
            self._record_failure(outcome.err_value)
        return outcome

    def _interruptible(
        self, connection: EndpointConnection, answer: Promise[CallResult]
    ) -> Promise[CallResult]:
        """Return the call's result, or a failure if `interrupt` comes first."""
        if answer.is_done:
            return answer
        call_number = next(self._call_numbers)
        outcome: Promise[CallResult] = Promise()
        self._outstanding[call_number] = (connection, outcome)

        def finish() -> None:
            self._outstanding.pop(call_number, None)
            outcome.resolve(answer.value)

        answer.add_callback(finish)
        return outcome

    def _record_failure(self, failure: EndpointFailure) -> None:
        """Open the circuit if the endpoint is unreachable, lost or in another role."""
        if failure.kind in CIRCUIT_OPENING_FAILURES:
            self._is_circuit_open = True

    def _remaining_ms(self, deadline_ms: float) -> float:
        return max(0.0, deadline_ms - self._timers.now_ms())


def _host_share(record: EndpointRecord, policy: GroupPolicy) -> int:
    return serving_host_share(
        record.connection_limit, policy.connection_percent, policy.set_size
    )


def _is_connection_clean(outcome: CallResult) -> bool:
    return isinstance(outcome, Ok) or outcome.err_value.guarantees_not_run
