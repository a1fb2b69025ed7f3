"""A control host, entry hosts and a stand-in endpoint as processes on loopback."""

import asyncio
import http.client
import json
import os
import random
import selectors
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from azurerelay.platform import (
    CONFIGURATION_REPLACE_PATH,
    HEARTBEAT_PATH_PREFIX,
    SETTINGS_VARIABLE,
)

GUARD_S = 30.0  # no wait lasts longer
SETTLE_S = 0.4  # a crowd is done once none of its connections has moved for this long
CALLER_PORT = 7442
CONTROL_PORT = 8782
READINESS_PORT = 7443
METRICS_PORT = 9464
ENDPOINT_PORT = 9000
BIG_ROWS = 10
BIG_ROW_BYTES = 1_000_000
_KIB_PER_MB = 1_024


class StandInEndpoint:
    """A primary that answers any statement, in a thread of the test process.

    `READ big` gets a reply of ten large rows, and `READ hold` none.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        assert self._started.wait(GUARD_S)

    def stop(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(GUARD_S)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(
            asyncio.start_server(
                self._serve, self._address, ENDPOINT_PORT, limit=4 * 2**20
            )
        )
        self._started.set()
        self._loop.run_forever()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
            self._loop.run_until_complete(asyncio.wait((task,)))
        server.close()
        self._loop.run_until_complete(server.wait_closed())
        self._loop.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        state = "I"
        try:
            while line := await reader.readline():
                text = line[:200].decode(errors="replace").rstrip("\r\n")
                words = text.split(" ")
                if words[0] == "START":
                    writer.write(b"READY I 1.1\r\n")
                    continue
                if "hold" in words:
                    continue
                state = {"BEGIN": "T", "COMMIT": "I", "ROLLBACK": "I"}.get(
                    words[2], state
                )
                if "big" in words:
                    for _ in range(BIG_ROWS):
                        writer.write(b"DATAROW " + b"x" * BIG_ROW_BYTES + b"\r\n")
                elif words[2] == "STATUS":
                    writer.write(b"DATAROW primary 1 1.1 0 0 0 1\r\n")
                writer.write(f"COMPLETE sig\r\nREADY {state} 1.1\r\n".encode())
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class HostProcess:
    """One host process, seen from outside."""

    def __init__(self, role: str, settings: dict[str, Any], folder: Path) -> None:
        file = folder / f"{settings['node_name']}.json"
        file.write_text(json.dumps(settings))
        self._log = (folder / f"{settings['node_name']}.log").open("wb")
        self._process = subprocess.Popen(
            [sys.executable, "-m", "azurerelay.hosts", role],
            env=os.environ | {SETTINGS_VARIABLE: str(file)},
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    @property
    def is_alive(self) -> bool:
        return self._process.poll() is None

    @property
    def peak_mb(self) -> float:
        """The largest resident set size so far."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmHWM:"))
        return int(line.split()[1]) / _KIB_PER_MB

    @property
    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def stop(self) -> None:
        self._process.kill()
        self._process.wait(GUARD_S)
        self._log.close()


