"""Leader election and log replication."""

import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from enum import Enum
from typing import Any, Final

from result import Err, Ok, Result

from azurerelay.consensus._follower_progress import FollowerProgress
from azurerelay.consensus._followers import Followers
from azurerelay.consensus._journal import Journal, JournalState
from azurerelay.consensus._log import Log
from azurerelay.consensus._messages import (
    AppendReply,
    AppendRequest,
    Entry,
    FreshnessProbe,
    FreshnessReply,
    HardState,
    LearnerPromotion,
    SnapshotChunk,
    SnapshotMark,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from azurerelay.consensus._peer import Peer
from azurerelay.consensus._proposal_unconfirmed import ProposalUnconfirmed
from azurerelay.consensus._raft_config import RaftConfig
from azurerelay.consensus._state_machine import StateMachine
from azurerelay.messages import Link
from azurerelay.storage import DiskError
from azurerelay.timing import Promise, Timer, TimerService, spawn

DISK_RETRY_MS: Final = 1000.0
FRESHNESS_RETRY_MS: Final = 100.0


class Role(Enum):
    """Raft role of a node."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftNode:
    """One member of the Raft group: takes part in elections and replicates the log.

    Votes, terms and entries are synced to disk before a reply depends on them. After
    a disk error the node steps down and ignores all messages until it can rewrite
    its state.
    """

    def __init__(
        self,
        name: str,
        voters: Iterable[str],
        link: Link,
        timers: TimerService,
        random_source: random.Random,
        journal: Journal,
        state: JournalState,
        machine: StateMachine,
        config: RaftConfig | None = None,
    ) -> None:
        self._name = name
        self._initial_voters = tuple(sorted(voters))
        self._followers = Followers(name, self._initial_voters)
        self._voters_index = 0
        self._link = link
        self._timers = timers
        self._random = random_source
        self._journal = journal
        self._state_machine = machine
        self._config = config or RaftConfig()
        self._term = state.hard_state.term
        self._voted_for = state.hard_state.voted_for
        self._log: Log = state.log
        self._snapshot_mark = state.snapshot_mark
        self._snapshot_data = state.snapshot
        self._role = Role.FOLLOWER
        self._leader: str | None = None
        self._votes: set[str] = set()
        self._is_pre_vote = False
        self._commit_index = state.log.base_index
        self._applied_index = state.log.base_index
        self._durable_index = state.log.last_index
        # Number of the last broadcast, and of the last one that a quorum acknowledged.
        self._round = 0
        self._quorum_round = 0
        self._term_start_index = 0
        self._leader_contact_ms = float("-inf")
        # When this host last had applied all that its leader had committed.
        self._caught_up_ms = float("-inf")
        # Upper bound of the election timeout: doubles with each timeout after a start,
        # and no longer applies once there has been a leader.
        self._startup_election_max_ms = self._config.first_election_max_ms
        self._leading_since_ms = 0.0
        # By log index: the term of the proposal, and its promise.
        self._proposals: dict[
            int, tuple[int, Promise[Result[Any, ProposalUnconfirmed]]]
        ] = {}
        # The round that a quorum has to acknowledge, and the promise that waits for it.
        self._confirmations: list[tuple[int, Promise[bool]]] = []
        self._has_urgent_confirmation = False
        self._incoming_snapshot = bytearray()
        self._incoming_snapshot_mark: SnapshotMark | None = None
        self._election_timer: Timer | None = None
        self._is_flush_scheduled = False
        self._disk_error: str | None = None
        self._role_listeners: list[Callable[[], None]] = []
        self._elections_started = 0
        is_dynamic = self._config.has_dynamic_voters
        self._is_learner = not state.hard_state.is_voter and not is_dynamic
        self._fresh_peers: set[str] = set()
        self._refresh_voters()
        if self._snapshot_mark is not None:
            machine.restore(self._snapshot_data)

    @property
    def voters(self) -> frozenset[str]:
        """The voter set according to this host's log, including uncommitted changes."""
        return self._followers.voters

    @property
    def is_voter(self) -> bool:
        """Whether this host is in the voter set and not a learner."""
        return self._name in self._followers.voters and not self._is_learner

    @property
    def has_pending_voter_change(self) -> bool:
        """Whether the log holds a voter change not known to be committed."""
        return self._voters_index > self._commit_index

    @property
    def leader_silence_ms(self) -> float:
        """Time since the leader, or on the leader a quorum, was last in contact."""
        now_ms = self._timers.now_ms()
        if self.is_leader:
            return now_ms - self._followers.quorum_contact_ms(now_ms)
        return now_ms - self._leader_contact_ms

    @property
    def state_age_ms(self) -> float:
        """Time since this host is known to have applied all that was committed.

        A follower may hear its leader and still lack entries, and a new leader does not
        know all that was committed before an entry of its own term is. A commit counts
        from the moment at which the leader announces it.
        """
        if self.is_ready_leader:
            return self.leader_silence_ms
        return self._timers.now_ms() - self._caught_up_ms

    @property
    def role(self) -> Role:
        """The current Raft role."""
        return self._role

    @property
    def is_leader(self) -> bool:
        """Whether this host is the leader of its term, as far as it knows.

        A newer leader may exist; `confirm_leadership` rules that out.
        """
        return self._role is Role.LEADER

    @property
    def is_ready_leader(self) -> bool:
        """Whether this host is the leader and has applied an entry of its own term."""
        return self.is_leader and self._applied_index >= self._term_start_index

    @property
    def leader(self) -> str | None:
        """The leader of the current term, if known."""
        return self._leader

    @property
    def term(self) -> int:
        """The current term."""
        return self._term

    @property
    def commit_index(self) -> int:
        """The highest log index known to be committed."""
        return self._commit_index

    @property
    def applied_index(self) -> int:
        """The highest log index applied to the state machine."""
        return self._applied_index

    @property
    def leading_since_ms(self) -> float:
        """When this host last became leader, in monotonic milliseconds."""
        return self._leading_since_ms

    @property
    def log(self) -> Log:
        """The log; callers must not modify it."""
        return self._log

    @property
    def disk_error(self) -> str | None:
        """The error of the last failed write, or None if the disk is usable."""
        return self._disk_error

    @property
    def elections_started(self) -> int:
        """Number of elections this host has started, not counting pre-votes."""
        return self._elections_started

    @property
    def is_learner(self) -> bool:
        """Whether this host found an empty disk and may not vote yet.

        Always false with dynamic voters, where a host is a learner until it is in the
        voter set.
        """
        return self._is_learner

    def add_role_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for each gain or loss of leadership."""
        self._role_listeners.append(listener)

    def start(self) -> None:
        """Start the election and heartbeat timers.

        A learner starts to probe the other voters; a single voter starts an election.
        """
        self._reset_election_timer()
        self._timers.call_every(self._config.heartbeat_ms, self._on_heartbeat)
        if self._is_learner:
            self._probe_freshness()
        if not self._followers and self.is_voter:
            self._campaign(is_pre_vote=True)

    def propose(self, payload: bytes) -> Promise[Result[Any, ProposalUnconfirmed]]:
        """Append a command; the promise resolves to its result once it is applied."""
        if not self.is_leader:
            return Promise.of(Err(ProposalUnconfirmed(True, self._leader)))
        promise: Promise[Result[Any, ProposalUnconfirmed]] = Promise()
        index = self._append_as_leader(payload)
        self._proposals[index] = (self._term, promise)
        return promise

    def propose_voters(
        self, voters: Iterable[str]
    ) -> Promise[Result[Any, ProposalUnconfirmed]]:
        """Add or remove one voter; the promise resolves once the change is applied.

        Changes are limited to one voter, so that any majority of the old set and any
        majority of the new one share a voter. A change is refused while an earlier
        one is not committed, if it leaves the leader out, and before the leader has
        applied an entry of its own term (Ongaro's thesis, chapter 4).
        """
        new_voters = frozenset(voters)
        is_single_change = (
            len(new_voters ^ self.voters) == 1 and self._name in new_voters
        )
        if (
            not self.is_ready_leader
            or self.has_pending_voter_change
            or not is_single_change
        ):
            return Promise.of(Err(ProposalUnconfirmed(True, self._leader)))
        promise: Promise[Result[Any, ProposalUnconfirmed]] = Promise()
        index = self._append_as_leader(b"", tuple(sorted(new_voters)))
        self._proposals[index] = (self._term, promise)
        self._refresh_voters()
        return promise

    def add_learner(self, name: str) -> None:
        """Start replication to a host that asked to join; ignored unless leader."""
        if self.is_leader:
            next_index = self._log.last_index + 1
            self._followers.add_learner(name, next_index, self._timers.now_ms())

    def remove_learner(self, name: str) -> None:
        """Stop replication to a host; ignored if it is a voter."""
        self._followers.remove_learner(name)

    def followers(self) -> tuple[FollowerProgress, ...]:
        """Return the replication status of the other voters and of the learners."""
        now_ms = self._timers.now_ms()
        return tuple(
            FollowerProgress(
                name,
                name in self.voters,
                peer.match_index >= self._commit_index,
                now_ms - peer.last_contact_ms,
            )
            for name, peer in self._followers.items()
        )

    def confirm_leadership(self, is_urgent: bool = True) -> Promise[bool]:
        """Resolve to True once a quorum has acknowledged this leader after the call.

        Resolves to False if the leadership is lost first. A call that is not urgent
        starts no broadcast but waits for the next one, usually a heartbeat.
        """
        if not self.is_leader:
            return Promise.of(False)
        if self._followers.quorum == 1:
            return Promise.of(True)
        promise: Promise[bool] = Promise()
        self._confirmations.append((self._round + 1, promise))
        self._has_urgent_confirmation = self._has_urgent_confirmation or is_urgent
        if is_urgent and self._quorum_round == self._round:
            self._broadcast()
        return promise

    def on_message(self, sender: str, message: Any) -> None:
        """Handle a message of another member.

        Messages of unknown senders are ignored. With dynamic voters, requests for
        votes, appends and snapshots are the exception: the sender may be in a voter
        set that this host has not received yet.
        """
        is_known = sender in self._followers
        may_be_new = self._config.has_dynamic_voters and isinstance(
            message, (VoteRequest, AppendRequest, SnapshotChunk)
        )
        if not (is_known or may_be_new) or self._disk_error is not None:
            return
        try:
            self._dispatch(sender, message)
        except DiskError as error:
            self._on_disk_error(error)

    def _dispatch(self, sender: str, message: Any) -> None:
        if isinstance(message, VoteRequest):
            self._on_vote_request(sender, message)
        elif isinstance(message, VoteReply):
            self._on_vote_reply(sender, message)
        elif isinstance(message, AppendRequest):
            self._on_append_request(sender, message)
        elif isinstance(message, AppendReply):
            self._on_append_reply(sender, message)
        elif isinstance(message, SnapshotChunk):
            self._on_snapshot_chunk(sender, message)
        elif isinstance(message, SnapshotReply):
            self._on_snapshot_reply(sender, message)
        elif isinstance(message, FreshnessProbe):
            self._link.send(sender, FreshnessReply(self._is_fresh))
        elif isinstance(message, FreshnessReply):
            self._on_freshness_reply(sender, message)
        elif isinstance(message, LearnerPromotion):
            self._on_learner_promotion(sender, message)

    # First start and recovery from a lost disk

    @property
    def _is_fresh(self) -> bool:
        return self._term == 0 and self._log.last_index == 0

    def _probe_freshness(self) -> None:
        """Ask all other voters whether the group starts for the first time.

        An empty disk may replace one that held votes and acknowledged entries that
        the group relies on. Voting at once is safe only if every voter's disk is
        empty; otherwise this host stays a learner until a leader with a quorum
        promotes it.
        """
        if not self._is_learner or self._disk_error is not None:
            return
        if len(self._fresh_peers) == len(self._followers):
            self._become_voter(self._term, None)
            return
        self._fresh_peers.clear()
        for follower in self._followers:
            self._link.send(follower, FreshnessProbe(self._is_fresh))
        self._timers.call_later(FRESHNESS_RETRY_MS, self._probe_freshness)

    def _on_freshness_reply(self, sender: str, reply: FreshnessReply) -> None:
        if not reply.is_fresh or not self._is_fresh or not self._is_learner:
            return
        self._fresh_peers.add(sender)
        if len(self._fresh_peers) == len(self._followers):
            self._become_voter(self._term, None)

    def _become_voter(self, term: int, voted_for: str | None) -> None:
        self._is_learner = False
        try:
            self._save_hard_state(term, voted_for)
        except DiskError as error:
            self._is_learner = True
            self._on_disk_error(error)

    def _on_learner_promotion(self, sender: str, promotion: LearnerPromotion) -> None:
        is_current = promotion.term == self._term and sender == self._leader
        has_all = self._log.last_index >= promotion.index
        if self._is_learner and is_current and has_all:
            # This host may have voted in this term before it lost its disk. Recording
            # a vote for the leader keeps it from voting for another candidate.
            self._become_voter(self._term, sender)

    async def _promote_learner(self, follower: str, term: int) -> None:
        """Promote a learner that holds all committed entries.

        The leadership is confirmed first, by a quorum that does not count the learner.
        """
        is_confirmed = await self.confirm_leadership()
        peer = self._followers[follower]
        peer.is_promotion_pending = False
        if is_confirmed and self.is_leader and self._term == term and peer.is_learner:
            if peer.match_index >= self._commit_index:
                promotion = LearnerPromotion(term, self._commit_index)
                self._link.send(follower, promotion)

    def _reset_progress(self, peer: Peer, round_number: int) -> None:
        """Reset the progress of a follower that returned with an empty disk.

        `round_number` is the round of its first reply as a learner.
        """
        peer.learner_round = round_number
        peer.match_index = 0
        peer.next_index = self._log.last_index + 1
        peer.snapshot_offset = None
        peer.in_flight_since_ms = None

    def _promote_if_caught_up(self, sender: str, is_learner: bool) -> None:
        """Start the promotion of a learner that holds all committed entries."""
        peer = self._followers[sender]
        has_all = peer.match_index >= self._commit_index and self.is_ready_leader
        if is_learner and has_all and not peer.is_promotion_pending:
            peer.is_promotion_pending = True
            spawn(self._promote_learner(sender, self._term))

    # Elections

    def _reset_election_timer(self) -> None:
        if self._election_timer is not None:
            self._election_timer.cancel()
        longest_ms = min(self._config.election_max_ms, self._startup_election_max_ms)
        shortest_ms = min(self._config.election_min_ms, longest_ms / 2)
        delay_ms = self._random.uniform(shortest_ms, longest_ms)
        self._election_timer = self._timers.call_later(
            delay_ms, self._on_election_timeout
        )

    def _on_election_timeout(self) -> None:
        self._startup_election_max_ms *= 2
        self._reset_election_timer()
        if not self.is_leader and self.is_voter and self._disk_error is None:
            try:
                self._campaign(is_pre_vote=True)
            except DiskError as error:
                self._on_disk_error(error)

    def _campaign(self, is_pre_vote: bool) -> None:
        self._role = Role.CANDIDATE
        self._leader = None
        self._is_pre_vote = is_pre_vote
        self._votes = {self._name}
        if not is_pre_vote:
            self._elections_started += 1
            self._save_hard_state(self._term + 1, self._name)
        term = self._term + 1 if is_pre_vote else self._term
        request = VoteRequest(
            term, is_pre_vote, self._log.last_index, self._log.last_term
        )
        for voter in sorted(self.voters - {self._name}):
            self._link.send(voter, request)
        self._count_votes()

    def _count_votes(self) -> None:
        if len(self._votes) < self._followers.quorum:
            return
        if self._is_pre_vote:
            self._campaign(is_pre_vote=False)
        else:
            self._become_leader()

    def _has_live_leader(self) -> bool:
        """Return whether a leader was heard within the shortest election timeout."""
        if self.is_leader:
            return True
        silence_ms = self._timers.now_ms() - self._leader_contact_ms
        return silence_ms < self._config.election_min_ms

    def _on_vote_request(self, sender: str, request: VoteRequest) -> None:
        is_current = (request.last_term, request.last_index) >= (
            self._log.last_term,
            self._log.last_index,
        )
        if self._has_live_leader() or self._is_learner:
            is_granted = False
        elif request.is_pre_vote:
            is_granted = is_current and request.term > self._term
        else:
            if request.term > self._term:
                self._step_down(request.term)
            can_vote_for_sender = self._voted_for in (None, sender)
            is_granted = (
                is_current and can_vote_for_sender and request.term == self._term
            )
            if is_granted:
                self._save_hard_state(self._term, sender)
                self._reset_election_timer()
        term = request.term if is_granted else self._term
        self._link.send(sender, VoteReply(term, request.is_pre_vote, is_granted))

    def _on_vote_reply(self, sender: str, reply: VoteReply) -> None:
        if not reply.is_granted:
            if reply.term > self._term:
                self._step_down(reply.term)
            return
        expected = self._term + 1 if self._is_pre_vote else self._term
        is_for_this_election = (
            reply.term == expected and reply.is_pre_vote == self._is_pre_vote
        )
        if (
            self._role is Role.CANDIDATE
            and is_for_this_election
            and sender in self.voters
        ):
            self._votes.add(sender)
            self._count_votes()

    def _become_leader(self) -> None:
        self._role = Role.LEADER
        self._leader = self._name
        self._leading_since_ms = self._timers.now_ms()
        self._startup_election_max_ms = float("inf")
        self._followers.begin_term(self._log.last_index + 1, self._leading_since_ms)
        self._quorum_round = self._round
        self._term_start_index = self._append_as_leader(b"")
        self._notify_role()

    def _step_down(self, term: int) -> None:
        was_leader = self.is_leader
        if term > self._term:
            self._save_hard_state(term, None)
        self._role = Role.FOLLOWER
        self._leader = None
        if was_leader:
            self._fail_pending_requests()
            self._reset_election_timer()
            self._notify_role()

    def _fail_pending_requests(self) -> None:
        """Resolve all proposals and confirmations as failed."""
        proposals = list(self._proposals.values())
        confirmations = self._confirmations
        self._proposals.clear()
        self._confirmations = []
        for _, proposal in proposals:
            proposal.resolve(Err(ProposalUnconfirmed(False, self._leader)))
        for _, confirmation in confirmations:
            confirmation.resolve(False)

    def _notify_role(self) -> None:
        for listener in self._role_listeners:
            listener()

    # Leader

    def _append_as_leader(self, payload: bytes, voters: tuple[str, ...] = ()) -> int:
        index = self._log.last_index + 1
        self._log.append([Entry(index, self._term, payload, voters)])
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._timers.call_later(0.0, self._flush)
        return index

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        if not self.is_leader or self._disk_error is not None:
            return
        try:
            self._sync_log()
        except DiskError as error:
            self._on_disk_error(error)
            return
        self._broadcast()
        self._advance_commit()

    def _sync_log(self) -> None:
        count = self._log.last_index - self._durable_index
        if count > 0:
            self._journal.append(self._log.slice(self._durable_index + 1, count))
            self._durable_index = self._log.last_index

    def _on_heartbeat(self) -> None:
        if self._disk_error is not None or not self.is_leader:
            return
        if not self._has_quorum():
            self._step_down(self._term)
            return
        self._broadcast()

    def _has_quorum(self) -> bool:
        since_ms = self._timers.now_ms() - self._config.election_max_ms
        return self._followers.has_quorum_contact_since(since_ms)

    def _broadcast(self) -> None:
        self._round += 1
        if self._followers.quorum == 1:
            self._quorum_round = self._round
        for follower, peer in self._followers.items():
            self._send_append(follower, peer)

    def _send_append(self, follower: str, peer: Peer) -> None:
        if peer.next_index <= self._log.base_index:
            self._send_snapshot(follower, peer)
            return
        previous = peer.next_index - 1
        entries: tuple[Entry, ...] = ()
        if self._may_send_contents(peer):
            available = max(0, self._durable_index - previous)
            count = min(self._config.batch_entries, available)
            entries = self._log.slice(peer.next_index, count)
            peer.in_flight_since_ms = self._timers.now_ms() if entries else None
        previous_term = self._log.term_at(previous) or 0
        peer.sent_commit_index = min(self._commit_index, previous + len(entries))
        self._link.send(
            follower,
            AppendRequest(
                self._term,
                self._round,
                previous,
                previous_term,
                self._commit_index,
                entries,
            ),
        )

    def _may_send_contents(self, peer: Peer) -> bool:
        """Return whether entries or snapshot data are due, and not only a heartbeat."""
        now_ms, resend_ms = self._timers.now_ms(), self._config.resend_ms
        return not (
            peer.is_waiting(now_ms, resend_ms) or peer.is_silent(now_ms, resend_ms)
        )

    def _send_snapshot(self, follower: str, peer: Peer) -> None:
        """Send the next chunk, or an empty one while another is under way.

        Each broadcast calls this. An empty chunk serves as its heartbeat; copies of a
        chunk would fill the link and delay the transfer. A follower that is silent gets
        empty chunks as well.
        """
        assert self._snapshot_mark is not None
        offset = min(peer.snapshot_offset or 0, len(self._snapshot_data))
        data = b""
        if self._may_send_contents(peer):
            data = self._snapshot_data[offset : offset + self._config.chunk_bytes]
            peer.snapshot_offset = offset
            peer.chunk_round = self._round
            peer.in_flight_since_ms = self._timers.now_ms()
        self._link.send(
            follower,
            SnapshotChunk(self._term, self._round, self._snapshot_mark, offset, data),
        )

    def _on_append_reply(self, sender: str, reply: AppendReply) -> None:
        if not self._accept_reply(sender, reply):
            return
        peer = self._followers[sender]
        if reply.is_success:
            peer.match_index = max(peer.match_index, reply.match_index)
            peer.next_index = peer.match_index + 1
        else:
            if reply.is_learner:
                peer.match_index = 0
            floor = peer.match_index + 1
            peer.next_index = max(floor, min(peer.next_index - 1, reply.match_index))
        if peer.in_flight_since_ms is not None or not reply.is_success:
            peer.in_flight_since_ms = None
            if peer.next_index <= self._durable_index:
                self._send_append(sender, peer)
        self._advance_commit()
        self._announce_commit(sender, peer)
        self._promote_if_caught_up(sender, reply.is_learner)

    def _announce_commit(self, follower: str, peer: Peer) -> None:
        """Send the commit index to a follower if it commits more of its entries.

        Does nothing unless `announces_commits` is set.
        """
        known = min(self._commit_index, peer.match_index)
        if self._config.announces_commits and peer.sent_commit_index < known:
            self._send_append(follower, peer)

    def _accept_reply(self, sender: str, reply: AppendReply | SnapshotReply) -> bool:
        """Record the contact with a follower; return False if the reply is outdated.

        Steps down if the reply is from a later term.
        """
        if reply.term > self._term:
            self._step_down(reply.term)
            return False
        if not self.is_leader or reply.term != self._term:
            return False
        peer = self._followers[sender]
        if reply.round < peer.learner_round:
            return False
        if not self._config.has_dynamic_voters:
            if reply.is_learner and not peer.is_learner:
                self._reset_progress(peer, reply.round)
            peer.is_learner = reply.is_learner
        peer.last_contact_ms = self._timers.now_ms()
        peer.acked_round = max(peer.acked_round, reply.round)
        self._resolve_confirmations()
        return True

    def _resolve_confirmations(self) -> None:
        """Resolve the confirmations whose round a quorum has acknowledged.

        Those that came in later start the next broadcast if an urgent one was recorded
        since the last broadcast started here.
        """
        confirmed = self._followers.quorum_round(self._round)
        self._quorum_round = max(self._quorum_round, confirmed)
        ready = [p for target, p in self._confirmations if target <= confirmed]
        if not ready:
            return
        self._confirmations = [
            (target, p) for target, p in self._confirmations if target > confirmed
        ]
        for promise in ready:
            promise.resolve(True)
        is_waiting = bool(self._confirmations) and self._has_urgent_confirmation
        if is_waiting and self._quorum_round == self._round:
            self._has_urgent_confirmation = False
            self._broadcast()

    def _advance_commit(self) -> None:
        candidate = self._followers.quorum_index(self._durable_index)
        is_own_term = self._log.term_at(candidate) == self._term
        if candidate > self._commit_index and is_own_term:
            self._commit_index = candidate
            self._apply()
            for follower, peer in self._followers.items():
                self._announce_commit(follower, peer)

    # Follower

    def _on_append_request(self, sender: str, request: AppendRequest) -> None:
        if request.term < self._term:
            self._link.send(sender, AppendReply(self._term, request.round, False, 0))
            return
        self._accept_leader(sender, request.term)
        reply = self._store_entries(request)
        self._link.send(sender, replace(reply, is_learner=self._is_learner))

    def _accept_leader(self, leader: str, term: int) -> None:
        if term > self._term or self._role is not Role.FOLLOWER:
            self._step_down(term)
        self._leader = leader
        self._leader_contact_ms = self._timers.now_ms()
        self._startup_election_max_ms = float("inf")
        self._reset_election_timer()

    def _store_entries(self, request: AppendRequest) -> AppendReply:
        """Append the entries if the log matches, and apply what is committed."""
        previous = request.previous_index
        if previous < self._log.base_index:
            covered = self._log.base_index
            return AppendReply(self._term, request.round, True, covered)
        if self._log.term_at(previous) != request.previous_term:
            hint = min(previous, self._log.last_index + 1)
            return AppendReply(self._term, request.round, False, max(1, hint))
        self._append_new(request.entries)
        match_index = previous + len(request.entries)
        commit_index = min(request.commit_index, match_index)
        if commit_index > self._commit_index:
            self._commit_index = commit_index
            self._apply()
        # Before a leader has committed an entry of its own term, it does not know all
        # that was committed.
        is_all_known = self._log.term_at(request.commit_index) == request.term
        if is_all_known and self._applied_index >= request.commit_index:
            self._caught_up_ms = self._timers.now_ms()
        return AppendReply(self._term, request.round, True, match_index)

    def _append_new(self, entries: tuple[Entry, ...]) -> None:
        """Append the entries that the log lacks, and store all that is not durable.

        That may include an entry that this host appended as the leader of an earlier
        term, if it stepped down before the flush.
        """
        has_new = False
        for position, entry in enumerate(entries):
            if self._log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self._log.last_index:
                self._log.truncate_from(entry.index)
                self._durable_index = min(self._durable_index, entry.index - 1)
            self._log.append(entries[position:])
            has_new = True
            break
        self._sync_log()
        if has_new:
            self._refresh_voters()

    def _on_snapshot_chunk(self, sender: str, chunk: SnapshotChunk) -> None:
        if chunk.term < self._term:
            reply = SnapshotReply(self._term, chunk.round, chunk.mark.index, 0)
            self._link.send(sender, reply)
            return
        self._accept_leader(sender, chunk.term)
        received = self._receive_chunk(chunk)
        self._link.send(
            sender,
            SnapshotReply(
                self._term, chunk.round, chunk.mark.index, received, self._is_learner
            ),
        )

    def _receive_chunk(self, chunk: SnapshotChunk) -> int:
        """Add a chunk, and install the snapshot if it is complete.

        Returns the number of bytes received, the whole length if nothing is missing.
        """
        mark = chunk.mark
        if mark.index <= self._commit_index:
            return mark.length
        if self._incoming_snapshot_mark != mark:
            self._incoming_snapshot_mark = mark
            self._incoming_snapshot = bytearray()
        if chunk.offset == len(self._incoming_snapshot):
            self._incoming_snapshot += chunk.data
        if len(self._incoming_snapshot) < mark.length:
            return len(self._incoming_snapshot)
        self._install_snapshot(mark, bytes(self._incoming_snapshot))
        return mark.length

    def _install_snapshot(self, mark: SnapshotMark, data: bytes) -> None:
        self._log.compact(mark.index, mark.term)
        self._snapshot_mark = mark
        self._snapshot_data = data
        self._incoming_snapshot_mark = None
        self._incoming_snapshot = bytearray()
        self._state_machine.restore(data)
        self._commit_index = mark.index
        self._applied_index = mark.index
        self._save_snapshot_and_journal()
        self._refresh_voters()

    def _on_snapshot_reply(self, sender: str, reply: SnapshotReply) -> None:
        if not self._accept_reply(sender, reply):
            return
        peer = self._followers[sender]
        if self._snapshot_mark is None or reply.index != self._snapshot_mark.index:
            return
        if reply.received >= self._snapshot_mark.length:
            peer.snapshot_offset = None
            peer.match_index = max(peer.match_index, reply.index)
            peer.next_index = peer.match_index + 1
        else:
            sent_offset = peer.snapshot_offset or 0
            # Only a reply to a later broadcast shows that chunks were lost again, as by
            # a restart of the follower.
            has_lost_chunks = reply.round > peer.chunk_round
            if reply.received == sent_offset or (
                reply.received < sent_offset and not has_lost_chunks
            ):
                return
            peer.snapshot_offset = reply.received
        peer.in_flight_since_ms = None
        self._send_append(sender, peer)

    # Voter set

    def _refresh_voters(self) -> None:
        """Adopt the newest voter set in the log, committed or not."""
        if not self._config.has_dynamic_voters:
            return
        index, voters = self._voters_at(self._log.last_index)
        self._voters_index = index
        if self._followers.voters != frozenset(voters):
            next_index = self._log.last_index + 1
            self._followers.set_voters(voters, next_index, self._timers.now_ms())

    def _voters_at(self, index: int) -> tuple[int, tuple[str, ...]]:
        """Return the voter set at a log index, and the index that it stems from."""
        changed = self._log.last_voters(index)
        if changed is not None:
            return changed
        if self._snapshot_mark is not None and self._snapshot_mark.voters:
            return self._snapshot_mark.index, self._snapshot_mark.voters
        return 0, self._initial_voters

    # Application of entries and storage

    def _apply(self) -> None:
        while self._applied_index < self._commit_index:
            index = self._applied_index + 1
            entry = self._log.slice(index, 1)[0]
            outcome: Any = None
            if entry.payload:
                outcome = self._state_machine.apply(index, entry.payload)
            self._applied_index = index
            self._resolve_proposal(index, entry.term, outcome)
        if self._applied_index - self._log.base_index >= self._config.snapshot_entries:
            self._take_snapshot()

    def _resolve_proposal(self, index: int, term: int, outcome: Any) -> None:
        waiting = self._proposals.pop(index, None)
        if waiting is None:
            return
        proposed_term, promise = waiting
        if proposed_term == term:
            promise.resolve(Ok(outcome))
        else:
            promise.resolve(Err(ProposalUnconfirmed(False, self._leader)))

    def _take_snapshot(self) -> None:
        index = self._applied_index
        term = self._log.term_at(index) or 0
        data = self._state_machine.snapshot()
        _, voters = self._voters_at(index)
        self._snapshot_mark = SnapshotMark(index, term, len(data), voters)
        self._snapshot_data = data
        self._log.compact(index, term)
        self._followers.reset_snapshot_offsets()
        try:
            self._save_snapshot_and_journal()
        except DiskError as error:
            self._on_disk_error(error)

    def _save_snapshot_and_journal(self) -> None:
        if self._snapshot_mark is not None:
            self._journal.save_snapshot(self._snapshot_mark, self._snapshot_data)
        count = self._log.last_index - self._log.base_index
        entries = self._log.slice(self._log.base_index + 1, count)
        self._journal.rewrite(self._hard_state, entries)
        self._durable_index = self._log.last_index

    @property
    def _hard_state(self) -> HardState:
        return HardState(self._term, self._voted_for, not self._is_learner)

    def _save_hard_state(self, term: int, voted_for: str | None) -> None:
        self._term = term
        self._voted_for = voted_for
        self._journal.append([self._hard_state])

    def _on_disk_error(self, error: DiskError) -> None:
        """Step down and schedule a rewrite of the stored state."""
        is_first = self._disk_error is None
        self._disk_error = str(error)
        if self.is_leader:
            self._step_down(self._term)
        self._role = Role.FOLLOWER
        if is_first:
            self._timers.call_later(DISK_RETRY_MS, self._retry_disk)

    def _retry_disk(self) -> None:
        try:
            self._save_snapshot_and_journal()
        except DiskError as error:
            self._disk_error = str(error)
            self._timers.call_later(DISK_RETRY_MS, self._retry_disk)
            return
        self._disk_error = None
