"""The control host: replicated state, endpoint directory and entry hosts."""

import random
import zlib
from collections.abc import Iterable
from enum import Enum
from typing import Any, Final

from result import Err, Ok

from azurerelay.attachment import (
    ATTACHMENT_MESSAGES,
    ControlHost,
    Detach,
    EntryHostTable,
    SuspectedPrimaryReport,
    SyncRequest,
    merge_suspicions,
)
from azurerelay.cluster._cluster_config import ClusterConfig
from azurerelay.cluster._directory_replicator import DirectoryReplicator, Fleet
from azurerelay.cluster._messages import (
    CLUSTER_MESSAGES,
    AnnouncementRelay,
    AttachmentReport,
    BarrierReply,
    BarrierRequest,
    DepartureRelay,
    DirectoryDigest,
    DirectoryRequest,
    JoinReply,
    JoinRequest,
    LeaveReply,
    LeaveRequest,
    ProposalReply,
    ProposalRequest,
)
from azurerelay.cluster._primary_prober import PrimaryProber
from azurerelay.cluster._promotion_controller import PromotionController
from azurerelay.cluster._quota_exchange import QuotaExchange
from azurerelay.cluster._voter_plan import host_address
from azurerelay.cluster._voter_set_controller import VoterSetController
from azurerelay.consensus import (
    CONSENSUS_MESSAGES,
    Journal,
    JournalState,
    RaftConfig,
    RaftNode,
)
from azurerelay.discovery import Announcement, Departure, EndpointDirectory
from azurerelay.events import AnnouncementRefused, EventLog, RoleChanged
from azurerelay.groups import Topology
from azurerelay.membership import COMMAND_CODEC, ClusterState, ReplaceConfiguration
from azurerelay.messages import (
    Link,
    MalformedFrame,
    Requester,
    TaggedCodec,
    compress,
    decompress,
)
from azurerelay.promotions import PromotionPort
from azurerelay.routes import Configuration
from azurerelay.statements import EndpointConnector
from azurerelay.timing import Promise, TimerService, sleep, spawn, with_timeout

# The heartbeat interval is several times the round trip between regions. An election
# starts only after four missed heartbeats, so that a busy host or a slow disk does not
# cause one. The first election after a start waits for at least four such round trips,
# half of `first_election_max_ms`, because all hosts may have started at the same time.
RAFT_CONFIG: Final = RaftConfig(
    heartbeat_ms=200.0,
    election_min_ms=800.0,
    election_max_ms=1_500.0,
    first_election_max_ms=200.0,
    resend_ms=400.0,
    chunk_bytes=64 * 1024,
    snapshot_entries=64,
    has_dynamic_voters=True,
    announces_commits=True,
)
JOIN_INTERVAL_MS: Final = 300.0
# A voter that hears no leader for this long may have been removed while it was away.
JOIN_AFTER_SILENCE_MS: Final = 2_000.0
REPORT_INTERVAL_MS: Final = 400.0
# Suspicions that entry hosts report within this time share one report to the leader.
SUSPICION_REPORT_DELAY_MS: Final = 20.0
REPORT_MAX_AGE_MS: Final = 1_500.0
# Operators wait one second for an answer.
REQUEST_TIMEOUT_MS: Final = 850.0
BARRIER_POLL_MS: Final = 5.0
INCARNATION_SPACE: Final = 2**32

CONTROL_LINK_CODEC: Final = TaggedCodec(
    (*CONSENSUS_MESSAGES, *ATTACHMENT_MESSAGES, *CLUSTER_MESSAGES)
)


class OrderOutcome(Enum):
    """The outcome of an operator's order to replace the configuration."""

    DURABLE = "durable"
    UNKNOWN = "unknown"


