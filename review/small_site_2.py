"""A small deployment on loopback: hosts as processes, the rest as stand-ins.

The control and entry hosts are started with the commands of the deploy file. The
database servers, the platform and the clients run in the event loop of the script and
speak what PROTOCOL.md says.
"""

import asyncio
import json
import math
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[1]
BEAT_S = 1.2
ZONES = {"north-pos": "north", "central-cha": "central", "south-sfo": "south"}
DATABASE = "lepu270"
SERVICE = "huvo11a"
# A replica receives a commit this much later: the sheet's "replicas 20 ms behind".
LAG_MEAN_S, LAG_SPREAD, LAG_MAX_S = 0.020, 0.6, 0.120


def now_ms() -> int:
    return int(time.time() * 1000)


def draw_lag_s() -> float:
    median = LAG_MEAN_S * math.exp(-(LAG_SPREAD**2) / 2)
    return min(LAG_MAX_S, random.lognormvariate(math.log(median), LAG_SPREAD))


class Record:
    """The file of what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def write(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:9.4f} {text}\n")


async def http_call(
    address: str, method: str, path: str, body: bytes, timeout_s: float = 1.0
) -> int:
    """Return the status of an HTTP request; 0 without a response."""
    host, port = address.split(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                    f"Content-Type: application/json\r\nConnection: close\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )
                line = await reader.readline()
                return int(line.split()[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0


class Transaction:
    """An open transaction of a connection."""

    def __init__(self, is_read_only: bool) -> None:
        self.is_read_only = is_read_only
        self.writes: list[str] = []


class Server:
    """A server of the service: a primary or a replica."""

    def __init__(self, group: "Group", name: str, address: str, zone: str) -> None:
        self.group = group
        self.name = name
        self.address = address
        self.zone = zone
        self.role = "replica"
        self.log: list[tuple[int, int, str]] = []  # term, number, request id
        self.term = 1
        self.is_paused = False
        self.is_up = False
        self.state = "ready"
        self.leave_noted_at = math.inf  # when it was first acknowledged as draining
        self.runs: list[tuple[float, str]] = []  # when clients' statements arrived
        self.answers = asyncio.Event()  # cleared while it is dark
        self.answers.set()
        self.receives_at = 0.0  # when the last commit on its way arrives
        self.born = now_ms()
        self.seq = 0
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beat_now = asyncio.Event()

    @property
    def position(self) -> str:
        term, number, _ = self.log[-1] if self.log else (self.term, 0, "")
        return f"{term}.{number}"

    def holds(self, index: int, entry: tuple[int, int, str]) -> bool:
        return len(self.log) > index and self.log[index] is entry

    async def start(self) -> None:
        """Listen; the log of an earlier start is kept."""
        host, port = self.address.split(":")
        self.born, self.seq, self.is_paused, self.is_up = now_ms(), 0, False, True
        self._listener = await asyncio.start_server(
            self._serve, host, int(port), limit=2**21
        )
        self.report_now()

    def crash(self) -> None:
        """End as a killed process does: nothing listens, all connections break."""
        self.is_up = False
        assert self._listener is not None
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def report_now(self) -> None:
        self._beat_now.set()

    def go_dark(self) -> None:
        """Answer nothing and send nothing; connections stay open."""
        self.answers.clear()

    def come_back(self) -> None:
        self.answers.set()
        self.report_now()

    async def beat(self) -> None:
        """Send liveness reports to any control host, and at once after a change."""
        while True:
            self._beat_now.clear()
            if self.is_up and self.answers.is_set():
                self.seq += 1
                body = {
                    "service": SERVICE,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 3,
                    "state": self.state,
                    "cold_remaining_ms": 0,
                    "database_role": self.role,
                    "seq": self.seq,
                    "born": self.born,
                }
                path = f"/v1/Instances.Heartbeat/{self.name}"
                for address in self.group.control_addresses():
                    status = await http_call(
                        address, "POST", path, json.dumps(body).encode()
                    )
                    if 200 <= status < 300:
                        if body["state"] == "draining":
                            noted_at = min(self.leave_noted_at, time.monotonic())
                            self.leave_noted_at = noted_at
                        break
            try:
                async with asyncio.timeout(BEAT_S):
                    await self._beat_now.wait()
            except TimeoutError:
                pass

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._session(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        state: dict[str, object] = {"transaction": None, "prepared": {}}
        while line := await reader.readline():
            await self.answers.wait()
            word, _, rest = line.decode().rstrip("\r\n").partition(" ")
            if word == "START":
                service, _, caller = rest.partition(" ")
                expected = caller.partition(" ")[2]
                if service != SERVICE or expected not in ("", self.name):
                    writer.write(f"ERROR MISROUTED {self.name}\r\n".encode())
                    return
                writer.write(f"READY I {self.position}\r\n".encode())
                continue
            if word != "QUERY":
                return
            request_id, _, text = rest.partition(" ")
            outcome = await self._run(state, request_id, text)
            await self.answers.wait()
            if not self.is_up:
                return
            code = "I" if state["transaction"] is None else "T"
            if outcome.startswith("ERROR") and code == "T":
                code = "E" if "BUSY" not in outcome else "T"
            writer.write(f"{outcome}READY {code} {self.position}\r\n".encode())

    async def _run(self, state: dict, request_id: str, text: str) -> str:
        if request_id != "-":
            self.runs.append((time.monotonic(), request_id))
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            wanted, _, text = rest.partition(" ")
            have = tuple(int(part) for part in self.position.split("."))
            if have < tuple(int(part) for part in wanted.split(".")):
                return f"ERROR LAGGING {self.name}\r\n"
            word, _, rest = text.partition(" ")
        done = "COMPLETE -\r\n"
        mac = f"COMPLETE {self.term}.{self.name}.{request_id}\r\n"
        transaction = state["transaction"]
        prepared = state["prepared"]
        if word in ("STATUS", "PAUSE", "RESUME"):
            if word == "PAUSE" and self.role == "replica" and int(rest) > self.term:
                self.is_paused = True
            if word == "RESUME":
                self.is_paused = False
                self.group.resume(self)
            row = f"{self.role} {self.term} {self.position} {self.term} 0 0 1"
            return f"DATAROW {row}\r\n{done}"
        if word == "RESET":
            prepared.clear()
            return done
        if word in ("SET", "DEALLOCATE"):
            return done
        if word == "PREPARE":
            name, kind, _ = rest.split(" ")
            prepared[name] = kind
            return done
        if word == "ROLLBACK":
            state["transaction"] = None
            return done
        if word == "BEGIN":
            if rest != "READ" and self.role != "primary":
                return f"ERROR READONLY {self.name}\r\n"
            state["transaction"] = Transaction(rest == "READ")
            return done
        if word == "EXECUTE":
            name = rest.partition(" ")[0]
            if name not in prepared:
                return "ERROR NOSUCHNAME unknown\r\n"
            word = prepared[name]
        is_plain = transaction is not None and not transaction.is_read_only
        if self.role != "primary" and (word == "WRITE" or is_plain):
            return f"ERROR READONLY {self.name}\r\n"
        if word == "READ":
            return f"DATAROW row\r\n{mac}"
        if word == "WRITE" and transaction is not None:
            transaction.writes.append(request_id)
            return mac
        if word == "WRITE":
            return mac if await self.group.commit(self, request_id) else ""
        if word == "COMMIT" and transaction is not None:
            state["transaction"] = None
            if not transaction.writes or await self.group.commit(self, request_id):
                return mac
            return ""
        return "ERROR MALFORMED unknown\r\n"


class Group:
    """The servers of the service, their replication and their promotions."""

    def __init__(
        self, record: Record, control_addresses: Callable[[], list[str]]
    ) -> None:
        self.record = record
        self.control_addresses = control_addresses
        self.servers: list[Server] = []
        self.acknowledged: dict[str, str] = {}  # request id: position
        self.lost: list[str] = []
        self.promotions = 0
        self._received = asyncio.Condition()

    @property
    def primary(self) -> Server:
        return next(s for s in self.servers if s.role == "primary")

    def find(self, name: str) -> Server | None:
        return next((s for s in self.servers if s.name == name), None)

    async def commit(self, primary: Server, request_id: str) -> bool:
        """Append a commit; return once a replica has received it (`sync_replicas` 1)."""
        number = primary.log[-1][1] + 1 if primary.log else 1
        entry = (primary.term, number, request_id)
        primary.log.append(entry)
        index = len(primary.log) - 1
        for replica in self.servers:
            if replica.role == "replica":
                asyncio.create_task(self._ship(primary, replica))
        async with self._received:
            while not any(
                s is not primary and s.holds(index, entry) for s in self.servers
            ):
                if primary.role != "primary" or not primary.is_up:
                    return False
                await self._received.wait()
        if primary.role != "primary" or not primary.is_up:
            return False
        self.acknowledged[request_id] = f"{entry[0]}.{entry[1]}"
        return True

    async def _ship(self, primary: Server, replica: Server) -> None:
        """Bring what the primary has now to a replica, in order, some ms later."""
        count = len(primary.log)
        loop = asyncio.get_running_loop()
        replica.receives_at = max(replica.receives_at, loop.time() + draw_lag_s())
        await asyncio.sleep(replica.receives_at - loop.time())
        await primary.answers.wait()
        is_sent = primary.role == "primary" and primary.is_up
        if not is_sent or not replica.is_up or replica.is_paused:
            return
        if replica.role != "replica" or count <= len(replica.log):
            return
        replica.log += primary.log[len(replica.log) : count]
        async with self._received:
            self._received.notify_all()

    def resume(self, replica: Server) -> None:
        for server in self.servers:
            if server.role == "primary" and server.is_up:
                asyncio.create_task(self._ship(server, replica))

    async def promote(self, server: Server) -> None:
        """Let a server lead the next term with what it has received."""
        if server.role == "primary":
            return
        self.promotions += 1
        held = {request_id for *_, request_id in server.log}
        lost = [name for name in self.acknowledged if name not in held]
        self.lost += lost
        for name in lost:
            del self.acknowledged[name]
        self.record.write(
            f"PROMOTED {server.name} at {server.position}; acknowledged and not in "
            f"its log: {lost}"
        )
        term = max(s.term for s in self.servers) + 1
        for other in self.servers:
            other.term, other.is_paused = term, False
            if other is not server:
                other.role = "replica"
                del other.log[len(server.log) :]
                same = 0
                while same < len(other.log) and other.log[same] == server.log[same]:
                    same += 1
                del other.log[same:]
        server.role = "primary"
        async with self._received:
            self._received.notify_all()
        for other in self.servers:
            other.report_now()
            if other is not server:
                asyncio.create_task(self._ship(server, other))


class Platform:
    """Takes promotion orders; checks their epoch numbers."""

    def __init__(self, group: Group, promote_s: float) -> None:
        self.group = group
        self.promote_s = promote_s
        self.silent = False  # orders get no answer, and are carried out late
        self.late_s = 0.0
        self.orders = 0
        self.last_holder = ""
        self.last_server: Server | None = None
        self._seen = 0

    async def start(self, address: str) -> None:
        host, port = address.split(":")
        self._listener = await asyncio.start_server(self._serve, host, int(port))

    def go_down(self) -> None:
        """Refuse connections until it is started again."""
        self._listener.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            headers = {}
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            order = json.loads(body)
            token = int(headers["x-azurerelay-fencing-token"])
            holder = headers["x-azurerelay-duty-holder"]
            self.orders += 1
            self.last_holder = holder
            self.last_server = self.group.find(order["id"])
            self.group.record.write(f"ORDER {order} {holder} {token}")
            if self.silent:
                asyncio.create_task(self._carry_out_late(order, token))
                await reader.read()
                return
            status = self._take(order, token)
            self.group.record.write(f"ORDER {token} answered {status}")
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, KeyError):
            pass
        finally:
            writer.close()

    async def _carry_out_late(self, order: dict, token: int) -> None:
        await asyncio.sleep(self.late_s)
        status = self._take(order, token)
        self.group.record.write(f"ORDER {token} carried out late: {status}")

    def _take(self, order: dict, token: int) -> int:
        server = self.group.find(order["id"])
        if token < self._seen or server is None or not server.is_up:
            return 409
        self._seen = token
        if server.role != "primary":
            asyncio.create_task(self._switch(server))
        return 200

    async def _switch(self, server: Server) -> None:
        await asyncio.sleep(self.promote_s)
        if server.is_up:
            await self.group.promote(server)


class Site:
    """Control and entry hosts as processes, with their settings files."""

    def __init__(self, folder: Path, controls: int = 5, entries: int = 3) -> None:
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        self._commands = {
            role: deploy["roles"][role]["run"].split() for role in ("control", "entry")
        }
        self._folder = Path(tempfile.mkdtemp(prefix="azurerelay-review-"))
        self._logs = folder
        self._processes: dict[str, subprocess.Popen] = {}
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.net = net
        self.control_ips = [f"{net}.{10 + n}" for n in range(controls)]
        self.entry_ips = [f"{net}.{50 + n}" for n in range(entries)]
        self.platform = f"{net}.200:8783"
        self.controls = [f"{ip}:8782" for ip in self.control_ips]
        self.entries = [f"{ip}:8784" for ip in self.entry_ips]

    def server_address(self, number: int) -> str:
        return f"{self.net}.{100 + number}:8080"

    def start_all(self) -> None:
        for number in range(len(self.control_ips)):
            self.start("control", number)
        for number in range(len(self.entry_ips)):
            self.start("entry", number)

    def start(self, role: str, number: int, is_first: bool = True) -> None:
        name = f"{role}-{number}"
        is_control = role == "control"
        ip = (self.control_ips if is_control else self.entry_ips)[number]
        listen = {"control_plane": f"{ip}:8782"}
        if not is_control:
            listen = {"frontend": f"{ip}:8784", "readiness_address": f"{ip}:8785"}
        data = self._folder / name
        data.mkdir(exist_ok=True)
        settings = {
            "node_name": name,
            "role": role,
            "machine_class": "core" if is_control else "frontend",
            "serves": ["control_plane" if is_control else "frontend"],
            "ip_address": ip,
            "zone": list(ZONES)[number % 3],
            "region": list(ZONES.values())[number % 3],
            "zones": ZONES,
            "listen_addresses": listen,
            "internal_port_range": [7440, 7455],
            "seeds": self.controls[:3],
            "bootstrap": is_first,
            "counts_toward_tolerance": is_control,
            "limits": {
                "cpu_share": 0.86 if is_control else 0.731,
                "cores": 1,
                "memory_mb": 296 if is_control else 222,
                "file_descriptors": 1024,
                "link_mbps": 1000.0,
                "disk_mb": 128 if is_control else 0,
            },
            "data_directory": str(data) if is_control else None,
            "discovery": "registry",
            "entry_point": "virtual_ip",
            "heartbeat_interval_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {
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
            },
            "config_mode": "highest",
            "cloud_api": {
                "address": self.platform,
                "rate_per_s": 50.0,
                "duties": ["promotion"],
                "duty_per_s": 50.0,
            },
        }
        file = self._folder / f"{name}.json"
        file.write_text(json.dumps(settings))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["AZURERELAY_NODE_FILE"] = str(file)
        environment["PYTHONPATH"] = "target/deps"
        log = (self._folder / f"{name}.log").open("ab")
        self._processes[name] = subprocess.Popen(
            self._commands[role],
            cwd=REPOSITORY,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )

    def kill(self, role: str, number: int, how: int = signal.SIGKILL) -> None:
        process = self._processes[f"{role}-{number}"]
        process.send_signal(how)
        if how == signal.SIGKILL:
            process.wait()

    def log_of(self, role: str, number: int) -> str:
        return (self._folder / f"{role}-{number}.log").read_text(errors="replace")

    def events(self, role: str, number: int, *kinds: str) -> list[dict]:
        found = []
        for line in self.log_of(role, number).splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if isinstance(event, dict) and event.get("event") in kinds:
                found.append(event)
        return found

    def stop(self) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print(self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)


class Client:
    """A client with one session after another, one operation at a time."""

    def __init__(self, name: str, site: Site, record: Record) -> None:
        self.name = name
        self._site = site
        self._record = record
        self.successes: list[str] = []
        self.sent: dict[str, tuple[float, str]] = {}  # when, and to which entry host
        self.count = 0
        self.operations = 1_000_000  # in one session

    async def run(self, pause_s: float) -> None:
        """Write until cancelled, with pauses of `pause_s` on average."""
        while True:
            address = random.choice(self._site.entries)
            host, port = address.split(":")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.2)
                continue
            try:
                await self._session(address, reader, writer, pause_s)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.sleep(0.05)
            finally:
                writer.close()

    async def _session(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pause_s: float,
    ) -> None:
        writer.write(f"START {DATABASE}\r\n".encode())
        async with asyncio.timeout(2.0):
            if not (await reader.readline()).startswith(b"READY"):
                return
        for _ in range(self.operations):
            self.count += 1
            request_id = f"{self.name}-{self.count}"
            self.sent[request_id] = (time.monotonic(), address)
            self._record.write(f"SENT {request_id} WRITE to {address}")
            writer.write(f"QUERY {request_id} WRITE item{self.count} data\r\n".encode())
            reply = b""
            async with asyncio.timeout(4.0):
                while True:
                    line = await reader.readline()
                    if not line:
                        self._record.write(f"BROKEN {request_id}")
                        return
                    if line.startswith(b"READY"):
                        break
                    reply = line
            text = reply.decode().strip()
            self._record.write(f"ANSWERED {request_id} {text}")
            if text.startswith("COMPLETE"):
                self.successes.append(request_id)
            await asyncio.sleep(random.uniform(0.0, 2.0 * pause_s))


def manifest(version: int, sync_replicas: int) -> bytes:
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": "r-n2ctnfz",
                    "host": DATABASE,
                    "path_prefix": "/",
                    "kind": "primary",
                    "timeout_ms": 1000,
                    "target_latency_ms": 500,
                    "priority": 1,
                    "service": SERVICE,
                    "max_attempts": 2,
                }
            ],
            "services": [
                {
                    "name": SERVICE,
                    "health_path": "/health",
                    "max_connections": 45,
                    "protocol": "h1",
                    "tls": False,
                    "sync_replicas": sync_replicas,
                }
            ],
            "limits": {"transaction_idle_ms": 3000},
        }
    ).encode()


async def order_manifest(site: Site, body: bytes, limit_s: float = 30.0) -> bool:
    """Send a manifest until it is acknowledged."""
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        for address in site.controls:
            path = "/v1/Configuration.Replace"
            if await http_call(address, "POST", path, body) == 200:
                return True
        await asyncio.sleep(0.2)
    return False


async def end_tasks() -> None:
    """Cancel everything that still runs in the loop."""
    tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def finish(outcome: int, text: str, record: Record) -> int:
    record.write(text)
    print(text)
    sys.stdout.flush()
    return outcome
