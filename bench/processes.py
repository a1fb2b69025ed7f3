"""Starts the daemons as separate processes on loopback, and ends them by pid."""

import hashlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

TOKEN = "bench-token"
HERTZ = os.sysconf("SC_CLK_TCK")
DOMAINS = ("north", "central", "south")
START_LIMIT_S = 30.0
STOP_LIMIT_S = 10.0


@dataclass(frozen=True, slots=True)
class ClusterShape:
    """How many processes of each kind, and the delays put between them."""

    entry_hosts: int = 4
    control_hosts: int = 3
    groups: tuple[str, ...] = ("roster",)
    endpoints: int = 3
    between_domains_ms: float = 0.0
    endpoint_round_trip_ms: float = 0.0
    service_ms: float = 0.0
    connect_ms: float = 12.0
    lag_ms: float = 0.0
    slots: int = 3
    connection_limit: int = 45


@dataclass(slots=True)
class Cluster:
    """A running cluster; use it as a context manager."""

    shape: ClusterShape
    folder: Path = field(init=False)
    addresses: dict[str, str] = field(default_factory=dict)
    _processes: dict[str, "subprocess.Popen[bytes]"] = field(default_factory=dict)

    def __enter__(self) -> "Cluster":
        self.folder = Path(tempfile.mkdtemp(prefix="azurerelay-bench-"))
        self._write_settings()
        for name in self.names:
            self.start(name)
        return self

    def __exit__(self, *unused: object) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(STOP_LIMIT_S)
        shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def names(self) -> list[str]:
        """All processes, control hosts first."""
        return sorted(self.addresses, key=lambda n: (not n.startswith("control"), n))

    @property
    def entries(self) -> list[str]:
        """The entry hosts."""
        return [name for name in self.names if name.startswith("entry-")]

    @property
    def controls(self) -> list[str]:
        """The control hosts."""
        return [name for name in self.names if name.startswith("control-")]

    def pid(self, name: str) -> int:
        """Return a process's id."""
        return self._processes[name].pid

    def start(self, name: str) -> None:
        """Start one process on its settings file."""
        role = name.partition("-")[0]
        command = role if role in ("entry", "control") else "standin"
        with (self.folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "azurerelay",
                    command,
                    str(self.folder / f"{name}.json"),
                ],
                stdout=log,
                stderr=log,
            )

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process."""
        self._processes[name].send_signal(number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._processes[name].wait(STOP_LIMIT_S)

    def cpu_s(self, name: str) -> float:
        """Return the processor time that a process has used."""
        return process_cpu_s(self.pid(name))

    def rss_mb(self, name: str) -> float:
        """Return a process's resident memory."""
        return process_rss_mb(self.pid(name))

    def log_tail(self, name: str) -> str:
        """Return the end of a process's log."""
        return (self.folder / f"{name}.log").read_text(errors="replace")[-2000:]

    def _write_settings(self) -> None:
        shape = self.shape
        controls = [
            {
                "name": f"control-{number}",
                "link": free_address(),
                "failure_domain": DOMAINS[(number - 1) % len(DOMAINS)],
            }
            for number in range(1, shape.control_hosts + 1)
        ]
        for control in controls:
            self._write(
                control["name"],
                "operators",
                {
                    "role": "control",
                    "name": control["name"],
                    "failure_domain": control["failure_domain"],
                    "operators": free_address(),
                    "link": control["link"],
                    "data_folder": str(self.folder / control["name"]),
                    "voters": controls,
                    "tokens": [
                        {
                            "name": "bench",
                            "sha256": hashlib.sha256(TOKEN.encode()).hexdigest(),
                        }
                    ],
                    "between_domains_ms": shape.between_domains_ms,
                },
            )
        for number in range(1, shape.entry_hosts + 1):
            self._write(
                f"entry-{number}",
                "callers",
                {
                    "role": "entry",
                    "name": f"entry-{number}",
                    "failure_domain": DOMAINS[(number - 1) % len(DOMAINS)],
                    "callers": free_address(),
                    "link": free_address(),
                    "control_hosts": controls,
                    "between_domains_ms": shape.between_domains_ms,
                },
            )
        entries = [self.addresses[name] for name in self.entries]
        for group in shape.groups:
            for number in range(1, shape.endpoints + 1):
                self._write(
                    f"{group}-{number}",
                    "listen",
                    {
                        "role": "standin",
                        "name": f"{group}-{number}",
                        "group": group,
                        "failure_domain": DOMAINS[(number - 1) % len(DOMAINS)],
                        "listen": free_address(),
                        "entry_hosts": entries,
                        "slots": shape.slots,
                        "connection_limit": shape.connection_limit,
                        "connect_ms": shape.connect_ms,
                        "service_ms": shape.service_ms,
                        "lag_ms": shape.lag_ms,
                        "round_trip_ms": shape.endpoint_round_trip_ms,
                    },
                )

    def _write(self, name: str, address_key: str, settings: dict[str, Any]) -> None:
        self.addresses[name] = settings[address_key]
        (self.folder / f"{name}.json").write_text(json.dumps(settings))


def free_address() -> str:
    """Return a loopback address with a port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def process_cpu_s(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / HERTZ


def process_rss_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def wait_until(is_met: Any, limit_s: float = START_LIMIT_S) -> None:
    """Poll a condition; raise when it does not come about in time."""
    end = time.monotonic() + limit_s
    while not is_met():
        if time.monotonic() > end:
            raise TimeoutError("the condition did not come about in time")
        time.sleep(0.05)
