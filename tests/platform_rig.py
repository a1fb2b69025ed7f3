"""A simulated platform on simulated time: endpoints, promotions, links and disks.

It follows the published protocol of the platform. Each read is checked when it runs:
the log must contain the newest commit that the read had to see when it was sent.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from result import Err, Ok, Result

from azurerelay.cluster import ClusterConfig, ClusterNode
from azurerelay.consensus import Journal
from azurerelay.discovery import Announcement
from azurerelay.events import Event
from azurerelay.groups import Topology
from azurerelay.promotions import PromotionAnswer, PromotionOrder
from azurerelay.relay import CallerSession, RelayNode
from azurerelay.routes import Configuration, Consistency, DatabaseGroup, Route
from azurerelay.statements import (
    Begin,
    BeginTransaction,
    CallerReply,
    Commit,
    ConnectFailed,
    ConnectionLost,
    EndpointError,
    EndpointReply,
    PauseReceiving,
    Position,
    PrepareShape,
    QueryStatus,
    Read,
    ReplyQueue,
    ResetSession,
    ResumeReceiving,
    Rollback,
    RollbackTransaction,
    RunPrepared,
    RunStatement,
    SessionState,
    SetSessionValue,
    Write,
)
from azurerelay.storage import MemoryDisk
from azurerelay.telemetry import Meters
from azurerelay.timing import (
    ManualTimerService,
    Promise,
    ScopedTimerService,
    spawn,
)

DOMAIN_REGIONS = {"east-1": "east", "west-1": "west", "south-1": "south"}
GROUP = "ledger"
DRAIN_MS = 7_000.0
HEARTBEAT_MS = 1_200.0
# How long an endpoint still counts the connections of a host that lost power.
LINGER_MS = 3_000.0
ENDPOINT_GONE = ConnectionLost("the endpoint went away")
_STATUS_COMMANDS = (QueryStatus, PauseReceiving, ResumeReceiving)


@dataclass
class Run:
    """A statement that an endpoint has run."""

    request_id: str
    text: str
    endpoint: str
    at_ms: float
    values: dict[str, str]
    transaction: int | None
    customer: str = ""


@dataclass(frozen=True)
class Acknowledged:
    """A commit that was acknowledged, by its position in the log of a group."""

    at_ms: float
    group: str
    position: Position


@dataclass
class FakeServer:
    """An endpoint with a log, a replication lag and injectable faults.

    `lost_answers` is how many successful replies are still to be dropped,
    `reply_copies` returns how often the reply to a command is sent,
    `refuse_next` holds the errors for the next statements, `unreachable_from` the link
    addresses of hosts that cannot reach the endpoint, and `lingering` is how many
    connections of hosts without power it still counts. With `is_replaced_by_another`,
    another endpoint answers at its address once it is down. A server that `is_deaf`
    receives no commits; otherwise they arrive after `receive_delay_ms`. A status query
    takes `status_delay_ms` longer, and the next `busy_statuses` are refused. With a
    `paused_term` the server receives nothing until it is resumed, or one is promoted.
    """

    rig: "PlatformRig"
    name: str
    group: str
    address: str
    domain: str
    is_primary: bool = False
    log: list[Position] = field(default_factory=list)
    applied: int = 0
    lag_ms: float = 20.0
    work_ms: float = 8.0
    slots: int = 3
    busy: int = 0
    is_up: bool = True
    is_silent: bool = False
    is_draining: bool = False
    is_replaced_by_another: bool = False
    is_deaf: bool = False
    receive_delay_ms: float = 2.0
    status_delay_ms: float = 0.0
    busy_statuses: int = 0
    paused_term: int | None = None
    unacknowledged: list[tuple[Position, "FakeSession", Callable[[], object]]] = field(
        default_factory=list
    )
    lost_answers: int = 0
    reply_copies: Callable[[Any], int] = field(default=lambda command: 1)
    unreachable_from: set[str] = field(default_factory=set)
    refuse_next: list[EndpointError] = field(default_factory=list)
    incarnation: int = 1
    sequence: int = 0
    sessions: list["FakeSession"] = field(default_factory=list)
    max_connections: int = 1_000
    lingering: int = 0
    refused_connections: int = 0

    @property
    def position(self) -> Position:
        if self.is_primary:
            return self.log[-1]
        return self.log[self.applied - 1]

    def announcement(self) -> Announcement:
        self.sequence += 1
        return Announcement(
            self.name,
            self.group,
            self.address,
            self.domain,
            self.slots,
            self.is_draining,
            self.is_primary,
            0,
            self.incarnation,
            self.sequence,
        )

    def commit(self) -> Position:
        position = Position(self.rig.terms[self.group], self.log[-1].number + 1)
        self.log.append(position)
        self.applied = len(self.log)
        for other in self.rig.members(self.group):
            if other is not self:
                self.rig.timers.call_later(
                    other.receive_delay_ms,
                    partial(other.receive, list(self.log)),
                )
        return position

    def acknowledge(
        self, position: Position, session: "FakeSession", answer: Callable[[], object]
    ) -> None:
        """Answer a commit once as many replicas as needed have received it."""
        self.unacknowledged.append((position, session, answer))
        self.check_receipts()

    def check_receipts(self) -> None:
        waiting, self.unacknowledged = self.unacknowledged, []
        others = [s for s in self.rig.members(self.group) if s is not self]
        for position, session, answer in waiting:
            receipts = sum(position in other.log for other in others)
            if not self.is_up or not self.is_primary:
                session.disconnect(silent=False)
            elif receipts >= self.rig.synchronous_replicas:
                self.rig.confirmed.append(position)
                self.rig.promotions.check_commit(position)
                answer()
            else:
                self.unacknowledged.append((position, session, answer))

    def receive(self, log: list[Position]) -> None:
        if not self.is_up or self.is_primary or len(log) <= len(self.log):
            return
        if self.is_deaf or self.paused_term is not None:
            return
        if log[: len(self.log)] != self.log:
            return
        self.log = log
        count = len(log)
        self.rig.timers.call_later(self.lag_ms, lambda: self._apply(count))
        primary = self.rig.primary(self.group)
        self.rig.timers.call_later(self.receive_delay_ms, primary.check_receipts)

    def _apply(self, count: int) -> None:
        self.applied = max(self.applied, min(count, len(self.log)))

    def release_lingering(self, count: int) -> None:
        self.lingering -= count

    def crash(self, silent: bool = False) -> None:
        self.is_up = False
        self.is_silent = silent
        for session in list(self.sessions):
            session.disconnect(silent)

    def go_dark(self) -> None:
        """Answer and send nothing; connections stay open."""
        self.crash(silent=True)

    def come_back(self) -> None:
        """Answer again after `go_dark`, in the role that the server has by now."""
        self.is_up = True
        self.is_silent = False
        self.rig.catch_up(self)
        self.rig.send_heartbeat(self)

    def restart(self) -> None:
        self.is_up = True
        self.is_silent = False
        self.paused_term = None
        self.is_primary = self.rig.primary_names[self.group] == self.name
        self.incarnation += 1
        self.sequence = 0
        self.rig.catch_up(self)


class FakeSession:
    """A connection of one host to an endpoint."""

    def __init__(self, server: FakeServer, client: str, customer: str = "") -> None:
        self.customer = customer
        self.server = server
        self.client = client
        self.state = SessionState.IDLE
        self.is_read_only = False
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, bool]] = {}
        self.transaction: int | None = None
        self.written: list[str] = []
        self._position: Position | None = server.position
        self._queue = ReplyQueue()
        self._replies: dict[type[Any], EndpointReply] = {}
        self._is_closed = False
        self._free_at_ms = 0.0
        self._uncommitted: Position | None = None
        server.sessions.append(self)

    @property
    def is_open(self) -> bool:
        return not self._is_closed

    @property
    def position(self) -> Position | None:
        return self._position

    def close(self) -> None:
        self._is_closed = True
        self.state = SessionState.IDLE
        if self in self.server.sessions:
            self.server.sessions.remove(self)
        self._queue.fail_all(ConnectionLost("closed here"))

    def disconnect(self, silent: bool, lost: ConnectionLost = ENDPOINT_GONE) -> None:
        if silent:
            return
        self._is_closed = True
        if self in self.server.sessions:
            self.server.sessions.remove(self)
        self._queue.fail_all(lost)

    def request(self, command: Any) -> Promise[Result[EndpointReply, ConnectionLost]]:
        if self._is_closed:
            return Promise.of(Err(ConnectionLost("the connection is closed")))
        promise = self._queue.add(command)
        rig = self.server.rig
        one_way_delay_ms = rig.one_way_delay_ms(self.client, self.server)
        start_ms = max(rig.timers.now_ms() + one_way_delay_ms, self._free_at_ms)
        is_work = isinstance(command, (RunStatement, RunPrepared, *_STATUS_COMMANDS))
        work_ms = self.server.work_ms if is_work else 0.2
        if isinstance(command, _STATUS_COMMANDS):
            work_ms += self.server.status_delay_ms
        self._free_at_ms = start_ms + work_ms
        rig.timers.call_later(
            start_ms - rig.timers.now_ms(),
            lambda: self._arrive(command, work_ms, one_way_delay_ms),
        )
        return promise

    def _is_unreachable(self) -> bool:
        server = self.server
        is_cut = self.client in server.unreachable_from
        return is_cut or self._is_closed or not server.is_up

    def _arrive(self, command: Any, work_ms: float, one_way_delay_ms: float) -> None:
        rig = self.server.rig
        if self._is_unreachable():
            return
        is_work = isinstance(command, (RunStatement, RunPrepared, *_STATUS_COMMANDS))
        self.server.busy += is_work
        delay_ms = work_ms

        def finish() -> None:
            self.server.busy -= is_work
            if self._is_unreachable():
                return
            reply = self._run(command)
            self._replies[type(command)] = reply
            if is_work and self.server.lost_answers and reply.error is None:
                self.server.lost_answers -= 1
                return

            def answer() -> None:
                for _ in range(self.server.reply_copies(command)):
                    rig.timers.call_later(one_way_delay_ms, lambda: self._answer(reply))

            if self._uncommitted is None:
                answer()
                return
            position, self._uncommitted = self._uncommitted, None
            self.server.acknowledge(position, self, answer)

        rig.timers.call_later(delay_ms, finish)

    def repeat_reply(self, kind: type[Any]) -> None:
        """Deliver the last reply to a command of a kind once more."""
        self._answer(self._replies[kind])

    def _answer(self, reply: EndpointReply) -> None:
        """Deliver a reply to the oldest command, as a host on a socket does."""
        if self.client in self.server.unreachable_from or self._is_closed:
            return
        mismatch = self._queue.find_mismatch(reply)
        if mismatch is not None:
            self.disconnect(False, ConnectionLost(mismatch, is_mismatch=True))
            return
        self._position = reply.position
        self._queue.resolve_oldest(reply)

    def _reply(
        self,
        error: EndpointError | None = None,
        rows: tuple[str, ...] = (),
        signature: str = "",
        received: Position | None = None,
    ) -> EndpointReply:
        text = error.value if error else ""
        return EndpointReply(
            rows, signature, error, text, self.state, self.server.position, received
        )

    def _run(self, command: Any) -> EndpointReply:
        if isinstance(command, SetSessionValue):
            self.values[command.name] = command.value
            return self._reply()
        if isinstance(command, PrepareShape):
            self.prepared[command.name] = (command.shape, command.is_write)
            return self._reply()
        if isinstance(command, ResetSession):
            self.values, self.prepared = {}, {}
            return self._reply()
        if isinstance(command, RollbackTransaction):
            return self._roll_back()
        if isinstance(command, _STATUS_COMMANDS):
            return self._report_status(command)
        if isinstance(command, BeginTransaction):
            return self._begin(False)
        if self.server.refuse_next:
            return self._reply(self.server.refuse_next.pop(0))
        if isinstance(command, RunPrepared):
            if command.name not in self.prepared:
                return self._reply(EndpointError.UNKNOWN_NAME)
            shape, is_write = self.prepared[command.name]
            kind = "WRITE" if is_write else "READ"
            return self._run_text(
                command.request_id, f"{kind} {shape} {command.arguments}", command.after
            )
        return self._run_text(command.request_id, command.text, command.after)

    def _report_status(self, command: Any) -> EndpointReply:
        server = self.server
        if server.busy_statuses:
            server.busy_statuses -= 1
            return self._reply(EndpointError.BUSY)
        term = server.rig.terms[server.group]
        if isinstance(command, PauseReceiving) and not server.is_primary:
            if command.term > term:
                server.paused_term = command.term
        elif isinstance(command, ResumeReceiving):
            server.paused_term = None
            server.receive(list(server.rig.primary(server.group).log))
        received = server.log[-1]
        role = "primary" if server.is_primary else "replica"
        row = f"{role} {term} {received} 0 0 0 1"
        reply = self._reply(rows=(row,), received=received)
        return replace(reply, term=term, is_replica=not server.is_primary)

    def _run_text(
        self, request_id: str, text: str, after: Position | None
    ) -> EndpointReply:
        server = self.server
        if after is not None and server.position < after:
            return self._reply(EndpointError.NOT_CAUGHT_UP)
        word = text.split(" ")[0]
        if word == "BEGIN":
            return self._begin(text.endswith("READ"))
        if word == "ROLLBACK":
            return self._roll_back()
        if word == "COMMIT":
            return self._commit(request_id)
        is_in_read_write = (
            self.state is SessionState.IN_TRANSACTION and not self.is_read_only
        )
        if (word == "WRITE" or is_in_read_write) and not server.is_primary:
            if self.state is SessionState.IN_TRANSACTION:
                self.state = SessionState.FAILED
            return self._reply(EndpointError.NOT_PRIMARY)
        rig = server.rig
        rig.runs.append(
            Run(
                request_id,
                text,
                server.name,
                rig.timers.now_ms(),
                dict(self.values),
                self.transaction,
                self.customer,
            )
        )
        if word == "WRITE":
            if self.state is SessionState.IN_TRANSACTION:
                self.written.append(request_id)
            else:
                rig.committed.append(request_id)
                rig.commit_groups[request_id] = server.group
                self._uncommitted = server.commit()
        else:
            rig.check_read(request_id, server)
        return self._reply(None, (f"row of {request_id}",), f"signed {request_id}")

    def _begin(self, is_read_only: bool) -> EndpointReply:
        if not is_read_only and not self.server.is_primary:
            return self._reply(EndpointError.NOT_PRIMARY)
        self.server.rig.transaction_count += 1
        self.transaction = self.server.rig.transaction_count
        self.is_read_only = is_read_only
        self.state = SessionState.IN_TRANSACTION
        self.written = []
        return self._reply()

    def _commit(self, request_id: str) -> EndpointReply:
        if self.state is SessionState.FAILED:
            self._end()
            return self._reply(EndpointError.FAILED)
        if self.written and not self.server.is_primary:
            self._end()
            return self._reply(EndpointError.NOT_PRIMARY)
        rig = self.server.rig
        rig.commit_values[request_id] = dict(self.values)
        if self.written:
            self.server.rig.committed.extend(self.written)
            self.server.rig.commit_groups[request_id] = self.server.group
            self._uncommitted = self.server.commit()
        self._end()
        return self._reply(None, (), f"signed {request_id}")

    def _roll_back(self) -> EndpointReply:
        self._end()
        return self._reply()

    def _end(self) -> None:
        self.state = SessionState.IDLE
        self.transaction = None
        self.written = []


class FakeConnector:
    """Open the connections of one host to endpoints."""

    def __init__(self, rig: "PlatformRig", client: str) -> None:
        self._rig = rig
        self._client = client

    def connect(self, endpoint: Announcement, customer: str = "") -> Promise[Any]:
        promise: Promise[Any] = Promise()
        server = self._rig.servers.get(endpoint.endpoint)
        rig = self._rig

        def finish() -> None:
            if server is not None and server.is_replaced_by_another:
                error = EndpointError.WRONG_ENDPOINT
                promise.resolve(Err(ConnectFailed("misrouted", error)))
                return
            if server is None or not server.is_up:
                if server is None or not server.is_silent:
                    refused = ConnectFailed("connection refused", is_unreachable=True)
                    promise.resolve(Err(refused))
                return
            if self._client in server.unreachable_from:
                return
            if len(server.sessions) + server.lingering >= server.max_connections:
                server.refused_connections += 1
                error = EndpointError.TOO_MANY_CONNECTIONS
                promise.resolve(Err(ConnectFailed("reset", error)))
                return
            rig.opened_connections += 1
            promise.resolve(Ok(FakeSession(server, self._client, customer)))

        delay_ms = (
            2 * rig.one_way_delay_ms(self._client, server) + 12.0 if server else 1.0
        )
        rig.timers.call_later(delay_ms, finish)
        rig.timers.call_later(
            900.0, lambda: promise.resolve(Err(ConnectFailed("no session in time")))
        )
        return promise


class FakePromotions:
    """The promotion service of the platform, which checks fencing tokens.

    The next `unanswered` orders get no answer in time, and are executed after
    `late_execution_ms`. While it `is_down`, orders reach nobody and are refused. An
    order is open until it has taken effect, is refused, or a later one is accepted.
    `unprotected` has each commit that was acknowledged while the endpoint of an open
    order lacked it, with that endpoint.
    """

    def __init__(self, rig: "PlatformRig") -> None:
        self._rig = rig
        self.orders: list[PromotionOrder] = []
        self.unanswered = 0
        self.late_execution_ms = 4_000.0
        self.is_down = False
        self.open: dict[int, PromotionOrder] = {}
        self.unprotected: list[tuple[Position, str]] = []

    def check_commit(self, position: Position) -> None:
        """Check a commit that is acknowledged now against all open orders."""
        for order in self.open.values():
            server = self._rig.servers.get(order.endpoint)
            if server is not None and position not in server.log:
                self.unprotected.append((position, server.name))

    def settle(self, endpoint: str) -> None:
        """Close the accepted orders for an endpoint that has become the primary."""
        newest_tokens = self._rig.newest_fencing_tokens
        for token, order in list(self.open.items()):
            is_accepted = token <= newest_tokens.get(order.group, 0)
            if order.endpoint == endpoint and is_accepted:
                del self.open[token]

    def promote(self, order: PromotionOrder) -> Promise[PromotionAnswer]:
        self.orders.append(order)
        promise: Promise[PromotionAnswer] = Promise()
        timers = self._rig.timers
        if self.is_down:
            no_answer = PromotionAnswer(False, False, False, 0)
            timers.call_later(2.0, lambda: promise.resolve(no_answer))
            return promise
        self.open[order.fencing_token] = order
        for position in self._rig.confirmed:
            self.check_commit(position)
        if self.unanswered:
            self.unanswered -= 1
            timers.call_later(self.late_execution_ms, lambda: self._execute(order))
            timers.call_later(
                800.0, lambda: promise.resolve(PromotionAnswer(False, False, False, 0))
            )
            return promise
        timers.call_later(10.0, lambda: promise.resolve(self._execute(order)))
        return promise

    def _execute(self, order: PromotionOrder) -> PromotionAnswer:
        rig = self._rig
        newest_token = rig.newest_fencing_tokens.get(order.group, 0)
        server = rig.servers.get(order.endpoint)
        if order.fencing_token < newest_token or server is None or not server.is_up:
            self.open.pop(order.fencing_token, None)
            return PromotionAnswer(True, False, True, 409)
        rig.newest_fencing_tokens[order.group] = order.fencing_token
        for token, other in list(self.open.items()):
            if other.group == order.group and token < order.fencing_token:
                del self.open[token]
        if rig.primary_names[order.group] == order.endpoint:
            self.settle(order.endpoint)
        else:
            rig.timers.call_later(
                rig.promotion_duration_ms, lambda: rig.make_primary(server)
            )
        return PromotionAnswer(True, True, False, 200)


class _RigLink:
    """The link of one host, which sends through the rig."""

    def __init__(self, rig: "PlatformRig", name: str) -> None:
        self._rig = rig
        self._name = name

    def send(self, peer: str, message: Any) -> None:
        self._rig.deliver(self._name, peer, message)


class EventRecorder:
    """An event log that keeps all events in memory."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def record(self, event: Event) -> None:
        self.events.append(event)

    def of(self, kind: type[Event]) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]


