"""One group of endpoints as one entry host uses it."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from result import Err, Result

from azurerelay.discovery import Announcement
from azurerelay.events import (
    ConnectionRefused,
    EndpointLost,
    EndpointRegained,
    EventLog,
    PrimaryProven,
)
from azurerelay.groups._primary_tracker import PrimaryTracker
from azurerelay.groups._topology import Topology
from azurerelay.pooling import (
    ConnectionShare,
    EndpointPool,
    EndpointView,
    LagEstimate,
    PooledSession,
    PositionSamples,
    RequiredPosition,
    SessionProfile,
    choose_endpoint,
)
from azurerelay.statements import (
    ConnectFailed,
    ConnectionLost,
    DropTransaction,
    EndpointConnector,
    EndpointError,
    EndpointReply,
    OpenTransaction,
    Position,
)
from azurerelay.timing import Promise, TimerService, spawn, within

PROOF_TIMEOUT_MS: Final = 400.0  # 16 round trips between regions
# Positions are refreshed at this age while reads ask for them, or early enough that a
# proof may take its whole time before they are too old.
REFRESH_MS: Final = 1_000.0
# A proof over a connection that must be opened first waits for that, too.
CONNECT_LIMIT_MS: Final = 1_000.0
# A draining endpoint takes new work no longer than this after it was first seen to
# drain; the platform allows seven seconds from its acknowledged report.
DRAINING_USE_MS: Final = 5_000.0
# An endpoint that control no longer lists is kept this long if it still answers.
UNLISTED_KEPT_MS: Final = 20_000.0
PROOF_PRIORITY: Final = -1  # before all callers

CommandPromise = Promise[Result[EndpointReply, ConnectionLost]]


@dataclass(slots=True)
class _Member:
    """An endpoint with this host's connections to it."""

    pool: EndpointPool
    draining_since_ms: float | None = None
    unlisted_since_ms: float | None = None
    position: Position | None = None
    lag: LagEstimate = field(default_factory=LagEstimate)


