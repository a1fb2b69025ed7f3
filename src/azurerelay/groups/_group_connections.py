"""One group of endpoints as one host uses it."""

import random
from collections.abc import Callable, Iterable
from functools import partial
from typing import Final

from result import Err, Ok, Result

from azurerelay.discovery import Announcement
from azurerelay.events import (
    ConnectionRefused,
    EndpointLost,
    EndpointRegained,
    EventLog,
    PrimaryProven,
    ProofDiscarded,
)
from azurerelay.groups._endpoint_placement import EndpointPlacement
from azurerelay.groups._group_member import GroupMember
from azurerelay.groups._primary_tracker import PrimaryTracker
from azurerelay.groups._suspected_primary import SuspectedPrimary
from azurerelay.groups._topology import Topology
from azurerelay.pooling import (
    ConnectionShare,
    EndpointPool,
    EvaluatedCandidate,
    PooledSession,
    PositionSamples,
    ReadCandidate,
    ReadPolicy,
    RequiredPosition,
    SessionProfile,
    choose_by_recent_answers,
    choose_endpoint,
    evaluate_candidates,
)
from azurerelay.statements import (
    BeginTransaction,
    ConnectFailed,
    ConnectionLost,
    EndpointConnector,
    EndpointError,
    EndpointReply,
    Position,
    ReplyPromise,
    RollbackTransaction,
)
from azurerelay.timing import Promise, TimerService, spawn, with_timeout

PROOF_TIMEOUT_MS: Final = 400.0  # about 16 round trips between regions
# While reads need positions, a new one is requested once the newest is this old. Routes
# with a small staleness bound request it earlier, so that a proof may take its whole
# time-out before the position is too old. Not applied while connections are scarce.
POSITION_REFRESH_MS: Final = 1_000.0
# How long a proof waits for a connection if none is open yet.
PROOF_CONNECT_TIMEOUT_MS: Final = 1_000.0
# How long an endpoint is kept after control has stopped listing it.
UNLISTED_RETENTION_MS: Final = 20_000.0
# After a loss of power endpoints count the connections of the dead for three more
# seconds. All hosts are crowded out then, and connections are about to come free.
SETTLING_MS: Final = 3_500.0
# What a new connection takes of an endpoint's slot: between half of a typical statement
# and twice one. Endpoints do not state it.
CONNECT_WORK_MS: Final = 12.0
# Answers that count against an endpoint where load is estimated. With the last one the
# endpoint says that its queue is full.
FAILURES: Final = frozenset(
    {EndpointError.FAILED, EndpointError.TIMED_OUT, EndpointError.BUSY}
)
PROOF_PRIORITY: Final = -1  # before all callers
DRAINING: Final = "draining"
UNREACHED: Final = "lost, and no connection is open"
NO_CLAIM: Final = "it does not claim to be the primary, or has just denied it"
OTHER_CLAIM: Final = "another endpoint is more likely the primary"


