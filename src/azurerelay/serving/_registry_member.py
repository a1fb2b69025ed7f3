"""A serving host's membership in a group's idempotency registry."""

from typing import Any

from result import Err

from azurerelay.membership import GroupRecord
from azurerelay.registry import (
    AbortNotice,
    CollectReply,
    CollectRequest,
    IdempotencyRegistry,
    IntentRequest,
    OutcomeReply,
    OutcomeRequest,
    RegistryEntry,
)
from azurerelay.serving._at_most_once import record_intent
from azurerelay.serving._serving_context import ServingContext
from azurerelay.timing import gather, sleep, spawn

COLLECT_TIMEOUT_MS = 500.0
COLLECT_RETRY_MS = 50.0


class RegistryMember:
    """Answer registry messages and collect entries when the serving set changes."""

    def __init__(self, context: ServingContext, registry: IdempotencyRegistry) -> None:
        self._context = context
        self._registry = registry
        self._collecting_epoch = 0

    @property
    def registry(self) -> IdempotencyRegistry:
        """This host's copy of the registry."""
        return self._registry

    @property
    def is_ready(self) -> bool:
        """Whether the registry is ready for the current epoch."""
        return self._registry.is_ready

    def on_state_changed(self) -> None:
        """Enter the current epoch and collect the entries of the settled set."""
        context = self._context
        policy = context.policy
        record = context.record
        self._registry.set_limits(policy.retention_ms, policy.max_entries)
        if context.host not in context.state.uninterrupted_members(record):
            return
        self._registry.enter_epoch(record.epoch, record.registry_lost_ms)
        self._registry.settle(record.settled_epoch)
        is_source = context.host in context.state.registry_sources(record)
        if is_source and record.settled_epoch == record.registry_lost_epoch:
            self._registry.accept_loss(record.registry_lost_epoch)
        if not self._registry.is_ready and self._collecting_epoch != record.epoch:
            self._collecting_epoch = record.epoch
            spawn(self._collect(record.epoch))

    def on_message(self, sender: str, message: Any) -> None:
        """Handle a registry message from another host."""
        link = self._context.link
        match message:
            case IntentRequest():
                now_ms = self._context.timers.wall_clock_ms()
                reply = record_intent(
                    self._registry,
                    message.request_id,
                    message.epoch,
                    message.entry,
                    now_ms,
                )
                link.send(sender, reply)
            case OutcomeRequest():
                is_recorded = self._registry.record_outcome(message.entry)
                link.send(sender, OutcomeReply(message.request_id, is_recorded))
            case AbortNotice():
                self._registry.abort(message.key, message.attempt)
            case CollectRequest():
                link.send(sender, self._answer_collect(message))

    def _answer_collect(self, request: CollectRequest) -> CollectReply:
        self._registry.seal(request.epoch)
        is_ready = self._registry.ready_epoch >= request.needed_epoch
        entries = self._registry.entries if is_ready else ()
        return CollectReply(request.request_id, is_ready, entries)

    async def _collect(self, epoch: int) -> None:
        """Collect entries until the registry is ready or the next epoch begins."""
        context = self._context
        while context.record.epoch == epoch and not self._registry.is_ready:
            record = context.record
            collected: list[RegistryEntry] = []
            sources = await self._ask_sources(record, collected)
            if sources >= _needed_sources(record):
                self._registry.merge_collected(epoch, collected)
                context.request_heartbeat()
                return
            await sleep(context.timers, COLLECT_RETRY_MS)

    async def _ask_sources(
        self, record: GroupRecord, collected: list[RegistryEntry]
    ) -> int:
        """Add the entries of other ready hosts to `collected`.

        Return the number of ready hosts, including this one if it is ready.
        """
        context = self._context
        needed_epoch = record.settled_epoch
        sources = 0
        if self._is_source(record):
            self._registry.seal(record.epoch)
            sources += 1
        calls = [
            context.requester.call(
                host,
                lambda request_id: CollectRequest(
                    request_id, context.group, record.epoch, needed_epoch
                ),
                COLLECT_TIMEOUT_MS,
            )
            for host in record.settled_serving
            if host != context.host and host in context.state.hosts
        ]
        for outcome in await gather(calls):
            if isinstance(outcome, Err):
                continue
            reply: CollectReply = outcome.ok_value
            if reply.is_ready:
                sources += 1
                collected.extend(reply.entries)
        return sources

    def _is_source(self, record: GroupRecord) -> bool:
        is_complete = self._registry.ready_epoch >= record.settled_epoch
        return self._context.host in record.settled_serving and is_complete


def _needed_sources(record: GroupRecord) -> int:
    """Return how many ready hosts together hold every entry of earlier epochs.

    That is a majority of the settled set. Once the current epoch is itself settled,
    each of its ready members has collected all of them, so one host is enough.
    """
    if not record.settled_serving:
        return 0
    if record.settled_epoch == record.epoch:
        return 1
    return len(record.settled_serving) // 2 + 1
