"""Probes a group's endpoints, records positions and repoints replicas."""

from collections.abc import Callable

from result import Err, Ok

from azurerelay.endpoints import EndpointAnswer, EndpointRole, FollowCall, StatusCall
from azurerelay.failover import PrimaryFailureDetector
from azurerelay.membership import EndpointRecord, Suspicion
from azurerelay.routing import PositionTracker
from azurerelay.serving._serving_context import ServingContext
from azurerelay.timing import Timer, spawn

FOLLOW_TIMEOUT_MS = 500.0


class Prober:
    """Probe every endpoint of a group at the configured interval."""

    def __init__(
        self,
        context: ServingContext,
        tracker: PositionTracker,
        on_reachable: Callable[[str], None],
    ) -> None:
        self._context = context
        self._tracker = tracker
        self._on_reachable = on_reachable
        self._failure_detector = PrimaryFailureDetector()
        self._suspicion: Suspicion | None = None
        self._being_repointed: set[str] = set()
        self._timer: Timer | None = None
        self._is_stopped = False

    @property
    def suspicion(self) -> Suspicion | None:
        """The suspicion that the primary has failed, as of the last probe, if any."""
        return self._suspicion

    def start(self) -> None:
        """Probe all endpoints now and at each interval until stopped."""
        if self._is_stopped:
            return
        self.probe_all()
        interval_ms = self._context.policy.probe_interval_ms
        self._timer = self._context.timers.call_later(interval_ms, self.start)

    def repoint_all(self) -> None:
        """Make all other endpoints follow the primary, without awaiting a probe."""
        primary = self._context.record.primary
        for endpoint in self._context.state.group_endpoints(self._context.group):
            if endpoint.name != primary and endpoint.name not in self._being_repointed:
                spawn(self._repoint(endpoint))

    def stop(self) -> None:
        """Stop probing."""
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()

    def probe_all(self) -> None:
        """Send one probe to each endpoint."""
        for endpoint in self._context.state.group_endpoints(self._context.group):
            spawn(self.probe(endpoint))

    async def probe(self, endpoint: EndpointRecord) -> None:
        """Probe one endpoint and record its answer or the missed probe."""
        context = self._context
        sent_ms = context.now_ms()
        outcome = await context.endpoints.request(
            endpoint.address, StatusCall(), context.policy.probe_timeout_ms
        )
        if self._is_stopped:
            return
        now_ms = context.now_ms()
        if isinstance(outcome, Err):
            self._tracker.record_miss(endpoint.name)
        else:
            self._record_answer(endpoint, outcome.ok_value, sent_ms, now_ms)
        self._update_suspicion()

    def _record_answer(
        self,
        endpoint: EndpointRecord,
        answer: EndpointAnswer,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        self._tracker.record_answer(endpoint.name, answer, sent_ms, now_ms)
        view = self._tracker.views.get(endpoint.name)
        if view is None:
            return
        view.misses = 0
        is_demoted = self._is_demoted(endpoint, answer)
        view.demotions = view.demotions + 1 if is_demoted else 0
        self._on_reachable(endpoint.name)
        view.record_round_trip(now_ms - sent_ms)
        if self._needs_repointing(endpoint, answer):
            spawn(self._repoint(endpoint))

    def _is_demoted(self, endpoint: EndpointRecord, answer: EndpointAnswer) -> bool:
        """Return whether the primary answers as a replica, as after a restart."""
        record = self._context.record
        is_installed = endpoint.name == record.primary and answer.term >= record.term
        return is_installed and answer.role is EndpointRole.REPLICA

    def _needs_repointing(
        self, endpoint: EndpointRecord, answer: EndpointAnswer
    ) -> bool:
        record = self._context.record
        if record.primary is None or endpoint.name == record.primary:
            return False
        if endpoint.name in self._being_repointed or answer.term > record.term:
            return False
        return answer.term < record.term or answer.synced_term < record.term

    async def _repoint(self, endpoint: EndpointRecord) -> None:
        record = self._context.record
        primary = self._context.state.endpoints.get(record.primary or "")
        if primary is None:
            return
        self._being_repointed.add(endpoint.name)
        call = FollowCall(record.term, primary.name, primary.address)
        await self._context.endpoints.request(endpoint.address, call, FOLLOW_TIMEOUT_MS)
        self._being_repointed.discard(endpoint.name)

    def _update_suspicion(self) -> None:
        context = self._context
        suspicion = self._failure_detector.find_suspicion(
            context.record, context.policy, self._tracker.views
        )
        is_new_suspicion = suspicion is not None and self._suspicion is None
        self._suspicion = suspicion
        if is_new_suspicion:
            context.counters.suspicions += 1
            context.request_heartbeat()

    async def sample_primary(self) -> bool:
        """Sample the primary's position now; return False if that fails."""
        context = self._context
        primary = context.state.endpoints.get(context.record.primary or "")
        if primary is None:
            return False
        sent_ms = context.now_ms()
        outcome = await context.endpoints.request(
            primary.address, StatusCall(), context.policy.probe_timeout_ms
        )
        if isinstance(outcome, Ok):
            answer = outcome.ok_value
            self._tracker.record_answer(primary.name, answer, sent_ms, context.now_ms())
        return isinstance(outcome, Ok)
