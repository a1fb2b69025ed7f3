"""Stand-ins for clients, servers, operator and platform, and a small fleet to test.

The fleet's programs run as separate processes, started with the commands of
`deploy/system.toml`. Everything listens on loopback addresses. Servers, clients, the
operator and the platform are part of the test's own process and speak what the users'
PROTOCOL.md says.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import deque
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[1]
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_MS = 1200
ZONES = {"east-1": "east", "east-2": "east", "west-1": "west", "south-1": "south"}
IN_ZONE_S, CROSS_ZONE_S, CROSS_REGION_S = 0.0002, 0.0014, 0.012  # one way


def one_way_s(zone, other):
    """Return how long a packet takes from one zone to another."""
    if zone == other:
        return IN_ZONE_S
    return CROSS_ZONE_S if ZONES[zone] == ZONES[other] else CROSS_REGION_S
PLATFORM_IP_TAIL = 250


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file `record.txt`: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", buffering=1 << 16)
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def __call__(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        self._file.close()


def free_network():
    """Return the first three parts of loopback addresses that nobody uses."""
    for _ in range(100):
        network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{network}.11", 9464))
            return network
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


async def http(address, method, path, body=None, headers=None, timeout=1.0):
    """Send one request over a new connection; return (status, body), or None."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else body
    if isinstance(data, dict):
        data = json.dumps(data).encode()
    extra = "".join(f"{k}: {v}\r\n" for k, v in (headers or {}).items())
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n{extra}"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode()
                + data
            )
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            length = 0
            for line in head.split(b"\r\n"):
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            return status, await reader.readexactly(length)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Fleet:
    """The processes of the system: control hosts and entry hosts."""

    def __init__(self, record, controls, entries, tolerated=1):
        self.record = record
        self.network = free_network()
        self.folder = Path(tempfile.mkdtemp(prefix="azurerelay-review-"))
        self.library_path = REPOSITORY / "target" / "deps"
        self.processes = {}
        self.ips, self.zones, self.roles = {}, {}, {}
        self.bounds = {
            "seed_lag_s": 3,
            "address_reuse_s": 2,
            "contact_ms": 5000,
            "ack_timeout_ms": 6000,
            "catch_up_s": 4,
            "drain_ms": 7000,
            "grace_period_s": 6,
            "loss_slack_ms": 200,
            "configuration_apply_ms": 3000,
            "regression_window_ms": 250,
            "max_stretch_ms": 15000,
            "recovery_s": 12,
            "enforce_fencing": True,
            "thaw_slack_ms": 300,
        }
        self.tolerated = tolerated
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        self.commands = {
            name: role["run"].split() for name, role in deploy["roles"].items()
        }
        for number, zone in enumerate(controls):
            self._add(f"control-{number + 1}", "control", zone, 11 + number)
        for number, zone in enumerate(entries):
            self._add(f"entry-{number + 1}", "entry", zone, 31 + number)
        self.platform_address = f"{self.network}.{PLATFORM_IP_TAIL}:8783"

    def _add(self, name, role, zone, tail):
        self.ips[name] = f"{self.network}.{tail}"
        self.zones[name], self.roles[name] = zone, role

    @property
    def controls(self):
        return [name for name, role in self.roles.items() if role == "control"]

    @property
    def entries(self):
        return [name for name, role in self.roles.items() if role == "entry"]

    def control_address(self, name):
        return f"{self.ips[name]}:8782"

    def caller_address(self, name):
        return f"{self.ips[name]}:8784"

    def readiness_address(self, name):
        return f"{self.ips[name]}:8785"

    def _settings(self, name, bootstrap):
        is_control = self.roles[name] == "control"
        disk = self.folder / name / "disk"
        listen = (
            {"control_plane": self.control_address(name)}
            if is_control
            else {
                "frontend": self.caller_address(name),
                "readiness_address": self.readiness_address(name),
            }
        )
        return {
            "node_name": name,
            "role": self.roles[name],
            "machine_class": "core" if is_control else "frontend",
            "serves": ["control_plane" if is_control else "frontend"],
            "ip_address": self.ips[name],
            "zone": self.zones[name],
            "region": ZONES[self.zones[name]],
            "zones": ZONES,
            "listen_addresses": listen,
            "internal_port_range": [7440, 7455],
            "seeds": [self.control_address(c) for c in self.controls[:3]],
            "bootstrap": bootstrap,
            "counts_toward_tolerance": is_control,
            "limits": {
                "cpu_share": 1.0,
                "cores": 1,
                "memory_mb": 296,
                "file_descriptors": 1605,
                "link_mbps": 350.0,
                "disk_mb": 128 if is_control else 0,
            },
            "data_directory": str(disk) if is_control else None,
            "discovery": "registry",
            "entry_point": "virtual_ip",
            "heartbeat_interval_ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql"],
            "fault_tolerance": {"machines": self.tolerated, "zones": 0, "regions": 0},
            "bounds": self.bounds,
            "config_mode": "highest",
            "cloud_api": {
                "address": self.platform_address,
                "rate_per_s": 50.0,
                "duties": ["promotion"],
                "duty_per_s": 50.0,
            },
        }

    async def start(self, name, bootstrap=False):
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        if self.roles[name] == "control":
            (folder / "disk").mkdir(exist_ok=True)
        settings = folder / "settings.json"
        settings.write_text(json.dumps(self._settings(name, bootstrap)))
        words = self.commands[self.roles[name]]
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["AZURERELAY_NODE_FILE"] = str(settings)
        environment["PYTHONPATH"] = str(self.library_path)
        log = (folder / "log.txt").open("ab")
        process = await asyncio.create_subprocess_exec(
            *words,
            cwd=REPOSITORY,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes[name] = process
        self.record(f"process {name} started")

    async def start_all(self):
        for name in self.roles:
            await self.start(name, bootstrap=True)

    def send_signal(self, name, number):
        self.record(f"process {name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    async def restart(self, name, number=signal.SIGKILL, down_s=0.2):
        self.send_signal(name, number)
        await self.processes[name].wait()
        self.record(f"process {name} ended")
        await asyncio.sleep(down_s)
        await self.start(name)

    def followed_control(self, entry):
        """Return the control host that an entry host follows, by its log."""
        chosen = None
        for line in (self.folder / entry / "log.txt").read_text().splitlines():
            if '"ControlHostChosen"' in line:
                ip = json.loads(line)["control_host"].partition(":")[0]
                chosen = next(n for n, known in self.ips.items() if known == ip)
        return chosen or "control-1"

    async def wait_ready(self, timeout_s=20.0):
        """Wait until every entry host says that it is ready."""
        deadline = time.monotonic() + timeout_s
        for name in self.entries:
            while True:
                answer = await http(self.readiness_address(name), "GET", "/v1/readiness")
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > deadline:
                    return False
                await asyncio.sleep(0.1)
        return True

    def unexpected_ends(self):
        return [n for n, p in self.processes.items() if p.returncode is not None]

    async def stop_all(self, keep_logs_in=None):
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()
        if keep_logs_in is not None:
            for name in self.processes:
                shutil.copy(self.folder / name / "log.txt", f"{keep_logs_in}/{name}.log")
        shutil.rmtree(self.folder, ignore_errors=True)


class Operator:
    """Sends manifests to any control host until one gets a clear answer."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record

    async def replace(self, manifest, timeout_s=20.0):
        """Send a manifest; return the time of its acknowledgement, or None."""
        controls = list(self.fleet.controls)
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            for name in controls:
                answer = await http(
                    self.fleet.control_address(name),
                    "POST",
                    "/v1/Configuration.Replace",
                    manifest,
                )
                status = answer[0] if answer else "none"
                self.record(f"operator version {manifest['version']} {name} {status}")
                if status == 200:
                    return self.record.now()
                if status in (400, 409, 412, 413, 422):
                    return None
                await asyncio.sleep(0.1)
        return None


def manifest(version, services, routes, idle_ms=3000):
    """Return a manifest.

    `services` are (name, max_connections, sync_replicas) and `routes` (database, kind,
    service, timeout_ms).
    """
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{database}",
                "host": database,
                "path_prefix": "/",
                "kind": kind,
                "timeout_ms": timeout_ms,
                "target_latency_ms": 800,
                "priority": 1,
                "service": service,
                "max_attempts": 2,
                **({} if kind == "primary" else {"max_staleness_ms": 2500}),
            }
            for database, kind, service, timeout_ms in routes
        ],
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": limit,
                "protocol": "h1",
                "tls": False,
                "sync_replicas": sync,
            }
            for name, limit, sync in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "transaction_idle_ms": idle_ms,
        },
    }


# Servers


class Commit:
    """An entry of a service's log."""

    __slots__ = ("number", "request", "term")

    def __init__(self, term, number, request):
        self.term, self.number, self.request = term, number, request


class Service:
    """A service: one primary and its replicas."""

    def __init__(self, name, record, sync=0, limit=102, promote_s=0.6):
        self.name, self.record, self.sync, self.limit = name, record, sync, limit
        self.promote_s = promote_s
        self.servers = []
        self.term = 1
        self.token = -1
        self.promotions = []
        self.rolled_back = set()
        self.commits = {}
        self.on_promoted = lambda server: None

    @property
    def primary(self):
        return next((s for s in self.servers if s.role == "primary"), None)

    def replicate(self, commit):
        """Send a commit to the replicas; return futures of their receipts."""
        receipts = []
        for replica in self.servers:
            if replica.role == "replica" and replica.is_up:
                receipts.append(asyncio.ensure_future(replica.receive_later(self)))
        return receipts

    def lost(self, requests):
        """Return the requests whose commits the primary does not hold."""
        held = {commit.request for commit in self.primary.log}
        return [request for request in requests if request not in held]

    def promote(self, server):
        """The named server leads the next term with what it had received."""
        if not server.is_up:
            self.record(f"platform: {server.id} is down, no promotion")
            return
        self.term += 1
        old = self.primary
        self.record(
            f"platform: {server.id} leads {self.name} in term {self.term} with "
            f"{server.received_position()}"
        )
        server.role, server.term, server.applied = "primary", self.term, len(server.log)
        self.rolled_back.update(c.request for c in old.log[len(server.log) :])
        self.promotions.append((self.record.now(), server, list(server.log)))
        for other in self.servers:
            if other is server:
                continue
            if other is old:
                other.role = "replica"
            length = 0
            for ours, theirs in zip(other.log, server.log, strict=False):
                if ours is not theirs:
                    break
                length += 1
            if len(other.log) > length:
                other.log = other.log[:length]
            other.applied = min(other.applied, length)
        for each in self.servers:
            each.report_now()
        self.on_promoted(server)


class Server:
    """A database server of a service."""

    def __init__(
        self,
        service,
        name,
        zone,
        address,
        fleet,
        record,
        role="replica",
        slots=3,
        queue=24,
        lag_s=0.02,
    ):
        self.service, self.id, self.zone, self.address = service, name, zone, address
        self.fleet, self.record, self.role = fleet, record, role
        self.slots, self.queue_limit = slots, queue
        self.lag_s = lag_s
        self.log, self.applied, self.term = [], 0, 1
        self.is_up, self.is_deaf, self.state = False, False, "ready"
        self.born, self.sequence = int(time.time() * 1000), 0
        self.busy, self.waiting = 0, deque()
        self.connections = set()
        self.work_s = {"READ": 0.024, "WRITE": 0.008, "COMMIT": 0.004, "STATUS": 0.001}
        self.spread = 0.0  # of the time that work takes
        self.loses_answers = 0.0  # the share of answers that are lost
        self.on_received = lambda request: None
        self.on_run = lambda request, text: None
        self.on_end = lambda request: None
        self.on_answer_lost = lambda lines: None
        self.last_ack = None
        self.drain_ack_at = None
        self._server = None
        self._beat_task = None
        self._beat_now = asyncio.Event()
        self._control = random.randrange(len(fleet.controls))
        service.servers.append(self)

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=2 * 1024 * 1024
        )
        self.is_up = True
        self._beat_task = asyncio.create_task(self._beat())

    def crash(self):
        """End as a killed process does: connections are reset, nothing listens."""
        self.record(f"server {self.id} crashes as {self.role} of {self.service.name}")
        self.is_up = False
        self._beat_task.cancel()
        self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def leave(self):
        """Deregister and end."""
        for name in self.fleet.controls:
            answer = await http(
                self.fleet.control_address(name),
                "POST",
                f"/v1/Instances.Deregister/{self.id}",
                {"born": self.born},
            )
            self.record(f"server {self.id} deregisters at {name}: {answer and answer[0]}")
            if answer and answer[0] == 200:
                break
        self.crash()

    def drain(self):
        self.record(f"server {self.id} drains as {self.role} of {self.service.name}")
        self.state = "draining"
        self.report_now()

    def report_now(self):
        self._beat_now.set()

    def report(self):
        self.sequence += 1
        return {
            "service": self.service.name,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "database_role": self.role,
            "seq": self.sequence,
            "born": self.born,
        }

    async def _beat(self):
        while True:
            self._beat_now.clear()
            for _ in self.fleet.controls:
                name = self.fleet.controls[self._control]
                body = self.report()
                answer = await http(
                    self.fleet.control_address(name),
                    "POST",
                    f"/v1/Instances.Heartbeat/{self.id}",
                    body,
                )
                is_acknowledged = answer is not None and answer[0] == 200
                if is_acknowledged and body["state"] == "draining":
                    if self.drain_ack_at is None:
                        self.drain_ack_at = self.record.now()
                        self.record(f"server {self.id}: {name} acknowledged draining")
                if is_acknowledged:
                    break
                self.record(
                    f"server {self.id}: report {body['state']} {body['database_role']} "
                    f"refused by {name}: {answer and answer[0]}"
                )
                self._control = (self._control + 1) % len(self.fleet.controls)
            try:
                async with asyncio.timeout(HEARTBEAT_MS / 1000.0):
                    await self._beat_now.wait()
            except TimeoutError:
                pass

    # The log

    def position(self):
        if not self.applied:
            return f"{self.log[0].term if self.log else 1}.0"
        last = self.log[self.applied - 1]
        return f"{last.term}.{last.number}"

    def received_position(self):
        return f"{self.log[-1].term}.{self.log[-1].number}" if self.log else "1.0"

    def has(self, position):
        term, _, number = position.partition(".")
        number = int(number)
        if number == 0:
            return True
        if self.applied < number:
            return False
        return self.log[number - 1].term == int(term)

    def holds(self, request):
        """Return whether the log, as far as it is applied, has a request's commit."""
        commit = self.service.commits[request]
        return commit.number <= self.applied and self.log[commit.number - 1] is commit

    async def receive_later(self, service):
        """Receive what the primary has now; wait while nothing arrives."""
        primary = service.primary
        target = len(primary.log)
        away_s = one_way_s(primary.zone, self.zone)
        await asyncio.sleep(away_s)
        while self.is_deaf and self.role == "replica":
            await asyncio.sleep(0.02)
        if not (self.is_up and self.role == "replica" and primary.role == "primary"):
            return False
        if not primary.is_up:
            return False
        if len(self.log) < target:
            common = len(self.log)
            if common and self.log[common - 1] is not primary.log[common - 1]:
                return False
            self.log.extend(primary.log[common:target])
        asyncio.get_running_loop().call_later(self.lag_s, self._apply, target)
        await asyncio.sleep(away_s)  # the way of the receipt
        return True

    def catch_up(self):
        """Receive at once what the primary has, as a server does that starts."""
        primary = self.service.primary
        if self.log == primary.log[: len(self.log)]:
            self.log = list(primary.log)
            self.applied = len(self.log)

    def _apply(self, count):
        if self.role == "replica":
            self.applied = max(self.applied, min(count, len(self.log)))

    async def commit(self, request):
        """Append a commit; return whether it may be acknowledged."""
        entry = Commit(self.term, len(self.log) + 1, request)
        self.log.append(entry)
        self.applied = len(self.log)
        self.service.commits[request] = entry
        receipts = self.service.replicate(entry)
        if self.service.sync:
            pending = set(receipts)
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                if any(task.result() for task in done):
                    break
            else:
                return False
        return self.is_up and self.role == "primary"

    # Sessions

    async def take_slot(self):
        if self.busy < self.slots:
            self.busy += 1
            return True
        if len(self.waiting) >= self.queue_limit:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await turn
        return True

    def work_time_s(self, kind):
        """Return how long a statement works."""
        factor = random.lognormvariate(0.0, self.spread) if self.spread else 1.0
        return self.work_s[kind] * min(5.0, factor)

    def free_slot(self):
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(True)
                return
        self.busy -= 1

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        session = Session(self, reader, writer)
        try:
            await session.run()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Session:
    """One connection to a server."""

    def __init__(self, server, reader, writer):
        self.server, self.reader, self.writer = server, reader, writer
        self.state = "I"
        self.is_read_only = False
        self.writes = []
        self.began_term = 0
        self.values, self.prepared = {}, {}
        self.is_answer_lost = False

    def send(self, *lines):
        if self.is_answer_lost:
            self.server.on_answer_lost(lines)
            return
        text = "".join(f"{line}\r\n" for line in lines)
        self.writer.write(text.encode())

    def ready(self):
        return f"READY {self.state} {self.server.position()}"

    async def line(self):
        data = await self.reader.readuntil(b"\r\n")
        return data[:-2].decode()

    async def run(self):
        server = self.server
        words = (await self.line()).split(" ")
        if words[0] != "START" or words[1] != server.service.name:
            self.send("ERROR MISROUTED another service")
            return
        if len(words) > 3 and words[3] != server.id:
            self.send("ERROR MISROUTED another server")
            return
        if len(server.connections) > server.service.limit:
            self.send("ERROR TOOMANY connections")
            return
        if not await server.take_slot():
            self.send("ERROR BUSY the queue is full")
            return
        try:
            await asyncio.sleep(0.012)
        finally:
            server.free_slot()
        self.send(self.ready())
        while True:
            word, _, rest = (await self.line()).partition(" ")
            if word == "TERMINATE":
                return
            request, _, text = rest.partition(" ")
            self.is_answer_lost = random.random() < server.loses_answers
            server.on_received(request)
            await self.query(request, text)
            server.on_end(request)
            await self.writer.drain()

    def fail(self, code, text="-"):
        if self.state == "T":
            self.state = "E"
            self.writes = []
        self.send(f"ERROR {code} {text}", self.ready())

    async def query(self, request, text):
        server = self.server
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        word, _, rest = text.partition(" ")
        if self.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            self.send("ERROR MALFORMED the transaction failed", self.ready())
        elif word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            self.send("COMPLETE -", self.ready())
        elif word == "RESET":
            self.values, self.prepared = {}, {}
            self.send("COMPLETE -", self.ready())
        elif word == "PREPARE":
            name, kind, shape = rest.split(" ")
            self.prepared[name] = (kind, shape)
            self.send("COMPLETE -", self.ready())
        elif word == "DEALLOCATE":
            self.prepared.pop(rest, None)
            self.send("COMPLETE -", self.ready())
        elif word == "ROLLBACK":
            self.state, self.writes = "I", []
            self.send("COMPLETE -", self.ready())
        elif word == "BEGIN":
            self.begin(rest == "READ", after, request)
        elif word in ("READ", "WRITE", "EXECUTE", "COMMIT", "STATUS"):
            await self.work(request, word, rest, text, after)
        else:
            self.fail("MALFORMED", word)

    def begin(self, is_read_only, after, request):
        server = self.server
        if after is not None and not server.has(after):
            self.fail("LAGGING", server.position())
            return
        if not is_read_only and server.role != "primary":
            self.fail("READONLY", server.id)
            return
        self.state, self.is_read_only, self.writes = "T", is_read_only, []
        self.began_term = server.term
        if request != "-":
            server.record(f"server {server.id} runs {request} BEGIN")
            server.on_run(request, "BEGIN")
        self.send("COMPLETE -", self.ready())

    async def work(self, request, word, rest, text, after):
        server = self.server
        kind = word
        if word == "EXECUTE":
            name = rest.split(" ")[0]
            if name not in self.prepared:
                self.fail("NOSUCHNAME", name)
                return
            kind = self.prepared[name][0]
        if word == "COMMIT" and self.state == "E":
            self.state = "I"
            self.send("ERROR ABORTED rolled back", self.ready())
            return
        if not await server.take_slot():
            self.fail("BUSY", "the queue is full") if word != "COMMIT" else self.send(
                "ERROR BUSY the queue is full", self.ready()
            )
            return
        try:
            if word == "STATUS":
                await asyncio.sleep(server.work_s["STATUS"])
                received = server.received_position()
                self.send(
                    f"DATAROW {server.role} {server.term} {received} 0 0 "
                    f"{server.busy} {len(server.connections)}",
                    "COMPLETE -",
                    self.ready(),
                )
                return
            if after is not None and not server.has(after):
                self.fail("LAGGING", server.position())
                return
            needs_lead = kind == "WRITE" or (self.state == "T" and not self.is_read_only)
            if word == "COMMIT" and not self.writes:
                needs_lead = False
            if needs_lead and server.role != "primary":
                self.fail("READONLY", server.id)
                return
            server.record(f"server {server.id} runs {request} {text}")
            server.on_run(request, text)
            await asyncio.sleep(server.work_time_s(kind))
            if not server.is_up:
                return
            if needs_lead and server.role != "primary":
                self.fail("READONLY", server.id)
                return
            if kind == "WRITE" and self.state == "T":
                self.writes.append(request)
            elif kind == "WRITE" or (word == "COMMIT" and self.writes):
                self.writes = []
                self.state = "I"
                if not await server.commit(request):
                    self.writer.transport.abort()
                    return
            elif word == "COMMIT":
                self.state = "I"
            rows = [f"DATAROW row{rest.split(' ')[0]}"] if kind == "READ" else []
            mac = f"{server.id}.{request}"
            self.send(*rows, f"COMPLETE {mac}", self.ready())
        finally:
            server.free_slot()


class Platform:
    """Takes promotion orders."""

    def __init__(self, address, services, record):
        self.address, self.record = address, record
        self.services = {service.name: service for service in services}
        self.is_silent = False
        self.last_order_at = None
        self._server = None

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            headers = {}
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            if self.is_silent:
                self.record(f"platform gives no answer to {body.decode()}")
                await reader.read()
                return
            status = self._promote(
                json.loads(body), int(headers["x-azurerelay-fencing-token"]), headers
            )
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode()
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _promote(self, order, token, headers):
        service = self.services[order["service"]]
        server = next((s for s in service.servers if s.id == order["id"]), None)
        holder = headers.get("x-azurerelay-duty-holder")
        status = 200
        if token < service.token or server is None or not server.is_up:
            status = 409
        service.token = max(service.token, token)
        self.record(f"platform: {holder} token {token} promotes {order}: {status}")
        if status == 200 and server.role != "primary":
            self.last_order_at = self.record.now()
            loop = asyncio.get_running_loop()
            loop.call_later(service.promote_s, service.promote, server)
        return status


class Client:
    """One session through an entry host; `query` sends one statement at a time."""

    def __init__(self, name, fleet, entry, database, record):
        self.name, self.fleet, self.entry = name, fleet, entry
        self.database, self.record = database, record
        self.reader = self.writer = None
        self.count = 0
        self.last_error = None  # the last result line of a reply that broke off

    def note(self, text):
        self.record(f"client {self.name} {text}")

    async def open(self, timeout=2.0):
        """Open the session; return True, the error line, or None without an answer."""
        host, _, port = self.fleet.caller_address(self.entry).rpartition(":")
        try:
            async with asyncio.timeout(timeout):
                self.reader, self.writer = await asyncio.open_connection(host, int(port))
                self.writer.write(f"START {self.database} {self.name}\r\n".encode())
                line = (await self.reader.readuntil(b"\r\n")).decode().strip()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            return None
        if line.startswith("READY"):
            return True
        self.close()
        return line

    async def query(self, text, timeout=5.0):
        """Send a statement; return (request id, outcome, state)."""
        self.count += 1
        request = f"{self.name}n{self.count:05d}"
        self.note(f"to {self.entry}: QUERY {request} {text}")
        outcome = self.last_error = None
        try:
            self.writer.write(f"QUERY {request} {text}\r\n".encode())
            async with asyncio.timeout(timeout):
                while True:
                    line = (await self.reader.readuntil(b"\r\n")).decode().strip()
                    word, _, rest = line.partition(" ")
                    if word in ("COMPLETE", "ERROR"):
                        outcome = line
                    elif word == "READY":
                        self.note(f"{request} got {outcome} / {line}")
                        return request, outcome, rest.split(" ")[0]
        except (OSError, asyncio.IncompleteReadError):
            self.last_error = outcome
            self.note(f"{request} got no answer: the connection ended ({outcome})")
            self.close()
            return request, "CLOSED", None
        except TimeoutError:
            self.note(f"{request} got no answer in time")
            self.close()
            return request, "SILENT", None

    def is_over(self):
        """Return whether the session has ended, or got a message that it must end for."""
        reader = self.reader
        return self.writer is None or reader.at_eof() or bool(reader._buffer)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


def run_case(folder, case):
    """Run `case(record)` for at most 115 s and exit with what it returns."""
    record = Record(folder)

    async def guarded():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(115):
            return await case(record)

    try:
        result = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError) as error:
        record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        result = NOT_RUN
    text = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}.get(result, "not run")
    record(text)
    record.close()
    print(text)
    sys.exit(result)