class HostProcesses:
    """A control host that an entry host follows, with one group and one endpoint."""

    def __init__(self, memory_mb: int, file_descriptors: int) -> None:
        self._folder = tempfile.TemporaryDirectory()
        path = Path(self._folder.name)
        prefix = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.control_ip, self.entry_ip = f"{prefix}.1", f"{prefix}.2"
        self._endpoint = StandInEndpoint(f"{prefix}.3")
        common = {
            "zone": "a",
            "zones": {"a": "r"},
            "internal_port_range": [7440, 7440],
            "seeds": [f"{self.control_ip}:{CONTROL_PORT}"],
            "heartbeat_interval_ms": 60_000,
            "limits": {"memory_mb": memory_mb, "file_descriptors": file_descriptors},
        }
        control = common | {
            "node_name": "core-1",
            "serves": ["control_plane"],
            "ip_address": self.control_ip,
            "listen_addresses": {"control_plane": f"{self.control_ip}:{CONTROL_PORT}"},
            "bootstrap": True,
            "data_directory": str(path / "data"),
        }
        entry = common | {
            "node_name": "entry-1",
            "serves": ["frontend"],
            "ip_address": self.entry_ip,
            "listen_addresses": {
                "frontend": f"{self.entry_ip}:{CALLER_PORT}",
                "readiness_address": f"{self.entry_ip}:{READINESS_PORT}",
            },
            "bootstrap": False,
        }
        (path / "data").mkdir()
        self.control = HostProcess("control", control, path)
        self.entry = HostProcess("entry", entry, path)
        document = {
            "version": 1,
            "routes": [
                {
                    "name": "r-1",
                    "host": "db1",
                    "kind": "primary",
                    "timeout_ms": 5_000,
                    "target_latency_ms": 400,
                    "service": "s1",
                    "max_attempts": 2,
                }
            ],
            "services": [{"name": "s1", "max_connections": 400}],
        }
        announcement = {
            "service": "s1",
            "address": f"{prefix}.3:{ENDPOINT_PORT}",
            "zone": "a",
            "version": "v1",
            "slots": 100,
            "state": "ready",
            "cold_remaining_ms": 0,
            "database_role": "primary",
            "seq": 1,
            "born": 99,
        }
        try:
            self._post(CONFIGURATION_REPLACE_PATH, document)
            self._post(f"{HEARTBEAT_PATH_PREFIX}i-1", announcement)
            wait_until(self.serves)
        except BaseException:
            self.stop()
            raise

    def stop(self) -> None:
        self.entry.stop()
        self.control.stop()
        self._endpoint.stop()
        self._folder.cleanup()

    def _post(self, path: str, body: dict[str, Any]) -> None:
        data = json.dumps(body).encode()
        wait_until(lambda: self.http(self.control_ip, CONTROL_PORT, path, data) == 200)

    def http(
        self, address: str, port: int, path: str, body: bytes | None = None
    ) -> int:
        """Return the status of the response to a request; 0 if there is none."""
        method = "GET" if body is None else "POST"
        connection = http.client.HTTPConnection(address, port, timeout=GUARD_S)
        try:
            connection.request(method, path, body)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def call(self, statement: bytes) -> bytes:
        """Open a session, run a statement and return all that was answered."""
        address = (self.entry_ip, CALLER_PORT)
        try:
            with socket.create_connection(address, timeout=GUARD_S) as caller:
                caller.sendall(b"START db1 key\r\nQUERY q1 " + statement + b"\r\n")
                received = b""
                while received.count(b"READY") < 2 and b"ERROR" not in received:
                    data = caller.recv(2**20)
                    if not data:
                        break
                    received += data
                return received
        except OSError:
            return b""

    def serves(self, statement: bytes = b"READ a") -> bool:
        """Whether an ordinary request is answered."""
        return b"COMPLETE" in self.call(statement)


class Crowd:
    """Many connections, each of which sends its own bytes as far as they are taken."""

    def __init__(self, address: tuple[str, int], count: int) -> None:
        self._sockets: list[socket.socket] = []
        for _ in range(count):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(address)
            self._sockets.append(client)

    def send(self, data: bytes, piece_bytes: int, repeat: int = 1) -> None:
        """Send `data`, `repeat` times, until all is sent or nothing moves any more."""
        total = len(data) * repeat
        progress = dict.fromkeys(self._sockets, 0)
        view = memoryview(data * 2)
        selector = selectors.DefaultSelector()
        for client in self._sockets:
            selector.register(client, selectors.EVENT_WRITE)
        guard_s = time.monotonic() + GUARD_S
        while selector.get_map() and time.monotonic() < guard_s:
            ready = selector.select(SETTLE_S)
            if not ready:
                break
            for key, _ in ready:
                client: Any = key.fileobj
                start = progress[client] % len(data)
                count = min(piece_bytes, total - progress[client], len(data))
                try:
                    progress[client] += client.send(view[start : start + count])
                except BlockingIOError:
                    continue
                except OSError:
                    selector.unregister(client)
                    continue
                if progress[client] >= total:
                    selector.unregister(client)
        selector.close()

    def receive(self, max_bytes: int) -> None:
        """Read at most this many bytes of what has arrived on each connection."""
        for client in self._sockets:
            try:
                client.recv(max_bytes)
            except OSError:
                pass

    def close(self) -> None:
        for client in self._sockets:
            client.close()


def wait_until(is_met: Any) -> None:
    guard_s = time.monotonic() + GUARD_S
    while not is_met():
        if time.monotonic() > guard_s:
            raise AssertionError("the condition was not met within the time limit")
        time.sleep(0.02)