class GroupRelay:
    """Connections, positions and the leader of a group.

    A leader is believed by proof only: it must have opened a transaction that may
    write, which an endpoint refuses once it has lost the lead. The position stated
    then covers every commit acknowledged before the question, so that any endpoint
    whose log has that position may serve the read. No lease is needed, and a
    promotion need not wait for one to end.
    """

    def __init__(
        self,
        name: str,
        connector: EndpointConnector,
        topology: Topology,
        timers: TimerService,
        random_source: random.Random,
        events: EventLog,
    ) -> None:
        self._name = name
        self._connector = connector
        self._topology = topology
        self._timers = timers
        self._random = random_source
        self._events = events
        self._members: dict[str, _Member] = {}
        self._tracker = PrimaryTracker()
        self._samples = PositionSamples()
        self._is_proving = False
        self._next_proof: Promise[Position | None] | None = None
        self._changed: Promise[None] = Promise()
        self._failed_proofs_since_ms: float | None = None
        self._suspect: str | None = None
        self._is_sharing_turns = False

    @property
    def name(self) -> str:
        """The group's name."""
        return self._name

    @property
    def samples(self) -> PositionSamples:
        """Positions that a leader was at."""
        return self._samples

    @property
    def connections(self) -> int:
        """How many connections to its endpoints this host holds."""
        return sum(member.pool.size for member in self._members.values())

    def changed(self) -> Promise[None]:
        """Return a promise that is resolved at the next change of endpoints."""
        return self._changed

    def suspicion(self) -> tuple[str, float] | None:
        """Return the leader that does not answer, and for how long, in ms."""
        if self._suspect is None or self._failed_proofs_since_ms is None:
            return None
        return self._suspect, self._timers.now_ms() - self._failed_proofs_since_ms

    def update(
        self,
        endpoints: Iterable[Announcement],
        share_of: Callable[[str], ConnectionShare],
    ) -> None:
        """Take the newest announcements, and this host's share of each endpoint."""
        now_ms = self._timers.now_ms()
        listed = {endpoint.endpoint: endpoint for endpoint in endpoints}
        for endpoint in listed.values():
            share = share_of(endpoint.endpoint)
            self._is_sharing_turns = share.is_scarce
            self._update_member(endpoint, share, now_ms)
        for name, member in list(self._members.items()):
            if name in listed:
                member.unlisted_since_ms = None
            elif member.unlisted_since_ms is None:
                member.unlisted_since_ms = now_ms
            elif now_ms - member.unlisted_since_ms > UNLISTED_KEPT_MS:
                self._remove(name)
        self._tracker.update(member.pool.endpoint for member in self._members.values())
        self._notify()

    def depart(self, endpoint: str, incarnation: int) -> None:
        """Stop to use an endpoint that is gone."""
        member = self._members.get(endpoint)
        if member is not None and member.pool.endpoint.incarnation <= incarnation:
            self._remove(endpoint)
            self._tracker.update(m.pool.endpoint for m in self._members.values())

    def open_ahead(self) -> None:
        """Open a connection to each endpoint, so that any may become the leader."""
        for member in self._members.values():
            member.pool.open_ahead()

    def trim(self) -> None:
        """Close connections that are not needed any more; called regularly."""
        for member in self._members.values():
            member.pool.trim()

    def close(self) -> None:
        """Close all connections."""
        for name in list(self._members):
            self._remove(name)

    # Reads

    def covering_position(self, max_staleness_ms: float) -> Position | None:
        """Return a position no staler than the bound, and refresh it in time."""
        now_ms = self._timers.now_ms()
        newest = self._samples.newest
        refresh_ms = max(max_staleness_ms / 2, max_staleness_ms - PROOF_TIMEOUT_MS)
        if not self._is_sharing_turns:
            refresh_ms = min(REFRESH_MS, refresh_ms)
        if newest is None or now_ms - newest[0] > refresh_ms:
            if not self._is_proving:
                self.prove()
        return self._samples.covering(now_ms - max_staleness_ms)

    def choose(
        self, required: Position, excluded: frozenset[str]
    ) -> EndpointPool | None:
        """Return the pool that should serve a read; None when there is none."""
        primary = self.primary()
        primary_name = primary.endpoint.endpoint if primary else None
        now_ms = self._timers.now_ms()
        views = [
            EndpointView(
                name,
                self._topology.round_trip_ms(member.pool.endpoint.failure_domain),
                self._topology.detour_ms(member.pool.endpoint.failure_domain),
                member.pool.service_ms,
                member.pool.in_use,
                member.pool.has_free_slot,
                member.position,
                member.lag.lag_ms(now_ms),
                name == primary_name,
            )
            for name, member in self._members.items()
            if name not in excluded
            and member.pool.is_usable
            and (member.draining_since_ms is None or name == primary_name)
            and self._accepts_work(member, now_ms)
        ]
        age_ms = self._samples.age_ms(required, now_ms)
        chosen = choose_endpoint(
            views, RequiredPosition(required, age_ms), self._random
        )
        return self._members[chosen.name].pool if chosen else None

    # The leader

    def primary(self) -> EndpointPool | None:
        """Return the pool of the endpoint that leads, as far as is known."""
        now_ms = self._timers.now_ms()
        accepting = [
            self._members[name].pool
            for name in self._tracker.ranked(now_ms)
            if name in self._members and self._accepts_work(self._members[name], now_ms)
        ]
        usable = [pool for pool in accepting if pool.is_usable]
        return usable[0] if usable else None

    def refute(self, endpoint: str) -> None:
        """Record that an endpoint says that it does not lead."""
        self._tracker.refute(endpoint, self._timers.now_ms())

    def note_commit(self, endpoint: str, asked_ms: float, position: Position) -> None:
        """Record a commit, which proves as much as a transaction opened."""
        self._accept_proof(endpoint, asked_ms, position)

    def note_reply(
        self, pool: EndpointPool, asked_ms: float, reply: EndpointReply
    ) -> None:
        """Record an answer: its duration and the endpoint's position."""
        now_ms = self._timers.now_ms()
        failing_ms = pool.failing_ms
        round_trip_ms = self._topology.round_trip_ms(pool.endpoint.failure_domain)
        if reply.is_success:
            pool.note_success(max(0.0, now_ms - asked_ms - round_trip_ms))
        if failing_ms > 0.0 and reply.is_success:
            self._events.record(
                EndpointRegained(pool.endpoint.endpoint, self._name, failing_ms)
            )
        member = self._members.get(pool.endpoint.endpoint)
        if member is not None and reply.position is not None:
            self._note_position(member, reply.position, now_ms)

    def _note_position(
        self, member: _Member, position: Position, now_ms: float
    ) -> None:
        """Take where an endpoint's log stands, and how late that is."""
        member.position = position
        missing_ms = self._samples.missing_age_ms(position, now_ms)
        if missing_ms is not None:
            member.lag.note_missing(missing_ms, now_ms)
        else:
            member.lag.note_present(self._samples.age_ms(position, now_ms), now_ms)

    def note_missed_answer(self, pool: EndpointPool, asked_ms: float) -> None:
        """Record that a statement got no answer, in time or at all.

        A single answer goes missing while the endpoint is well. Whether a leader
        still answers is asked at once, since that decides over its replacement.
        """
        pool.note_missed_answer(self._timers.now_ms() - asked_ms)
        if pool is self.primary() and not self._is_proving:
            self.prove()

    def _note_refused(
        self, endpoint: str, failure: ConnectFailed, waited_ms: float
    ) -> None:
        self._events.record(
            ConnectionRefused(endpoint, self._name, failure.reason, waited_ms)
        )

    def _note_loss(self, pool: EndpointPool, reason: str) -> None:
        if pool.failing_ms == 0.0:
            self._events.record(
                EndpointLost(pool.endpoint.endpoint, self._name, reason)
            )
        pool.note_failure()

    def prove(self) -> Promise[Position | None]:
        """Return a position that covers all commits acknowledged before now.

        Questions that come while one is under way share the next one.
        """
        if self._next_proof is None:
            self._next_proof = Promise()
        promise = self._next_proof
        if not self._is_proving:
            spawn(self._run_proofs())
        return promise

    def check_leader(self) -> None:
        """Prove the leader, where hosts take turns only if that opens no connection.

        All of them asking at once would leave none to those that have work.
        """
        pool = self.primary()
        if pool is None or self._is_proving:
            return
        if pool.open_connections or not self._is_sharing_turns:
            self.prove()

    async def _run_proofs(self) -> None:
        self._is_proving = True
        while self._next_proof is not None:
            promise, self._next_proof = self._next_proof, None
            promise.resolve(await self._prove_once())
        self._is_proving = False

    async def _prove_once(self) -> Position | None:
        pool = self.primary()
        if pool is None:
            return None
        endpoint = pool.endpoint.endpoint
        wait_ms = PROOF_TIMEOUT_MS if pool.open_connections else CONNECT_LIMIT_MS
        granted = await pool.acquire(PROOF_PRIORITY, SessionProfile(), wait_ms)
        if isinstance(granted, Err):
            if granted.err_value.error is None and not pool.open_connections:
                self._note_failed_proof(endpoint)
            return None
        session = granted.ok_value
        asked_ms = self._timers.now_ms()
        opened = session.send(OpenTransaction())
        # Sent along, so that a proof is one packet each way: an endpoint that opened no
        # transaction answers this as well.
        ended = session.send(DropTransaction())
        outcome = await within(self._timers, opened, PROOF_TIMEOUT_MS)
        if isinstance(outcome, Err) or isinstance(outcome.ok_value, Err):
            session.close()
            pool.release(session)
            self._note_failed_proof(endpoint)
            self._note_loss(pool, "it did not answer a proof of leadership")
            return None
        spawn(self._end_proof(pool, session, ended))
        reply = outcome.ok_value.ok_value
        if reply.error is EndpointError.NOT_PRIMARY:
            self.refute(endpoint)
        if not reply.is_success or reply.position is None:
            return None
        self._accept_proof(endpoint, asked_ms, reply.position)
        member = self._members.get(endpoint)
        if member is not None:
            member.position = reply.position
        return reply.position

    async def _end_proof(
        self, pool: EndpointPool, session: PooledSession, ended: CommandPromise
    ) -> None:
        """Give the connection back once its transaction is rolled back."""
        outcome = await within(self._timers, ended, PROOF_TIMEOUT_MS)
        if isinstance(outcome, Err):
            session.close()
        pool.release(session)

    def _accept_proof(self, endpoint: str, asked_ms: float, position: Position) -> None:
        self._samples.add(asked_ms, position, self._timers.now_ms())
        if self._tracker.prove(endpoint, position):
            self._events.record(PrimaryProven(endpoint, self._name, str(position)))
            self._notify()
        self._failed_proofs_since_ms = None
        self._suspect = None

    def note_control_proof(self, asked_ms: float, position: Position) -> None:
        """Take a proof of control; this host's own judgement of the leader stays."""
        self._samples.add(asked_ms, position, self._timers.now_ms())

    def _note_failed_proof(self, endpoint: str) -> None:
        if self._suspect != endpoint:
            self._suspect = endpoint
            self._failed_proofs_since_ms = self._timers.now_ms()

    # Endpoints

    def _update_member(
        self, endpoint: Announcement, share: ConnectionShare, now_ms: float
    ) -> None:
        member = self._members.get(endpoint.endpoint)
        if member is not None:
            before = member.pool.endpoint
            if endpoint.order < before.order:
                return
            is_same = endpoint.incarnation == before.incarnation
            if not is_same or endpoint.address != before.address:
                self._remove(endpoint.endpoint)
                member = None
        if member is None:
            pool = EndpointPool(
                endpoint,
                self._connector,
                self._timers,
                share,
                self._random,
                partial(self._note_refused, endpoint.endpoint),
            )
            member = _Member(pool)
            self._members[endpoint.endpoint] = member
        member.pool.update(endpoint, share)
        if not endpoint.is_draining:
            member.draining_since_ms = None
        elif member.draining_since_ms is None:
            member.draining_since_ms = now_ms

    def _accepts_work(self, member: _Member, now_ms: float) -> bool:
        since_ms = member.draining_since_ms
        return since_ms is None or now_ms - since_ms < DRAINING_USE_MS

    def _remove(self, name: str) -> None:
        member = self._members.pop(name, None)
        if member is not None:
            member.pool.close()

    def _pool(self, endpoint: str) -> EndpointPool | None:
        member = self._members.get(endpoint)
        return member.pool if member else None

    def _notify(self) -> None:
        changed, self._changed = self._changed, Promise()
        changed.resolve(None)