class GroupConnections:
    """The connections, log positions and primary of a group.

    The positions that reads require come from leadership proofs. For a proof, this host
    opens a read-write transaction, which an endpoint refuses once it is no longer the
    primary. The position in the reply covers every commit acknowledged before the
    request, so any endpoint whose log has that position may serve the read. This
    needs no lease, so a promotion need not wait for one to expire.
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
        self._members: dict[str, GroupMember] = {}
        self._removed_pools: list[EndpointPool] = []
        self._tracker = PrimaryTracker()
        self._samples = PositionSamples()
        self._created_ms = timers.now_ms()
        self._is_proving = False
        self._next_proof: Promise[Position | None] | None = None
        self._next_proof_customer = ""
        self._changed: Promise[None] = Promise()
        self._failed_proofs_since_ms: float | None = None
        self._suspect: str | None = None
        self._is_suspect_certain = False
        self._are_connections_scarce = False
        self._is_aborted = False

    @property
    def name(self) -> str:
        """The name of the group."""
        return self._name

    @property
    def samples(self) -> PositionSamples:
        """The positions that primaries have proven."""
        return self._samples

    @property
    def are_connections_scarce(self) -> bool:
        """Whether an endpoint takes fewer connections than there are hosts."""
        return self._are_connections_scarce

    @property
    def connection_count(self) -> int:
        """The number of connections to the group that are open or being opened."""
        pools = [member.pool for member in self._members.values()]
        return sum(pool.size for pool in (*pools, *self._removed_pools))

    def next_change(self) -> Promise[None]:
        """Return a promise that is resolved at the next change of the group.

        A change is an update of its endpoints, or a new proven primary.
        """
        return self._changed

    def suspected_primary(self) -> SuspectedPrimary | None:
        """Return the primary that fails its proofs.

        None if no proof has failed since it last answered.
        """
        if self._suspect is None or self._failed_proofs_since_ms is None:
            return None
        silent_ms = self._timers.now_ms() - self._failed_proofs_since_ms
        return SuspectedPrimary(self._suspect, silent_ms, self._is_suspect_certain)

    def update(
        self,
        endpoints: Iterable[Announcement],
        share_of: Callable[[Announcement], ConnectionShare],
        draining_since_of: Callable[[str], float | None] = lambda _: None,
    ) -> None:
        """Apply the newest announcements and this host's connection shares.

        `share_of` returns the share of an endpoint, `draining_since_of` since when a
        draining one has been known to drain, in monotonic milliseconds; without a time
        it drains from now on. Endpoints that are no longer listed are removed after
        `UNLISTED_RETENTION_MS`.
        """
        now_ms = self._timers.now_ms()
        listed = {endpoint.endpoint: endpoint for endpoint in endpoints}
        shares = {name: share_of(endpoint) for name, endpoint in listed.items()}
        previous = {name: member.pool for name, member in self._members.items()}
        self._are_connections_scarce = any(s.is_scarce for s in shares.values())
        for name, endpoint in listed.items():
            since_ms = draining_since_of(name)
            self._update_member(
                endpoint, shares[name], now_ms if since_ms is None else since_ms
            )
        for name, member in list(self._members.items()):
            if name in listed:
                member.unlisted_since_ms = None
            elif member.unlisted_since_ms is None:
                member.unlisted_since_ms = now_ms
            elif now_ms - member.unlisted_since_ms > UNLISTED_RETENTION_MS:
                self._remove(name)
        for name, member in self._members.items():
            has_joined = bool(previous) and previous.get(name) is not member.pool
            member.pool.estimate_load(self._are_connections_scarce, has_joined)
        self._tracker.update(member.pool.endpoint for member in self._members.values())
        self._notify()

    def remove_departed(self, endpoint: str, incarnation: int) -> None:
        """Remove an endpoint that has departed, unless it has restarted since."""
        member = self._members.get(endpoint)
        if member is not None and member.pool.endpoint.incarnation <= incarnation:
            self._remove(endpoint)
            self._tracker.update(m.pool.endpoint for m in self._members.values())

    def open_standby_connections(self) -> None:
        """Connect to each endpoint without a connection, as any may become primary."""
        for member in self._members.values():
            member.pool.open_standby_connection()

    def close_idle_connections(self) -> None:
        """Close connections that have been idle for too long; called periodically."""
        for member in self._members.values():
            member.pool.trim()

    def refuse_callers(self, reason: str) -> None:
        """Fail all requests of callers that wait for a connection; proofs go on."""
        for member in list(self._members.values()):
            member.pool.refuse_callers(ConnectFailed(reason))
        self._notify()

    def abort(self) -> None:
        """Close all connections at once, without waiting for answers.

        Endpoints that have been removed may still run statements.
        """
        self._is_aborted = True
        self.close()
        for pool in tuple(self._removed_pools):
            pool.abort()

    def close(self) -> None:
        """Close all connections."""
        for name in list(self._members):
            self._remove(name)

    # Reads

    def covering_position(
        self, max_staleness_ms: float, customer: str = ""
    ) -> Position | None:
        """Return a position that covers all commits older than the bound.

        None if no such position is known. Starts a proof in time to replace a
        position that is about to become too old.
        """
        now_ms = self._timers.now_ms()
        newest = self._samples.newest
        refresh_ms = max(max_staleness_ms / 2, max_staleness_ms - PROOF_TIMEOUT_MS)
        if not self._are_connections_scarce:
            refresh_ms = min(POSITION_REFRESH_MS, refresh_ms)
        if newest is None or now_ms - newest[0] > refresh_ms:
            if not self._is_proving:
                self.prove_primary(customer)
        return self._samples.covering(now_ms - max_staleness_ms)

    def choose_for_read(
        self, required: Position, excluded: frozenset[str], customer: str = ""
    ) -> EndpointPool | None:
        """Return the pool of the endpoint that should serve a read, None if none can.

        `required` is the position that its log must have, and `excluded` the names of
        endpoints to leave out. Lost endpoints are tried again in the background while
        another one can serve the read. Where there are more hosts than connections, the
        choice is by recent answers: each host then knows little of an endpoint.
        """
        primary_name = self._primary_name
        readable, unreached = self._readable_members(excluded, customer, primary_name)
        for member in unreached.values():
            member.pool.open_standby_connection()
        candidates = [
            self._read_candidate(name, member, customer, name == primary_name)
            for name, member in readable.items()
        ]
        age_ms = self._samples.age_ms(required, self._timers.now_ms())
        chosen = self._read_policy(
            candidates, RequiredPosition(required, age_ms), self._random
        )
        return self._members[chosen.name].pool if chosen else None

    def explain_read(
        self, required: Position | None, customer: str = ""
    ) -> tuple[EndpointPlacement, ...]:
        """Return how `choose_for_read` would see each endpoint now; changes nothing.

        Without a required position no costs and no shares are known.
        """
        now_ms = self._timers.now_ms()
        primary_name = self._primary_name
        readable, unreached = self._readable_members(
            frozenset(), customer, primary_name
        )
        candidates = [
            self._read_candidate(name, member, customer, name == primary_name)
            for name, member in readable.items()
        ]
        evaluated: dict[str, EvaluatedCandidate] = {}
        if required is not None:
            age_ms = self._samples.age_ms(required, now_ms)
            needed = RequiredPosition(required, age_ms)
            evaluated = {
                option.candidate.name: option
                for option in evaluate_candidates(candidates, needed, self._read_policy)
            }
        return tuple(
            self._placement(
                member,
                customer,
                evaluated.get(name)
                or EvaluatedCandidate(
                    self._read_candidate(name, member, customer, name == primary_name),
                    (
                        UNREACHED
                        if name in unreached
                        else self._read_exclusion(name, member, customer, primary_name)
                    ),
                ),
            )
            for name, member in self._members.items()
        )

    @property
    def _read_policy(self) -> ReadPolicy:
        if self._are_connections_scarce:
            return choose_by_recent_answers
        return choose_endpoint

    def _readable_members(
        self, excluded: frozenset[str], customer: str, primary_name: str | None
    ) -> tuple[dict[str, GroupMember], dict[str, GroupMember]]:
        """Return the members to choose from, and the lost ones that they replace."""
        usable = {
            name: member
            for name, member in self._members.items()
            if name not in excluded
            and not self._read_exclusion(name, member, customer, primary_name)
        }
        reached = {n: m for n, m in usable.items() if not m.pool.is_unreached}
        if not reached:
            return usable, {}
        return reached, {n: m for n, m in usable.items() if n not in reached}

    def _read_exclusion(
        self, name: str, member: GroupMember, customer: str, primary_name: str | None
    ) -> str:
        """Return why an endpoint gets no read now; empty if it may get one."""
        if obstacle := member.pool.obstacle_for(customer):
            return obstacle
        is_draining = member.draining_since_ms is not None and name != primary_name
        if is_draining or not member.accepts_work(self._timers.now_ms()):
            return DRAINING
        return ""

    def _placement(
        self, member: GroupMember, customer: str, evaluation: EvaluatedCandidate
    ) -> EndpointPlacement:
        position_age_ms = None
        if member.position_ms is not None:
            position_age_ms = self._timers.now_ms() - member.position_ms
        return EndpointPlacement(
            evaluation,
            member.pool.outcome_age_ms,
            position_age_ms,
            self.is_crowded(customer, evaluation.candidate.name),
        )

    def _read_candidate(
        self, name: str, member: GroupMember, customer: str, is_primary: bool
    ) -> ReadCandidate:
        domain = member.pool.endpoint.failure_domain
        connect_ms = self._connect_ms(member, customer)
        return ReadCandidate(
            name,
            self._topology.round_trip_ms(domain),
            self._topology.cross_region_penalty_ms(domain),
            member.pool.service_ms + connect_ms,
            member.pool.pending_statements,
            member.pool.has_free_slot(customer),
            member.position,
            member.lag.lag_ms(self._timers.now_ms()),
            is_primary,
            member.pool.load,
            connect_ms,
        )

    def _connect_ms(self, member: GroupMember, customer: str) -> float:
        """Return what opening a connection adds to a statement of a customer.

        0 for callers without a customer, whose connections are kept open.
        """
        if not customer or member.pool.has_idle_connection(customer):
            return 0.0
        domain = member.pool.endpoint.failure_domain
        return CONNECT_WORK_MS + self._topology.round_trip_ms(domain)

    def is_crowded(self, customer: str = "", endpoint: str | None = None) -> bool:
        """Return whether other hosts hold the connections that this host needs.

        Without an endpoint, this is asked of the primary. False where every host can
        have a connection, where the endpoint is lost or there is no primary, and for
        `SETTLING_MS` after the start of this host.
        """
        age_ms = self._timers.now_ms() - self._created_ms
        if not self._are_connections_scarce or age_ms < SETTLING_MS:
            return False
        if endpoint is None:
            ranked = self._tracker.ranked(self._timers.now_ms())
            endpoint = ranked[0] if ranked else None
        pool = self._pool(endpoint) if endpoint is not None else None
        return pool is not None and pool.is_crowded(customer)

    # The primary

    def primary(self) -> EndpointPool | None:
        """Return the pool of the endpoint that is most likely the primary, or None.

        A lost endpoint is chosen only if all that claim to be the primary are lost. One
        that is no longer the primary says so, and the next claim is tried.
        """
        now_ms = self._timers.now_ms()
        usable = [
            self._members[name].pool
            for name in self._tracker.ranked(now_ms)
            if name in self._members
            and not self._primary_exclusion(self._members[name], now_ms)
        ]
        reached = [pool for pool in usable if not pool.is_unreached]
        return next(iter(reached or usable), None)

    @property
    def _primary_name(self) -> str | None:
        primary = self.primary()
        return primary.endpoint.endpoint if primary else None

    def _primary_exclusion(self, member: GroupMember, now_ms: float) -> str:
        """Return why an endpoint is not used as the primary; empty if it may be."""
        if not member.accepts_work(now_ms):
            return DRAINING
        return member.pool.obstacle

    def explain_primary(self, customer: str = "") -> tuple[EndpointPlacement, ...]:
        """Return how `primary` would see each endpoint now; changes nothing."""
        now_ms = self._timers.now_ms()
        ranked = self._tracker.ranked(now_ms)
        primary_name = self._primary_name
        placements = []
        for name, member in self._members.items():
            is_primary = name == primary_name
            exclusion = "" if is_primary else NO_CLAIM
            if name in ranked and not is_primary:
                exclusion = self._primary_exclusion(member, now_ms) or (
                    UNREACHED if member.pool.is_unreached else OTHER_CLAIM
                )
            candidate = self._read_candidate(name, member, customer, is_primary)
            share = 1.0 if is_primary else 0.0
            evaluation = EvaluatedCandidate(candidate, exclusion, share=share)
            placements.append(self._placement(member, customer, evaluation))
        return tuple(placements)

    def record_not_primary(self, endpoint: str) -> None:
        """Record that an endpoint says that it is not the primary."""
        self._tracker.record_not_primary(endpoint, self._timers.now_ms())

    def record_write_proof(
        self, endpoint: str, sent_ms: float, position: Position
    ) -> None:
        """Record a write, a commit or a read-write BEGIN as a leadership proof."""
        self._record_proof(endpoint, sent_ms, position)

    def record_reply(
        self, pool: EndpointPool, sent_ms: float, reply: EndpointReply
    ) -> None:
        """Record the position in a reply, and its duration or that it is a failure."""
        now_ms = self._timers.now_ms()
        failing_ms = pool.failing_ms
        round_trip_ms = self._topology.round_trip_ms(pool.endpoint.failure_domain)
        if reply.is_success:
            pool.record_answer(max(0.0, now_ms - sent_ms - round_trip_ms))
        elif reply.error in FAILURES:
            pool.record_failed_answer()
        if failing_ms > 0.0 and reply.is_success:
            self._events.record(
                EndpointRegained(pool.endpoint.endpoint, self._name, failing_ms)
            )
        member = self._members.get(pool.endpoint.endpoint)
        if member is not None and reply.position is not None:
            self._record_position(member, reply.position, now_ms)

    def _record_position(
        self, member: GroupMember, position: Position, now_ms: float
    ) -> None:
        """Record the log position of an endpoint, and update its estimated lag."""
        member.position = position
        member.position_ms = now_ms
        missing_ms = self._samples.first_missing_age_ms(position, now_ms)
        if missing_ms is not None:
            member.lag.record_missing_commit(missing_ms, now_ms)
        else:
            member.lag.record_applied_commit(
                self._samples.age_ms(position, now_ms), now_ms
            )

    def record_missed_answer(self, pool: EndpointPool, sent_ms: float) -> None:
        """Record that a statement got no answer in time, or none at all.

        A healthy endpoint may lose a single answer. The primary is asked for a proof
        at once, since a primary that fails proofs is reported for replacement.
        """
        pool.record_missed_answer(self._timers.now_ms() - sent_ms)
        if pool is self.primary() and not self._is_proving:
            self.prove_primary()

    def _record_refused_connection(
        self, endpoint: str, failure: ConnectFailed, waited_ms: float
    ) -> None:
        self._events.record(
            ConnectionRefused(endpoint, self._name, failure.reason, waited_ms)
        )
        # While callers ask for connections, the pool is hardly ever usable for a proof.
        pool = self._pool(endpoint)
        is_primary = self._tracker.ranked(self._timers.now_ms())[:1] == (endpoint,)
        if failure.is_unreachable and is_primary and pool is not None:
            self._record_missing_connection(pool, failure)

    def _record_endpoint_loss(self, pool: EndpointPool, reason: str) -> None:
        if pool.failing_ms == 0.0:
            self._events.record(
                EndpointLost(pool.endpoint.endpoint, self._name, reason)
            )
        pool.mark_lost()

    def prove_primary(self, customer: str = "") -> Promise[Position | None]:
        """Prove the primary; return a position that covers all acknowledged commits.

        The position covers the commits acknowledged before this call; it is None if
        the proof fails. Calls during a running proof share the next one. A proof runs
        on any connection; one that has to be opened is opened for `customer`, so that a
        read of that customer can use it afterwards.
        """
        if self._next_proof is None:
            self._next_proof = Promise()
            self._next_proof_customer = customer
        promise = self._next_proof
        if not self._is_proving:
            spawn(self._run_proofs())
        return promise

    def check_primary(self) -> None:
        """Start a proof of the primary, unless one is running.

        If the endpoints allow fewer connections than there are hosts, a proof is only
        started over an open connection: hosts that all connected for a proof at once
        would leave no connection to those that have statements to run.
        """
        pool = self.primary()
        if pool is None or self._is_proving:
            return
        if pool.open_connection_count or not self._are_connections_scarce:
            self.prove_primary()

    async def _run_proofs(self) -> None:
        self._is_proving = True
        try:
            while self._next_proof is not None:
                promise, self._next_proof = self._next_proof, None
                try:
                    await self._prove_once(promise, self._next_proof_customer)
                finally:
                    promise.resolve(None)  # after an unexpected error
        finally:
            # The next call starts a proof again, also after an unexpected error.
            self._is_proving = False

    async def _prove_once(self, proof: Promise[Position | None], customer: str) -> None:
        """Ask the primary for a proof; resolve `proof` with its position, or None."""
        pool = self.primary()
        if pool is None:
            proof.resolve(None)
            return
        endpoint = pool.endpoint.endpoint
        wait_ms = (
            PROOF_TIMEOUT_MS if pool.open_connection_count else PROOF_CONNECT_TIMEOUT_MS
        )
        granted = await pool.acquire(
            PROOF_PRIORITY,
            SessionProfile(),
            wait_ms,
            customer,
            accepts_any_customer=True,
        )
        if isinstance(granted, Err):
            self._record_missing_connection(pool, granted.err_value)
            proof.resolve(None)
            return
        session = granted.ok_value
        sent_ms = self._timers.now_ms()
        begin_reply = session.send(BeginTransaction())
        # Sent without waiting, so that a proof takes one packet each way. An endpoint
        # that opened no transaction answers this command, too.
        rollback_reply = session.send(RollbackTransaction())
        begun = await self._wait_for_reply(begin_reply)
        if isinstance(begun, Err):
            session.close()
            pool.release(session)
            self._record_missing_reply(pool, begun.err_value)
            proof.resolve(None)
            return
        reply = begun.ok_value
        if not reply.is_success or reply.position is None:
            if reply.error is EndpointError.NOT_PRIMARY:
                self.record_not_primary(endpoint)
            proof.resolve(None)
            spawn(self._release_after_rollback(pool, session, rollback_reply))
            return
        # A copy of an earlier reply to BEGIN is followed by another reply to BEGIN.
        position = None
        if await self._wait_for_rollback(session, rollback_reply):
            position = reply.position
            self._record_proof(endpoint, sent_ms, position)
            member = self._members.get(endpoint)
            if member is not None:
                member.position = position
                member.position_ms = self._timers.now_ms()
        if session.customer:
            # A read of the customer that waited for the proof can use the connection;
            # at another endpoint, it would probably have to open one.
            pool.release(session)
            proof.resolve(position)
            return
        # Reads that waited for the proof choose their endpoints while the connection
        # still counts as in use, so that they do not all prefer the primary.
        proof.resolve(position)
        pool.release(session)

    def _record_missing_connection(
        self, pool: EndpointPool, failure: ConnectFailed
    ) -> None:
        if self._is_aborted:
            return
        endpoint = pool.endpoint.endpoint
        if failure.is_at_limit:
            self._clear_suspicion(endpoint)
        elif not pool.open_connection_count:
            # Another endpoint may answer at the address of one that is gone.
            is_certain = failure.is_unreachable or failure.error is not None
            self._record_failed_proof(endpoint, is_certain)

    def _record_missing_reply(self, pool: EndpointPool, lost: ConnectionLost) -> None:
        if self._is_aborted:
            return
        endpoint = pool.endpoint.endpoint
        if lost.is_mismatch:
            self._events.record(ProofDiscarded(endpoint, self._name, lost.reason))
            return
        self._record_failed_proof(endpoint, True)
        self._record_endpoint_loss(
            pool, "no answer to a request for a leadership proof"
        )

    async def _release_after_rollback(
        self, pool: EndpointPool, session: PooledSession, rollback_reply: ReplyPromise
    ) -> None:
        await self._wait_for_rollback(session, rollback_reply)
        pool.release(session)

    async def _wait_for_rollback(
        self, session: PooledSession, rollback_reply: ReplyPromise
    ) -> bool:
        """Return whether the transaction of a proof is rolled back.

        A connection without a reply to the rollback is closed: the reply to the BEGIN
        may then belong to another command.
        """
        rolled_back = await self._wait_for_reply(rollback_reply)
        if isinstance(rolled_back, Ok):
            return True
        session.close()
        if not self._is_aborted:
            reason = rolled_back.err_value.reason
            self._events.record(ProofDiscarded(session.endpoint, self._name, reason))
        return False

    async def _wait_for_reply(
        self, reply: ReplyPromise
    ) -> Result[EndpointReply, ConnectionLost]:
        outcome = await with_timeout(self._timers, reply, PROOF_TIMEOUT_MS)
        if isinstance(outcome, Err):
            return Err(ConnectionLost("no reply in time"))
        return outcome.ok_value

    def _record_proof(self, endpoint: str, sent_ms: float, position: Position) -> None:
        self._samples.add(sent_ms, position, self._timers.now_ms())
        if self._tracker.record_proof(endpoint, position):
            self._events.record(PrimaryProven(endpoint, self._name, str(position)))
            self._notify()
        self._clear_suspicion()

    def record_control_proof(self, sent_ms: float, position: Position) -> None:
        """Record a proof that control has passed on.

        It adds a position only: which endpoint this host takes for the primary, and
        whether it suspects it, stay as they are.
        """
        self._samples.add(sent_ms, position, self._timers.now_ms())

    def _record_failed_proof(self, endpoint: str, is_certain: bool) -> None:
        if self._suspect != endpoint:
            self._suspect = endpoint
            self._is_suspect_certain = False
            self._failed_proofs_since_ms = self._timers.now_ms()
        self._is_suspect_certain = self._is_suspect_certain or is_certain

    def _clear_suspicion(self, endpoint: str | None = None) -> None:
        """End the suspicion of an endpoint, or of any without an argument."""
        if endpoint is None or endpoint == self._suspect:
            self._failed_proofs_since_ms = None
            self._suspect = None

    # Endpoints

    def _update_member(
        self,
        endpoint: Announcement,
        share: ConnectionShare,
        draining_since_ms: float,
    ) -> None:
        member = self._members.get(endpoint.endpoint)
        if member is not None:
            previous = member.pool.endpoint
            if endpoint.recency < previous.recency:
                return
            is_same_incarnation = endpoint.incarnation == previous.incarnation
            if not is_same_incarnation or endpoint.address != previous.address:
                self._remove(endpoint.endpoint)
                member = None
        if member is None:
            pool = EndpointPool(
                endpoint,
                self._connector,
                self._timers,
                share,
                self._random,
                partial(self._record_refused_connection, endpoint.endpoint),
            )
            member = GroupMember(pool)
            self._members[endpoint.endpoint] = member
        member.pool.update(endpoint, share)
        if not endpoint.is_draining:
            member.draining_since_ms = None
        else:
            member.drain(draining_since_ms, self._timers)

    def _remove(self, name: str) -> None:
        member = self._members.pop(name, None)
        if member is not None:
            self._removed_pools = [p for p in self._removed_pools if p.size]
            self._removed_pools.append(member.pool)
            member.pool.close()

    def _pool(self, endpoint: str) -> EndpointPool | None:
        member = self._members.get(endpoint)
        return member.pool if member else None

    def _notify(self) -> None:
        changed, self._changed = self._changed, Promise()
        changed.resolve(None)
