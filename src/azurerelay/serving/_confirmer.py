"""Waits until a majority of endpoints holds a position."""

from result import Err, Ok

from azurerelay.endpoints import StatusCall
from azurerelay.membership import EndpointRecord
from azurerelay.routing import PositionTracker
from azurerelay.serving._serving_context import ServingContext
from azurerelay.timing import sleep, spawn, within

WATCH_WAIT_MS = 200.0
WATCH_TIMEOUT_MS = 400.0
WATCH_RETRY_MS = 20.0
LEASE_POLL_MS = 10.0


class Confirmer:
    """Confirm positions under a lease; ask replicas to report their progress.

    Each replica has one question outstanding, however many writes wait.
    """

    def __init__(self, context: ServingContext, tracker: PositionTracker) -> None:
        self._context = context
        self._tracker = tracker
        self._watched: set[str] = set()

    async def confirm(self, term: int, position: int, deadline_ms: float) -> bool:
        """Return True only while the lease on the term is valid.

        False when the term has ended or the deadline has passed.
        """
        if self._tracker.term != term:
            return False
        confirmation = self._tracker.confirmation(position)
        if not confirmation.is_done:
            self._watch_replicas()
        remaining_ms = deadline_ms - self._context.now_ms()
        outcome = await within(self._context.timers, confirmation, remaining_ms)
        if isinstance(outcome, Err):
            self._tracker.abandon(confirmation)
            return False
        if not outcome.ok_value:
            return False
        return await self._hold_lease(term, deadline_ms)

    async def _hold_lease(self, term: int, deadline_ms: float) -> bool:
        context = self._context
        while context.record.term == term:
            if context.has_lease():
                return True
            if context.now_ms() >= deadline_ms:
                return False
            await sleep(context.timers, LEASE_POLL_MS)
        return False

    def _watch_replicas(self) -> None:
        primary = self._context.record.primary
        for endpoint in self._context.state.group_endpoints(self._context.group):
            if endpoint.name != primary and endpoint.name not in self._watched:
                self._watched.add(endpoint.name)
                spawn(self._watch(endpoint))

    async def _watch(self, endpoint: EndpointRecord) -> None:
        context = self._context
        tracker = self._tracker
        while tracker.has_waiters and endpoint.name in tracker.views:
            view = tracker.views[endpoint.name]
            target = max(tracker.awaited_position, view.position + 1)
            call = StatusCall(target, WATCH_WAIT_MS)
            sent_ms = context.now_ms()
            outcome = await context.endpoints.request(
                endpoint.address, call, WATCH_TIMEOUT_MS
            )
            if isinstance(outcome, Ok):
                now_ms = context.now_ms()
                tracker.observe(endpoint.name, outcome.ok_value, sent_ms, now_ms)
            is_stuck = isinstance(outcome, Err) or outcome.ok_value.position < target
            if is_stuck and context.now_ms() - sent_ms < WATCH_RETRY_MS:
                await sleep(context.timers, WATCH_RETRY_MS)
        self._watched.discard(endpoint.name)
