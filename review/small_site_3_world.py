"""Stand-ins for scripted cases: servers, platform, operator and clients, on loopback.

They follow the published pages of the platform. All of them run in the process of the
script; the project's own hosts run as separate processes (`fleet.py`).
"""

import asyncio
import json
import time
from dataclasses import dataclass, field

ONE_WAY_S = 0.012  # between regions, as on the site sheets
IN_ZONE_S = 0.0002  # in a zone, as in the site file
HANDSHAKE_S = 0.012  # a new connection, as on the site sheets
HEARTBEAT_S = 1.2
LINE_LIMIT = 2**20


class Record:
    """Writes what was sent, answered and run to a file, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, *words):
        print(f"{self.now():8.3f}", *words, file=self._file, flush=True)

    def close(self):
        self._file.close()


@dataclass(frozen=True)
class Entry:
    """A commit in the log of a service."""

    term: int
    number: int
    request: str
    items: tuple

    @property
    def position(self):
        return f"{self.term}.{self.number}"


@dataclass
class Service:
    """The servers of a service, and what only the platform knows of them."""

    name: str
    sync_replicas: int = 0
    promote_s: float = 1.0
    term: int = 3
    primary: object = None
    servers: list = field(default_factory=list)
    newest_token: int = 0
    acknowledged: dict = field(default_factory=dict)  # position: request, by servers
    lost: list = field(default_factory=list)
    switches: list = field(default_factory=list)


class Server:
    """A database server of the platform."""

    def __init__(self, world, service, name, address, zone, role="replica"):
        self.world, self.service, self.name = world, service, name
        self.address, self.zone, self.role = address, zone, role
        first = Entry(service.term, 1, "-", ())
        self.log = service.primary.log[:1] if service.primary else [first]
        self.applied = 1
        self.held_term = 0  # the term of a pause; 0 if it is not paused
        self.is_up = False
        self.is_deaf = False
        self.state = "ready"
        self.sequence = 0
        self.born = 0
        self.work_s = 0.004
        self.max_connections = 100
        self.writers = set()
        self.waiting = []
        self.late_order = lambda server, word: None  # delay of an order in seconds
        self.tasks = set()
        self._listener = None
        service.servers.append(self)
        if role == "primary":
            service.primary = self

    # Life

    async def start(self, keeps_log=True):
        """Start, also again; without its log, it "holds and knows nothing of before"."""
        host, port = self.address.split(":")
        self._listener = await asyncio.start_server(
            self._serve, host, int(port), limit=LINE_LIMIT
        )
        self.is_up = True
        self.held_term = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        if self is not self.service.primary:
            self.role = "replica"
            kept = set(self.service.primary.log)
            self.log = [entry for entry in self.log if entry in kept]
            if not keeps_log:
                self.log = self.log[:1]
            self.applied = min(self.applied, len(self.log))
        self.catch_up()
        self._spawn(self._heartbeats(self.born))

    def crash(self):
        """Stop at once; the log stays."""
        self.is_up = False
        self._listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        self.waiting.clear()
        self.world.record.write("server", self.name, "crashed")

    def drain(self):
        self.state = "draining"
        self.world.record.write("server", self.name, "drains")
        self._spawn(self.heartbeat())

    async def leave(self, after_s):
        """Drain, serve on for a while, deregister and exit."""
        self.drain()
        await asyncio.sleep(after_s)
        path = f"/v1/Instances.Deregister/{self.name}"
        await self.world.call_control("POST", path, {"born": self.born})
        self.crash()
        self.service.servers.remove(self)

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Log

    @property
    def position(self):
        applied = len(self.log) if self.role == "primary" else self.applied
        return self.log[applied - 1].position

    def way_s(self, other):
        return IN_ZONE_S if other.zone == self.zone else ONE_WAY_S

    def commit(self, request, items):
        entry = Entry(self.service.term, self.log[-1].number + 1, request, tuple(items))
        self.log.append(entry)
        self.applied = len(self.log)
        for other in self.service.servers:
            if other is not self:
                self.world.later(self.way_s(other), other.receive, self, len(self.log))
        return entry

    def receive(self, primary, count):
        if not self.is_up or self.is_deaf or self.held_term:
            return
        if self.service.primary is not primary or not primary.is_up or self is primary:
            return
        if len(self.log) < count and self.log == primary.log[: len(self.log)]:
            self.log = primary.log[:count]
            self.world.later(0.02, self._apply, count)
            self.world.later(self.way_s(primary), primary.check_receipts)

    def _apply(self, count):
        self.applied = max(self.applied, min(count, len(self.log)))

    def catch_up(self):
        primary = self.service.primary
        if primary is not None and primary is not self:
            way_s = 2 * self.way_s(primary)
            self.world.later(way_s, self.receive, primary, len(primary.log))

    def set_deaf(self, is_deaf):
        self.is_deaf = is_deaf
        self.world.record.write(
            "server", self.name, "receives nothing" if is_deaf else "receives again"
        )
        if not is_deaf:
            self.catch_up()

    def check_receipts(self):
        waiting, self.waiting = self.waiting, []
        for entry, answer in waiting:
            receipts = sum(
                entry in other.log[-400:]
                for other in self.service.servers
                if other is not self and other.is_up
            )
            if self.service.primary is not self or not self.is_up:
                continue  # the client of a deposed primary gets no answer
            if receipts >= self.service.sync_replicas:
                answer()
            else:
                self.waiting.append((entry, answer))

    # Heartbeats

    async def _heartbeats(self, born):
        while self.is_up and self.born == born:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def heartbeat(self):
        self.sequence += 1
        body = {
            "service": self.service.name,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 3,
            "state": self.state,
            "cold_remaining_ms": 0,
            "database_role": self.role,
            "seq": self.sequence,
            "born": self.born,
        }
        path = f"/v1/Instances.Heartbeat/{self.name}"
        await self.world.call_control("POST", path, body)

    # Connections

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        session = ServerSession(self, writer)
        try:
            while line := await reader.readline():
                await session.handle(line.decode().rstrip("\r\n"))
        except (OSError, ValueError, asyncio.CancelledError):
            pass  # the connection or the script ended
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class ServerSession:
    """A connection to a server."""

    def __init__(self, server, writer):
        self.server, self.writer = server, writer
        self.state, self.is_read_only = "I", False
        self.items, self.values, self.prepared = [], {}, {}

    def send(self, *lines):
        if not self.writer.transport.is_closing():
            self.writer.write("".join(f"{line}\r\n" for line in lines).encode())

    def ready(self):
        return f"READY {self.state} {self.server.position}"

    async def handle(self, line):
        server = self.server
        word, _, rest = line.partition(" ")
        if word == "START":
            fields = rest.split(" ")
            is_meant = fields[0] == server.service.name
            if len(fields) > 2:
                is_meant = is_meant and fields[2] == server.name
            if not is_meant:
                self.send("ERROR MISROUTED another server")
                self.writer.close()
            elif len(server.writers) > server.max_connections:
                self.send("ERROR TOOMANY connections")
                self.writer.close()
            else:
                await asyncio.sleep(2 * ONE_WAY_S + HANDSHAKE_S)
                self.send(self.ready())
            return
        if word == "TERMINATE":
            self.writer.close()
            return
        request, _, text = rest.partition(" ")
        after = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            after = tuple(int(part) for part in position.split("."))
        await self.run(request, text, after)

    async def run(self, request, text, after):
        server = self.server
        word, _, rest = text.partition(" ")
        if word in ("STATUS", "PAUSE", "RESUME"):
            await asyncio.sleep(ONE_WAY_S)
            self.order(word, rest)
            return
        if word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            await asyncio.sleep(server.work_s)
        if not server.is_up:
            return
        if word == "RESET":
            self.values, self.prepared = {}, {}
            self.send("COMPLETE -", self.ready())
        elif word in ("SET", "PREPARE"):
            name, _, value = rest.partition(" ")
            (self.values if word == "SET" else self.prepared)[name] = value
            self.send("COMPLETE -", self.ready())
        elif word == "ROLLBACK":
            self.state, self.items = "I", []
            self.send("COMPLETE -", self.ready())
        elif self.state == "E":
            self.state = "I" if word == "COMMIT" else "E"
            self.send("ERROR MALFORMED the transaction failed", self.ready())
        elif after is not None and self._applied_position() < after:
            self.send("ERROR LAGGING the log lacks it", self.ready())
        elif word == "BEGIN":
            self.begin(rest == "READ")
        elif word == "COMMIT":
            self.commit(request)
        else:
            self.run_statement(request, text)

    def _applied_position(self):
        return tuple(int(part) for part in self.server.position.split("."))

    def begin(self, is_read_only):
        if not is_read_only and self.server.role != "primary":
            self.send("ERROR READONLY a replica", self.ready())
            return
        self.state, self.is_read_only, self.items = "T", is_read_only, []
        self.send("COMPLETE -", self.ready())

    def commit(self, request):
        if self.state != "T":
            self.send("ERROR MALFORMED no transaction", self.ready())
        elif self.items and self.server.role != "primary":
            self.state, self.items = "I", []
            self.send("ERROR READONLY it lost the lead", self.ready())
        else:
            items, self.items, self.state = self.items, [], "I"
            self.finish(request, items)

    def run_statement(self, request, text):
        server = self.server
        word, _, rest = text.partition(" ")
        if word == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            if name not in self.prepared:
                self.send("ERROR NOSUCHNAME unknown", self.ready())
                return
            word, rest = self.prepared[name].split(" ")[0], arguments
        needs_primary = word == "WRITE" or (self.state == "T" and not self.is_read_only)
        if needs_primary and server.role != "primary":
            self.state = "E" if self.state == "T" else "I"
            self.send("ERROR READONLY a replica", self.ready())
            return
        server.world.record.write("run", server.name, request, text[:60])
        item, _, data = rest.partition(" ")
        if word == "READ":
            signature = server.world.sign(request, server)
            value = next(
                (
                    dict(entry.items)[item]
                    for entry in reversed(server.log[: server.applied])
                    if item in dict(entry.items)
                ),
                "none",
            )
            self.send(f"DATAROW {value}", f"COMPLETE {signature}", self.ready())
        elif self.state == "T":
            self.items.append((item, data))
            self.send(f"COMPLETE {server.world.sign(request, server)}", self.ready())
        else:
            self.finish(request, [(item, data)])

    def finish(self, request, items):
        """Answer a commit, after the receipts that it needs."""
        server = self.server
        signature = server.world.sign(request, server)
        if not items:
            self.send(f"COMPLETE {signature}", self.ready())
            return
        entry = server.commit(request, items)

        def answer():
            server.service.acknowledged[entry] = server.name
            self.send(f"COMPLETE {signature}", f"READY {self.state} {entry.position}")

        server.waiting.append((entry, answer))
        server.check_receipts()

    def order(self, word, rest):
        server = self.server
        delay_s = server.late_order(server, word) if word != "STATUS" else None
        if delay_s is None:
            server.world.record.write("order", server.name, word, rest)
            self.carry_out(word, rest)
            self.send(f"DATAROW {self.row()}", "COMPLETE -", self.ready())
            return
        server.world.record.write(
            "order", server.name, word, rest, f"unanswered, carried out in {delay_s} s"
        )
        server.world.later(delay_s, self.carry_out_late, word, rest, server.born)

    def carry_out_late(self, word, rest, born):
        if self.server.is_up and self.server.born == born:
            self.server.world.record.write(
                "order", self.server.name, word, rest, "carried out late"
            )
            self.carry_out(word, rest)

    def carry_out(self, word, rest):
        server = self.server
        if word == "PAUSE" and server.role == "replica":
            if int(rest) > server.service.term:
                server.held_term = int(rest)
        elif word == "RESUME":
            server.held_term = 0
            server.catch_up()

    def row(self):
        server = self.server
        received = server.log[-1].position
        return (
            f"{server.role} {server.service.term} {received} {server.held_term} 0 0"
            f" {len(server.writers)}"
        )


class Platform:
    """The platform's promotion call, which checks epoch numbers."""

    def __init__(self, world, address):
        self.world, self.address = world, address
        self.orders = []

    async def start(self):
        host, port = self.address.split(":")
        self._listener = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            headers = dict(
                line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line
            )
            body = await reader.readexactly(int(headers["content-length"]))
            document = json.loads(body)
            token = int(headers["x-azurerelay-fencing-token"])
            holder = headers["x-azurerelay-duty-holder"]
            status = self.promote(document["service"], document["id"], token, holder)
            writer.write(
                f"HTTP/1.1 {status} Answer\r\nContent-Length: 0\r\n\r\n".encode()
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass  # the caller has gone
        finally:
            writer.close()

    def promote(self, service_name, name, token, holder):
        service = self.world.services[service_name]
        server = next((s for s in service.servers if s.name == name), None)
        status = 200
        if token < service.newest_token or server is None or not server.is_up:
            status = 409
        self.world.record.write("promotion", name, "token", token, holder, status)
        service.newest_token = max(token, service.newest_token)
        self.orders.append((token, holder, name, status))
        if status == 200 and server is not service.primary:
            self.world.later(service.promote_s, self.switch, service, server)
        return status

    def switch(self, service, server):
        old = service.primary
        if old is server:
            return
        kept = set(server.log)
        lost = [
            (entry.position, entry.request)
            for entry in service.acknowledged
            if entry not in kept
        ]
        service.acknowledged = {
            entry: by for entry, by in service.acknowledged.items() if entry in kept
        }
        service.term += 1
        service.primary = server
        server.role, old.role = "primary", "replica"
        server.applied = len(server.log)
        old.waiting.clear()
        self.world.record.write(
            "switch", old.name, "->", server.name, "at", server.log[-1].position
        )
        service.switches.append(server.name)
        if service.sync_replicas:
            now_s = time.monotonic()
            service.lost += [(*commit, now_s) for commit in lost]
            for position, request in lost:
                self.world.record.write("LOST", position, request)
        for other in service.servers:
            other.held_term = 0
            if other is not server:
                common = [e for e in other.log if e in kept]
                other.log = common
                other.applied = min(other.applied, len(common))
                other.catch_up()
        for changed in (old, server):
            if changed.is_up:
                changed._spawn(changed.heartbeat())


class World:
    """All stand-ins of a script."""

    def __init__(self, record):
        self.record = record
        self.services = {}
        self.control_addresses = []
        self._signatures = 0
        self._next_control = 0
        self.run_by = {}

    def later(self, delay_s, call, *arguments):
        asyncio.get_running_loop().call_later(delay_s, call, *arguments)

    def sign(self, request, server):
        self._signatures += 1
        signature = f"{self._signatures:x}.{server.name}.{request}"
        return signature

    async def call_control(self, method, path, body=None, addresses=None):
        """Call control hosts in turn until one answers; return status and body."""
        addresses = addresses or self.control_addresses
        data = json.dumps(body).encode() if body is not None else b""
        for _ in range(2 * len(addresses)):
            self._next_control += 1
            address = addresses[self._next_control % len(addresses)]
            try:
                answer = await asyncio.wait_for(
                    http_call(address, method, path, data), 1.0
                )
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue
            if answer[0] < 500:
                return answer
        return 0, b""


async def http_call(address, method, path, data):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
        head += "Content-Type: application/json\r\n"
        writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
        answer = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = 0
        for line in answer.split("\r\n"):
            if line.lower().startswith("content-length:"):
                length = int(line.split(":")[1])
        return int(answer.split(" ")[1]), await reader.readexactly(length)
    finally:
        writer.close()


class Client:
    """A session of a client with an entry host."""

    def __init__(self, world, address, database, name):
        self.world, self.address, self.database = world, address, database
        self.name = name
        self.reader = self.writer = None
        self.count = 0

    async def open(self):
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port), limit=LINE_LIMIT
        )
        self.writer.write(f"START {self.database} {self.name}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readline(), 2.0)).decode()
        return line.startswith("READY")

    async def run(self, text, timeout_s=3.0):
        """Run a statement; return (outcome, rows, state); the outcome is OK or a code."""
        self.count += 1
        request = f"{self.name}x{self.count}"
        self.world.record.write("sent", request, self.address, text[:60])
        outcome, rows, state = "NOANSWER", [], ""
        try:
            self.writer.write(f"QUERY {request} {text}\r\n".encode())
            async with asyncio.timeout(timeout_s):
                while line := (await self.reader.readline()).decode().rstrip("\r\n"):
                    word, _, rest = line.partition(" ")
                    if word == "DATAROW":
                        rows.append(rest)
                    elif word == "COMPLETE":
                        outcome = "OK"
                    elif word == "ERROR":
                        outcome = rest.split(" ")[0]
                    elif word == "READY":
                        state = rest
                        break
        except (OSError, TimeoutError):
            pass  # no answer
        self.world.record.write("answered", request, outcome, *rows[:1], state)
        return outcome, rows, state

    def close(self):
        if self.writer is not None:
            self.writer.close()
