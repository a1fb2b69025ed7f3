"""Waits until a quorum of endpoints holds a position."""

from result import Err, Ok

from azurerelay.endpoints import StatusCall
from azurerelay.membership import EndpointRecord
from azurerelay.routing import PositionTracker
from azurerelay.serving._serving_context import ServingContext
from azurerelay.timing import sleep, spawn, with_timeout

# How long a polled replica may wait for the position before it answers.
POLL_WAIT_MS = 200.0
POLL_TIMEOUT_MS = 400.0
# Pause after a poll that ends sooner than this without the position, so that such
# polls do not follow each other at once.
POLL_RETRY_MS = 20.0
LEASE_POLL_MS = 10.0


class Confirmer:
    """Confirm positions under a valid lease; poll replicas for their progress.

    Each replica has at most one outstanding poll, however many requests wait.
    """

    def __init__(self, context: ServingContext, tracker: PositionTracker) -> None:
        self._context = context
        self._tracker = tracker
        self._polled: set[str] = set()

    async def confirm(self, term: int, position: int, deadline_ms: float) -> bool:
        """Wait until a quorum holds the position and the lease is valid.

        Return False if the term ends or the deadline passes first.
        """
        if self._tracker.term != term:
            return False
        confirmation = self._tracker.confirmation(position)
        if not confirmation.is_done:
            self._poll_replicas()
        remaining_ms = deadline_ms - self._context.now_ms()
        outcome = await with_timeout(self._context.timers, confirmation, remaining_ms)
        if isinstance(outcome, Err):
            self._tracker.cancel_confirmation(confirmation)
            return False
        if not outcome.ok_value:
            return False
        return await self._wait_for_lease(term, deadline_ms)

    async def _wait_for_lease(self, term: int, deadline_ms: float) -> bool:
        context = self._context
        while context.record.term == term:
            if context.has_lease():
                return True
            if context.now_ms() >= deadline_ms:
                return False
            await sleep(context.timers, LEASE_POLL_MS)
        return False

    def _poll_replicas(self) -> None:
        primary = self._context.record.primary
        for endpoint in self._context.state.group_endpoints(self._context.group):
            if endpoint.name != primary and endpoint.name not in self._polled:
                self._polled.add(endpoint.name)
                spawn(self._poll_replica(endpoint))

    async def _poll_replica(self, endpoint: EndpointRecord) -> None:
        context = self._context
        tracker = self._tracker
        while tracker.has_waiters and endpoint.name in tracker.views:
            view = tracker.views[endpoint.name]
            target = max(tracker.awaited_position, view.position + 1)
            call = StatusCall(target, POLL_WAIT_MS)
            sent_ms = context.now_ms()
            outcome = await context.endpoints.request(
                endpoint.address, call, POLL_TIMEOUT_MS
            )
            if isinstance(outcome, Ok):
                now_ms = context.now_ms()
                tracker.record_answer(endpoint.name, outcome.ok_value, sent_ms, now_ms)
            has_missed_target = (
                isinstance(outcome, Err) or outcome.ok_value.position < target
            )
            if has_missed_target and context.now_ms() - sent_ms < POLL_RETRY_MS:
                await sleep(context.timers, POLL_RETRY_MS)
        self._polled.discard(endpoint.name)