def route(
    database: str, consistency: Consistency, bound_ms: int = 1_500, **fields: Any
) -> Route:
    values: dict[str, Any] = {
        "name": f"r-{database}",
        "database": database,
        "group": GROUP,
        "consistency": consistency,
        "statement_timeout_ms": 1_000,
        "target_latency_ms": 500,
        "priority": 1,
        "max_staleness_ms": bound_ms,
        "max_attempts": 2,
    }
    return Route(**(values | fields))


def configuration(version: int = 1, **fields: Any) -> Configuration:
    routes = (
        route("strict", Consistency.PRIMARY),
        route("bounded", Consistency.BOUNDED),
        route("own", Consistency.OWN_WRITES, 2_500),
    )
    values: dict[str, Any] = {
        "version": version,
        "routes": routes,
        "groups": (DatabaseGroup(GROUP, 45, 0),),
        "document": f"document {version}".encode(),
    }
    return Configuration(**(values | fields))


class PlatformRig:
    """Endpoints, entry hosts and control hosts on a manually advanced clock."""

    def __init__(
        self,
        entry_hosts: int = 3,
        control_hosts: int = 5,
        seed: int = 1,
        synchronous_replicas: int = 0,
    ) -> None:
        self.synchronous_replicas = synchronous_replicas
        self.confirmed: list[Position] = []
        self.lost_commits: list[Position] = []
        self.timers = ManualTimerService(start_ms=50_000.0)
        self.random = random.Random(seed)
        self.events = EventRecorder()
        self.meters = Meters()
        self.runs: list[Run] = []
        self.committed: list[str] = []
        self.stale_reads: list[str] = []
        # By request, and then by group.
        self.required_positions: dict[str, dict[str, Position]] = {}
        self.commit_groups: dict[str, str] = {}
        self.commit_values: dict[str, dict[str, str]] = {}
        self.acknowledged: list[Acknowledged] = []
        # The group and position of each commit that a promotion has rolled back.
        self.rolled_back: set[tuple[str, Position]] = set()
        self.own_commits: dict[CallerSession, list[Acknowledged]] = {}
        self.transaction_count = 0
        self.opened_connections = 0
        self.servers: dict[str, FakeServer] = {}
        self.primary_names: dict[str, str] = {}
        self.terms: dict[str, int] = {}
        self.newest_fencing_tokens: dict[str, int] = {}
        self.promotion_duration_ms = 600.0
        self.promotions = FakePromotions(self)
        self.cut_links: set[frozenset[str]] = set()
        self.one_way_cuts: set[tuple[str, str]] = set()
        self.entries: dict[str, RelayNode] = {}
        self.controls: dict[str, ClusterNode] = {}
        self.disks: dict[str, MemoryDisk] = {}
        # Announcements, departures and former members, as `DirectoryCache` saves them.
        self.saved_directories: dict[str, tuple[Any, Any, Any]] = {}
        self.identities: dict[str, str] = {}
        self.scopes: dict[str, ScopedTimerService] = {}
        self.addresses = [f"10.0.0.{n}:7440" for n in range(1, control_hosts + 1)]
        self.seeds = tuple(self.addresses[:3])
        # By address, as in the settings file with which a control host first started.
        self.settings_seeds: dict[str, tuple[str, ...]] = {}
        self.entry_count = entry_hosts
        self._request = 0
        self._disk_count = 0

    # Groups and hosts: starts, stops, the leader and waits on the clock

    def add_group(self, group: str = GROUP) -> None:
        self.terms[group] = 3
        for number, domain in enumerate(DOMAIN_REGIONS, start=1):
            name = f"{group}-{number}"
            self.servers[name] = FakeServer(
                self,
                name,
                group,
                f"10.9.{len(self.servers)}.1:9000",
                domain,
                is_primary=number == 1,
                log=[Position(3, 1)],
                applied=1,
            )
        self.primary_names[group] = f"{group}-1"

    def start_control(self, address: str, is_first_start: bool = False) -> ClusterNode:
        founders = tuple(f"{seed}#first" for seed in self.seeds)
        if address not in self.disks:
            self.disks[address] = MemoryDisk()
            self._disk_count += 1
            is_founder = is_first_start and address in self.seeds
            self.identities[address] = "first" if is_founder else f"{self._disk_count}"
        identity = self.identities[address]
        settings_seeds = self.settings_seeds.setdefault(address, self.seeds)
        name = f"{address}#{identity}"
        scope = ScopedTimerService(self.timers)
        journal = Journal(self.disks[address])
        domain = list(DOMAIN_REGIONS)[self.addresses.index(address) % 3]
        node = ClusterNode(
            ClusterConfig(
                name,
                domain,
                f"control at {address}",
                settings_seeds,
                founders if identity == "first" else (),
                2,
                HEARTBEAT_MS,
            ),
            _RigLink(self, name),
            FakeConnector(self, address),
            self.promotions,
            scope,
            random.Random(self.random.random()),
            journal,
            journal.load().ok_value,
            self.events,
        )
        self.controls[address] = node
        self.scopes[address] = scope
        node.restore_directory(*self.saved_directories.get(address, ((), (), ())))
        node.start()
        return node

    def stop_control(self, address: str, lose_disk: bool = False) -> None:
        self.scopes[address].close()
        directory = self.controls.pop(address).directory
        self.saved_directories[address] = (
            directory.announcements,
            directory.departures,
            directory.former_members.announcements,
        )
        self.disks[address].crash(self.random)
        if lose_disk:
            del self.disks[address]
            del self.saved_directories[address]

    def start_entry(self, number: int) -> RelayNode:
        address = f"10.1.0.{number}:7440"
        domain = list(DOMAIN_REGIONS)[(number - 1) % 3]
        scope = ScopedTimerService(self.timers)
        node = RelayNode(
            f"entry {number}",
            Topology(domain, DOMAIN_REGIONS),
            self.seeds,
            _RigLink(self, address),
            FakeConnector(self, address),
            scope,
            random.Random(self.random.random()),
            self.events,
            self.meters,
        )
        self.entries[address] = node
        self.scopes[address] = scope
        node.start()
        return node

    def cut_power(self, address: str) -> None:
        """Stop an entry host; endpoints count its connections for `LINGER_MS` more."""
        self.scopes[address].close()
        del self.entries[address]
        for server in self.servers.values():
            lost = [s for s in server.sessions if s.client == address]
            for session in lost:
                session.close()
            server.lingering += len(lost)
            self.timers.call_later(
                LINGER_MS, partial(server.release_lingering, len(lost))
            )

    def start(self, initial_configuration: Configuration | None = None) -> None:
        """Start all hosts, and wait until all entry hosts can serve callers."""
        if not self.servers:
            self.add_group()
        for address in self.addresses:
            self.start_control(address, is_first_start=True)
        for number in range(1, self.entry_count + 1):
            self.start_entry(number)
        self.timers.call_every(HEARTBEAT_MS, self.send_heartbeats)
        self.wait_for(lambda: self.leader is not None and len(self.voters) == 5)
        self.send_heartbeats()
        group = DatabaseGroup(GROUP, 45, self.synchronous_replicas)
        default = configuration(1, groups=(group,))
        assert self.replace(initial_configuration or default)
        self.wait_for(lambda: all(e.is_ready for e in self.entries.values()))
        self.timers.advance(1_500.0)

    @property
    def last_request_id(self) -> str:
        """The ID of the last statement that was sent."""
        return f"q{self._request}"

    @property
    def leader(self) -> ClusterNode | None:
        ready = [n for n in self.controls.values() if n.raft.is_ready_leader]
        return max(ready, key=lambda node: node.raft.term, default=None)

    @property
    def voters(self) -> frozenset[str]:
        leader = self.leader
        return leader.raft.voters if leader else frozenset()

    def wait_for(self, is_met: Callable[[], bool], limit_ms: float = 20_000.0) -> None:
        if not self.timers.advance_until(is_met, limit_ms):
            raise AssertionError("the condition was not met within the time limit")

    def wait(self, promise: Promise[Any], limit_ms: float = 20_000.0) -> Any:
        self.wait_for(lambda: promise.is_done, limit_ms)
        return promise.value

    # Operators: replacement of the configuration

    def replace(
        self, new_configuration: Configuration, address: str | None = None
    ) -> bool:
        for _ in range(20):
            control_address = address or self.random.choice(list(self.controls))
            outcome = self.wait(
                self.controls[control_address].replace_configuration(new_configuration)
            )
            if outcome.value == "durable":
                return True
            if address is not None:
                return False
            self.timers.advance(200.0)
        return False

    # Servers: lookups, heartbeats, promotions and logs

    def members(self, group: str) -> list[FakeServer]:
        return [s for s in self.servers.values() if s.group == group]

    def primary(self, group: str = GROUP) -> FakeServer:
        return self.servers[self.primary_names[group]]

    def replicas(self, group: str = GROUP) -> list[FakeServer]:
        return [s for s in self.members(group) if s.name != self.primary_names[group]]

    def send_heartbeats(self) -> None:
        for server in self.servers.values():
            if server.is_up:
                self.send_heartbeat(server)

    def send_heartbeat(self, server: FakeServer) -> Promise[bool] | None:
        reachable = [a for a in self.controls if a not in server.unreachable_from]
        if not reachable:
            return None
        control_address = self.random.choice(reachable)
        return self.controls[control_address].receive_heartbeat(server.announcement())

    def make_primary(self, server: FakeServer) -> None:
        """Make a server the primary of a new term, with the log that it has received.

        Commits missing from its log are rolled back. Its position stays one of the
        old term until its first own commit.
        """
        old = self.servers[self.primary_names[server.group]]
        old.is_primary = False
        self.terms[server.group] += 1
        self.primary_names[server.group] = server.name
        server.is_primary = True
        self.promotions.settle(server.name)
        server.applied = len(server.log)
        kept = set(server.log)
        self.rolled_back |= {(old.group, p) for p in old.log if p not in kept}
        if self.synchronous_replicas:
            self.lost_commits += [p for p in self.confirmed if p not in kept]
            self.confirmed = [p for p in self.confirmed if p in kept]
        old.check_receipts()
        for member in self.members(server.group):
            member.paused_term = None
        for commits in (self.acknowledged, *self.own_commits.values()):
            commits[:] = [
                commit
                for commit in commits
                if commit.group != server.group or commit.position in kept
            ]
        for other in self.members(server.group):
            if other is not server:
                self.catch_up(other)
        for changed in (old, server):
            if changed.is_up:
                self.send_heartbeat(changed)

    def catch_up(self, server: FakeServer) -> None:
        leader = self.primary(server.group)
        if server is leader or not server.is_up:
            return
        common = [p for p in server.log if p in set(leader.log)]
        server.log = common
        server.applied = min(server.applied, len(common))
        server.receive(list(leader.log))

    # Callers: sessions, statements and the check for stale reads

    def open(self, database: str, entry: int = 1, key: str = "") -> CallerSession:
        node = self.entries[f"10.1.0.{entry}:7440"]
        session = self.wait(spawn(node.open_session(database, key)))
        assert isinstance(session, CallerSession)
        return session

    def send(
        self, session: CallerSession, text: str, bound_ms: float = 0.0
    ) -> Promise[CallerReply]:
        """Send a statement, and record which position a read must see."""
        self._request += 1
        request_id = f"q{self._request}"
        now_ms = self.timers.now_ms()
        required: dict[str, Position] = {}
        for commit in (
            *(c for c in self.acknowledged if c.at_ms <= now_ms - bound_ms),
            *self.own_commits.get(session, ()),
        ):
            newest = required.get(commit.group, commit.position)
            required[commit.group] = max(newest, commit.position)
        self.required_positions[request_id] = required
        promise = spawn(session.handle(parse_statement(request_id, text)))
        is_write = text.startswith(("WRITE", "EXECUTE")) or text == "COMMIT"

        def record_commit() -> None:
            reply = promise.value
            group = self.commit_groups.get(request_id)
            if not (is_write and reply.error is None and reply.position and group):
                return
            # A promotion may roll a commit back while its reply is under way.
            if (group, reply.position) not in self.rolled_back:
                commit = Acknowledged(self.timers.now_ms(), group, reply.position)
                self.acknowledged.append(commit)
                if session.database == "own":
                    self.own_commits.setdefault(session, []).append(commit)

        promise.add_callback(record_commit)
        return promise

    def run(
        self, session: CallerSession, text: str, bound_ms: float = 0.0
    ) -> CallerReply:
        reply: CallerReply = self.wait(self.send(session, text, bound_ms))
        return reply

    def check_read(self, request_id: str, server: FakeServer) -> None:
        """Record a read as stale if the server lacks the commit that it must see.

        Commits that a promotion has rolled back need not be seen.
        """
        required = self.required_positions.get(request_id, {}).get(server.group)
        acknowledged = {
            commit.position
            for commit in self.acknowledged
            if commit.group == server.group
        }
        if required is None or required not in acknowledged:
            return
        if required not in server.log[: server.applied]:
            self.stale_reads.append(f"{request_id} at {server.name} lacks {required}")

    # Links: delays, delivery of messages and cuts

    def one_way_delay_ms(self, client: str, server: FakeServer) -> float:
        return 0.5 if client.startswith("10.1.0.1:") else 6.0

    def deliver(self, sender: str, peer: str, message: Any) -> None:
        ends = sender.partition("#")[0], peer.partition("#")[0]
        if frozenset(ends) in self.cut_links or ends in self.one_way_cuts:
            return
        delay_ms = self.random.uniform(1.0, 12.0)
        self.timers.call_later(delay_ms, lambda: self._arrive(sender, peer, message))

    def _arrive(self, sender: str, peer: str, message: Any) -> None:
        address = peer.partition("#")[0]
        node: Any = self.controls.get(address) or self.entries.get(address)
        if node is None:
            return
        scope = self.scopes[address]
        scope.run(lambda: node.on_message(sender, message))

    def isolate(self, address: str, others: list[str]) -> None:
        self.cut_links |= {frozenset((address, other)) for other in others}

    def heal(self) -> None:
        self.cut_links.clear()
        self.one_way_cuts.clear()


def parse_statement(request_id: str, text: str) -> Any:
    """Return a statement as the caller protocol decodes it."""
    from azurerelay.platform import decode_caller_line

    return decode_caller_line(f"QUERY {request_id} {text}").ok_value


__all__ = [
    "GROUP",
    "Begin",
    "Commit",
    "PlatformRig",
    "Read",
    "Rollback",
    "Write",
    "configuration",
    "route",
]