class _CompressedStateMachine:
    """A state machine over compressed data that reports each change."""

    def __init__(self, state: ClusterState) -> None:
        self._state = state
        self.on_applied: Any = lambda: None

    def apply(self, index: int, payload: bytes) -> Any:
        """Apply a compressed command and report the change.

        A command that cannot be decompressed changes nothing, on any host.
        """
        try:
            command = decompress(payload)
        except zlib.error as error:
            return Err(MalformedFrame(str(error)))
        outcome = self._state.apply(index, command)
        self.on_applied()
        return outcome

    def snapshot(self) -> bytes:
        """Return the compressed state."""
        return compress(self._state.snapshot())

    def restore(self, data: bytes) -> None:
        """Replace the state by a compressed snapshot and report the change."""
        self._state.restore(decompress(data))
        self.on_applied()


class ClusterNode:
    """A control host.

    Takes part in the replicated log, keeps the endpoint directory and serves the entry
    hosts attached to it. The leader also maintains the voter set and replaces lost
    primaries.
    """

    def __init__(
        self,
        config: ClusterConfig,
        link: Link,
        connector: EndpointConnector,
        promotions: PromotionPort,
        timers: TimerService,
        random_source: random.Random,
        journal: Journal,
        journal_state: JournalState,
        events: EventLog,
        raft_config: RaftConfig = RAFT_CONFIG,
    ) -> None:
        self._config = config
        self._link = link
        self._timers = timers
        self._started_ms = timers.now_ms()
        self._events = events
        self._state = ClusterState()
        state_machine = _CompressedStateMachine(self._state)
        self._raft = RaftNode(
            config.name,
            config.initial_voters,
            link,
            timers,
            random_source,
            journal,
            journal_state,
            state_machine,
            raft_config,
        )
        self._directory = EndpointDirectory(self._record_refused_entry)
        incarnation = random_source.randrange(1, INCARNATION_SPACE)
        self._requester = Requester(link, timers, incarnation)
        self._entry_hosts = EntryHostTable(link, timers, self._directory, incarnation)
        self._quotas = QuotaExchange(config.quota_slack, link, timers, events)
        self._failure_domains: dict[str, str] = {
            host_address(config.name): config.failure_domain
        }
        self._attachment_reports: dict[str, tuple[AttachmentReport, float]] = {}
        self._total_entry_hosts = 1
        self._known_voters: frozenset[str] = frozenset()
        self._is_report_due = False
        state_machine.on_applied = self._on_applied
        self._on_applied()
        self._replicator = DirectoryReplicator(
            config.name,
            config.heartbeat_interval_ms,
            self._raft,
            self._directory,
            link,
            self._requester,
            timers,
            self._peers,
            lambda: Fleet(self._count_entry_hosts(), self._control_hosts()),
            self._entry_hosts.push,
        )
        self._entry_hosts.set_sources(
            lambda: self._raft.state_age_ms,
            self._count_entry_hosts,
            self._control_hosts,
            lambda: self._primary_prober.proven_primaries,
        )
        self._raft.add_role_listener(self._on_role_change)
        self._voter_set_controller = VoterSetController(
            config.name, self._raft, config.max_disk_losses, timers, events
        )
        self._promotion_controller = PromotionController(
            config.issuer,
            self._raft,
            self._state,
            self._directory,
            connector,
            promotions,
            timers,
            events,
            config.heartbeat_interval_ms,
        )
        self._promotion_controller.set_sources(
            self._collect_suspicions, self._count_entry_hosts
        )
        self._primary_prober = PrimaryProber(
            config.name,
            Topology(config.failure_domain, {}),
            self._directory,
            connector,
            timers,
            random_source,
            events,
        )

    @property
    def raft(self) -> RaftNode:
        """The Raft node of this host."""
        return self._raft

    @property
    def state(self) -> ClusterState:
        """The replicated state, as far as this host has applied the log."""
        return self._state

    @property
    def directory(self) -> EndpointDirectory:
        """The endpoint directory of this host."""
        return self._directory

    @property
    def entry_hosts(self) -> EntryHostTable:
        """The entry hosts that are attached to this host."""
        return self._entry_hosts

    def gauges(self) -> dict[str, float]:
        """Return the current values of the gauges by metric name."""
        configuration = self._state.configuration
        return {
            "configuration_version": float(
                configuration.version if configuration else -1
            ),
            "log_term": float(self._raft.term),
            "log_committed_index": float(self._raft.commit_index),
            "log_leader": float(self._raft.is_leader),
            "log_voters": float(len(self._raft.voters)),
            "leader_silence_seconds": min(1e9, self._raft.leader_silence_ms) / 1_000.0,
            "state_age_seconds": min(1e9, self._raft.state_age_ms) / 1_000.0,
            "followed_by_entry_hosts": float(self._entry_hosts.count),
            "endpoints": float(len(self._directory.announcements)),
            "promotions_waiting": float(self._promotion_controller.waiting_count),
            "customers_limited": float(self._quotas.limited_count),
            "quota_counts_late": float(self._quotas.late_count),
        }

    def start(self) -> None:
        """Start the Raft node and the periodic tasks; ask to join if not a voter."""
        self._raft.start()
        self._timers.call_every(JOIN_INTERVAL_MS, self._send_join_requests)
        self._replicator.start()
        self._quotas.start(
            lambda: self._entry_hosts.attached,
            self._peers,
            self._count_entry_hosts,
            lambda: self._entry_hosts.silent_share,
        )
        self._timers.call_every(REPORT_INTERVAL_MS, self._send_report)
        self._primary_prober.start(
            lambda: self._state.configuration,
            self._count_entry_hosts,
            self._entry_hosts.push_to_all,
        )
        self._send_join_requests()

    def on_message(self, sender: str, message: Any) -> None:
        """Handle a message from a control host or an entry host."""
        if isinstance(message, CONSENSUS_MESSAGES):
            self._raft.on_message(sender, message)
            self._replicator.follow_leader()
            return
        match message:
            case SyncRequest():
                self._on_sync_request(sender, message)
            case Detach():
                self._entry_hosts.detach(sender)
            case JoinRequest():
                self._on_join_request(sender, message)
            case JoinReply():
                self._known_voters |= frozenset(message.voters)
            case AnnouncementRelay():
                self._replicator.merge_announcement(message.announcement)
            case DepartureRelay():
                self._replicator.merge_departure(message.departure)
            case DirectoryRequest():
                self._replicator.on_request(sender, message)
            case DirectoryDigest():
                self._on_digest(sender, message)
            case AttachmentReport():
                self._failure_domains[host_address(sender)] = message.failure_domain
                self._attachment_reports[sender] = (message, self._timers.now_ms())
            case LeaveRequest():
                self._replicator.on_leave_request(sender, message)
            case ProposalRequest():
                spawn(self._answer_proposal(sender, message))
            case BarrierRequest():
                spawn(self._answer_barrier(sender, message))
            case LeaveReply() | ProposalReply() | BarrierReply():
                self._requester.on_reply(sender, message.request_id, message)
            case _:
                self._quotas.on_message(sender, message)

    # Operators

    def replace_configuration(
        self, configuration: Configuration
    ) -> Promise[OrderOutcome]:
        """Replace the configuration by a newer version.

        The outcome is also `DURABLE` if an equal or higher version is in force already.
        """
        command = ReplaceConfiguration(
            self._timers.wall_clock_ms(), "operator", configuration
        )
        return spawn(self._replace(compress(COMMAND_CODEC.encode(command))))

    def read_configuration(self) -> Promise[Configuration | None]:
        """Return the newest configuration.

        Returns None if there is none, or if this host cannot confirm in time that it
        knows the newest one.
        """
        return spawn(self._read())

    async def _replace(self, payload: bytes) -> OrderOutcome:
        if self._raft.is_leader:
            is_committed = await self._propose(payload)
        else:
            is_committed = False
            leader = self._raft.leader
            if leader is not None:
                answer = await self._requester.call(
                    leader,
                    lambda request_id: ProposalRequest(request_id, payload),
                    REQUEST_TIMEOUT_MS,
                )
                is_committed = isinstance(answer, Ok) and answer.ok_value.is_committed
        return OrderOutcome.DURABLE if is_committed else OrderOutcome.UNKNOWN

    async def _propose(self, payload: bytes) -> bool:
        """Append a command as the leader and wait until it is applied.

        Returns False if it is not known to be committed within the time limit, if it
        cannot be decoded and so changed nothing, or if the voter set is too small to
        survive the tolerated disk losses.
        """
        if not self._raft.is_ready_leader or not self._majority_survives_disk_losses:
            return False
        outcome = await with_timeout(
            self._timers, self._raft.propose(payload), REQUEST_TIMEOUT_MS
        )
        is_applied = (
            isinstance(outcome, Ok)
            and isinstance(outcome.ok_value, Ok)
            and not isinstance(outcome.ok_value.ok_value, Err)
        )
        return is_applied and self._majority_survives_disk_losses

    @property
    def _majority_survives_disk_losses(self) -> bool:
        """Whether every majority has more disks than may be lost at the same time."""
        return len(self._raft.voters) // 2 + 1 > self._config.max_disk_losses

    async def _answer_proposal(self, sender: str, request: ProposalRequest) -> None:
        is_committed = await self._propose(request.payload)
        self._link.send(sender, ProposalReply(request.request_id, is_committed))

    async def _read(self) -> Configuration | None:
        index = await self._read_index()
        if index is None:
            return None
        deadline_ms = self._timers.now_ms() + REQUEST_TIMEOUT_MS
        while self._raft.applied_index < index:
            if self._timers.now_ms() >= deadline_ms:
                return None
            await sleep(self._timers, BARRIER_POLL_MS)
        return self._state.configuration

    async def _read_index(self) -> int | None:
        if self._raft.is_leader:
            return await self._confirm_read_index()
        leader = self._raft.leader
        if leader is None:
            return None
        answer = await self._requester.call(leader, BarrierRequest, REQUEST_TIMEOUT_MS)
        return answer.ok_value.index if isinstance(answer, Ok) else None

    async def _confirm_read_index(self) -> int | None:
        if not self._raft.is_ready_leader:
            return None
        index = self._raft.commit_index
        confirmed = await with_timeout(
            self._timers, self._raft.confirm_leadership(), REQUEST_TIMEOUT_MS
        )
        return index if isinstance(confirmed, Ok) and confirmed.ok_value else None

    async def _answer_barrier(self, sender: str, request: BarrierRequest) -> None:
        index = await self._confirm_read_index() if self._raft.is_leader else None
        self._link.send(sender, BarrierReply(request.request_id, index))

    # Endpoints

    def receive_heartbeat(self, announcement: Announcement) -> Promise[bool]:
        """Process a heartbeat of an endpoint; True if it may be acknowledged."""
        return self._replicator.receive_heartbeat(announcement)

    def deregister(self, endpoint: str, incarnation: int | None) -> Promise[bool]:
        """Record that an endpoint has departed; True if it may be acknowledged."""
        return self._replicator.deregister(endpoint, incarnation)

    def restore_directory(
        self,
        announcements: Iterable[Announcement],
        departures: Iterable[Departure],
        former_members: Iterable[Announcement] = (),
    ) -> None:
        """Load the directory that was saved before a restart."""
        self._replicator.restore(announcements, departures, former_members)

    def _record_refused_entry(self, endpoint: str) -> None:
        self._events.record(
            AnnouncementRefused(
                endpoint[:64], "an entry of a host or of the disk is out of range"
            )
        )

    def _on_digest(self, sender: str, digest: DirectoryDigest) -> None:
        if sender != self._raft.leader:
            return
        self._total_entry_hosts = digest.entry_hosts
        for host in digest.control_hosts:
            if host.failure_domain:
                self._failure_domains[host.address] = host.failure_domain
        self._replicator.on_digest(digest)

    # Entry hosts

    def _on_sync_request(self, sender: str, request: SyncRequest) -> None:
        self._entry_hosts.on_request(sender, request)
        if request.suspicions and not self._is_report_due:
            self._is_report_due = True
            self._timers.call_later(SUSPICION_REPORT_DELAY_MS, self._send_report)

    def _send_report(self) -> None:
        """Send the leader the number of attached entry hosts and their suspicions."""
        self._is_report_due = False
        leader = self._raft.leader
        if leader is None or leader == self._config.name:
            return
        self._link.send(
            leader,
            AttachmentReport(
                self._config.failure_domain,
                self._entry_hosts.count,
                self._entry_hosts.suspected_primaries,
            ),
        )

    def _recent_reports(self) -> tuple[AttachmentReport, ...]:
        oldest_ms = self._timers.now_ms() - REPORT_MAX_AGE_MS
        return tuple(
            report
            for report, at_ms in self._attachment_reports.values()
            if at_ms >= oldest_ms
        )

    def _count_entry_hosts(self) -> int:
        if not self._raft.is_leader:
            return max(self._total_entry_hosts, self._entry_hosts.count)
        others = sum(report.entry_hosts for report in self._recent_reports())
        return self._entry_hosts.count + others

    def _collect_suspicions(self) -> tuple[SuspectedPrimaryReport, ...]:
        others = (report.suspected_primaries for report in self._recent_reports())
        return merge_suspicions(sum(others, self._entry_hosts.suspected_primaries))

    def _control_hosts(self) -> tuple[ControlHost, ...]:
        addresses = sorted({host_address(name) for name in self._raft.voters})
        return tuple(
            ControlHost(address, self._failure_domains.get(address, ""))
            for address in addresses
        )

    # Membership

    def _send_join_requests(self) -> None:
        """Send join requests to all known control hosts, unless this is a voter.

        A host that was removed from the voters while it was away is still one according
        to its own log, and the next leader does not replicate to it. So a voter that
        hears no leader asks, too; the leader ignores that if it is one.
        """
        now_ms = self._timers.now_ms()
        silence_ms = min(self._raft.leader_silence_ms, now_ms - self._started_ms)
        if self._raft.is_voter and silence_ms < JOIN_AFTER_SILENCE_MS:
            return
        addresses = {host_address(name) for name in self._known_voters}
        addresses |= {host_address(name) for name in self._raft.voters}
        addresses |= set(self._config.seeds)
        if self._raft.leader is not None:
            addresses.add(host_address(self._raft.leader))
        addresses.discard(host_address(self._config.name))
        for address in sorted(addresses):
            self._link.send(address, JoinRequest(self._config.failure_domain))

    def _on_join_request(self, sender: str, request: JoinRequest) -> None:
        self._failure_domains[host_address(sender)] = request.failure_domain
        if self._raft.is_leader:
            self._raft.add_learner(sender)
            return
        reply = JoinReply(self._raft.leader, tuple(sorted(self._raft.voters)))
        self._link.send(sender, reply)
        leader = self._raft.leader
        if leader is not None and sender != leader:
            self._known_voters |= {leader}

    def _peers(self) -> tuple[str, ...]:
        names = set(self._raft.voters)
        if self._raft.is_leader:
            names |= {follower.name for follower in self._raft.followers()}
        names.discard(self._config.name)
        return tuple(sorted(names))

    def _on_applied(self) -> None:
        configuration = self._state.configuration
        if configuration is not None:
            self._directory.set_groups(group.name for group in configuration.groups)
            self._entry_hosts.set_configuration(configuration)
            self._quotas.update(configuration.customers)

    def _on_role_change(self) -> None:
        self._events.record(
            RoleChanged(
                self._raft.role.value, self._raft.term, self._raft.leader or "none"
            )
        )
