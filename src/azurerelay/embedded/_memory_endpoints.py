"""In-memory endpoint port, connected to simulated endpoints."""

from collections.abc import Callable

from result import Err, Ok, Result

from azurerelay.embedded._memory_network import MemoryNetwork
from azurerelay.endpoints import (
    CallResult,
    EndpointCall,
    EndpointConnection,
    EndpointFailure,
    FailureKind,
)
from azurerelay.standin import StandinConnection, StandinEndpoint
from azurerelay.timing import Promise, TimerService, sleep, spawn, with_timeout


class MemoryEndpoints:
    """The running simulated endpoints by address."""

    def __init__(self, network: MemoryNetwork, timers: TimerService) -> None:
        self._network = network
        self._timers = timers
        self._endpoints: dict[str, StandinEndpoint] = {}
        self._incarnations: dict[str, int] = {}

    @property
    def network(self) -> MemoryNetwork:
        """The network between hosts and endpoints."""
        return self._network

    @property
    def timers(self) -> TimerService:
        """The timer service for latencies and timeouts of calls."""
        return self._timers

    def add(self, endpoint: StandinEndpoint) -> None:
        """Add a started endpoint, so that its address accepts connections."""
        address = endpoint.config.address
        self._endpoints[address] = endpoint
        self._incarnations[address] = self._incarnations.get(address, 0) + 1

    def remove(self, address: str) -> None:
        """Remove an endpoint, so that its address refuses connections."""
        self._endpoints.pop(address, None)

    def find(self, address: str) -> StandinEndpoint | None:
        """Return the running endpoint at an address, or None."""
        return self._endpoints.get(address)

    def incarnation(self, address: str) -> int:
        """Return how many times an endpoint has been started at an address."""
        return self._incarnations.get(address, 0)


class MemoryEndpointPort:
    """The endpoint port of a process; answers wait while the process is frozen."""

    def __init__(
        self, endpoints: MemoryEndpoints, name: str, process: TimerService
    ) -> None:
        self._endpoints = endpoints
        self._process = process
        self._name = name

    def connect(
        self, address: str, timeout_ms: float
    ) -> Promise[Result[EndpointConnection, EndpointFailure]]:
        """Open a connection to the endpoint at an address."""
        return spawn(self._connect(address, timeout_ms))

    def request(
        self, address: str, call: EndpointCall, timeout_ms: float
    ) -> Promise[CallResult]:
        """Make a single call to the endpoint at an address, without a connection."""
        return spawn(
            self.exchange(address, lambda endpoint: endpoint.request(call), timeout_ms)
        )

    async def exchange(
        self,
        address: str,
        call: Callable[[StandinEndpoint], Promise[CallResult]],
        timeout_ms: float,
    ) -> CallResult:
        """Deliver a call to an endpoint and its answer back, with latency each way."""
        answer = spawn(self._deliver(address, call))
        outcome = await with_timeout(self._endpoints.timers, answer, timeout_ms)
        # Holds the answer back while the calling process is frozen.
        await sleep(self._process, 0.0)
        return _flatten_timeout(outcome, address)

    async def _connect(
        self, address: str, timeout_ms: float
    ) -> Result[EndpointConnection, EndpointFailure]:
        opened: list[StandinConnection] = []

        async def open_connection(endpoint: StandinEndpoint) -> CallResult:
            outcome = await endpoint.connect()
            if isinstance(outcome, Err):
                return outcome
            opened.append(outcome.ok_value)
            # `exchange` returns no connections: LOST with `opened` set means success.
            return Err(EndpointFailure(FailureKind.LOST, "no answer needed"))

        outcome = await self.exchange(
            address, lambda endpoint: spawn(open_connection(endpoint)), timeout_ms
        )
        if opened and isinstance(outcome, Err):
            if outcome.err_value.kind is FailureKind.LOST:
                return Ok(_MemoryConnection(self, address, opened[0], self._endpoints))
            opened[0].close()
        failure = outcome.err_value if isinstance(outcome, Err) else None
        detail = failure.detail if failure else f"{address}: no connection"
        kind = failure.kind if failure else FailureKind.UNREACHABLE
        is_unanswered = kind in (FailureKind.LOST, FailureKind.TIMED_OUT)
        return Err(
            EndpointFailure(FailureKind.UNREACHABLE if is_unanswered else kind, detail)
        )

    async def _deliver(
        self, address: str, call: Callable[[StandinEndpoint], Promise[CallResult]]
    ) -> CallResult:
        network = self._endpoints.network
        timers = self._endpoints.timers
        endpoint = self._endpoints.find(address)
        latency_ms = network.latency_ms(self._name, address)
        await sleep(timers, latency_ms)
        if endpoint is None or self._endpoints.find(address) is not endpoint:
            await sleep(timers, latency_ms)
            detail = f"{address}: connection refused"
            return Err(EndpointFailure(FailureKind.UNREACHABLE, detail))
        if self._is_cut(endpoint, address):
            # Never resolves: the caller gets no answer until its timeout in `exchange`.
            await Promise[None]()
        outcome = await call(endpoint)
        await sleep(timers, latency_ms)
        if self._endpoints.find(address) is not endpoint:
            detail = f"{address}: connection lost"
            return Err(EndpointFailure(FailureKind.LOST, detail))
        if self._is_cut(endpoint, address):
            await Promise[None]()
        return outcome

    def _is_cut(self, endpoint: StandinEndpoint, address: str) -> bool:
        is_cut = self._endpoints.network.is_cut(self._name, address)
        return endpoint.is_isolated or is_cut


class _MemoryConnection:
    """A connection to a simulated endpoint, until that endpoint restarts.

    It closes itself after a call that may have taken effect without an answer.
    """

    def __init__(
        self,
        port: MemoryEndpointPort,
        address: str,
        connection: StandinConnection,
        endpoints: MemoryEndpoints,
    ) -> None:
        self._port = port
        self._address = address
        self._connection = connection
        self._endpoints = endpoints
        self._incarnation = endpoints.incarnation(address)

    @property
    def is_open(self) -> bool:
        """Whether another call may be made."""
        is_same = self._endpoints.incarnation(self._address) == self._incarnation
        return is_same and self._connection.is_open

    def call(self, call: EndpointCall, timeout_ms: float) -> Promise[CallResult]:
        """Make one call on the connection."""
        return spawn(self._call(call, timeout_ms))

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    async def _call(self, call: EndpointCall, timeout_ms: float) -> CallResult:
        if not self.is_open:
            detail = f"{self._address}: connection is closed"
            return Err(EndpointFailure(FailureKind.UNREACHABLE, detail))
        outcome = await self._port.exchange(
            self._address, lambda endpoint: self._connection.call(call), timeout_ms
        )
        is_definite = isinstance(outcome, Ok) or outcome.err_value.guarantees_not_run
        if not is_definite:
            self.close()
        return outcome


def _flatten_timeout(outcome: Result[CallResult, object], address: str) -> CallResult:
    if isinstance(outcome, Ok):
        return outcome.ok_value
    detail = f"{address}: no answer in time"
    return Err(EndpointFailure(FailureKind.TIMED_OUT, detail))
