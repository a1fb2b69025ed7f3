"""Runs a cluster of daemon processes on the loopback interface."""

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

OPERATOR_TOKEN = "bench-token"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
FAILURE_DOMAINS = ("north", "central", "south")
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class ClusterShape:
    """The number of processes of each kind and the latencies added between them.

    `endpoints` counts stand-ins per group. `between_domains_ms` delays each link
    message between failure domains; `endpoint_round_trip_ms` is added to each call to
    a stand-in. `service_ms`, `connect_ms`, `lag_ms`, `slots` and `connection_limit`
    are the settings of each stand-in.
    """

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
    """Start a cluster on entry as a context manager and kill it on exit.

    Settings, logs and data are kept in a temporary folder that is deleted on exit.
    `addresses` maps each process to the address that callers, operators or, for a
    stand-in, entry hosts connect to.
    """

    shape: ClusterShape
    folder: Path = field(init=False)
    addresses: dict[str, str] = field(default_factory=dict)
    _processes: dict[str, "subprocess.Popen[bytes]"] = field(default_factory=dict)

    def __enter__(self) -> "Cluster":
        self.folder = Path(tempfile.mkdtemp(prefix="azurerelay-bench-"))
        self._write_settings()
        for name in self.process_names:
            self.start(name)
        return self

    def __exit__(self, *unused: object) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(STOP_TIMEOUT_S)
        shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def process_names(self) -> list[str]:
        """The names of all processes, control hosts first."""
        return sorted(self.addresses, key=lambda n: (not n.startswith("control"), n))

    @property
    def entry_host_names(self) -> list[str]:
        """The names of the entry hosts."""
        return [name for name in self.process_names if name.startswith("entry-")]

    @property
    def control_host_names(self) -> list[str]:
        """The names of the control hosts."""
        return [name for name in self.process_names if name.startswith("control-")]

    def pid(self, name: str) -> int:
        """Return the process id of a cluster member."""
        return self._processes[name].pid

    def start(self, name: str) -> None:
        """Start one process with its settings file; append its output to its log."""
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

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to one process; wait for its exit after SIGKILL and SIGTERM."""
        self._processes[name].send_signal(number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._processes[name].wait(STOP_TIMEOUT_S)

    def cpu_s(self, name: str) -> float:
        """Return the CPU time in seconds that a process has used."""
        return process_cpu_s(self.pid(name))

    def rss_mb(self, name: str) -> float:
        """Return the resident memory of a process in MiB."""
        return process_rss_mb(self.pid(name))

    def log_tail(self, name: str) -> str:
        """Return the last 2,000 characters of a process's log."""
        return (self.folder / f"{name}.log").read_text(errors="replace")[-2000:]

    def _write_settings(self) -> None:
        shape = self.shape
        voters = [
            {
                "name": f"control-{number}",
                "link": free_address(),
                "failure_domain": FAILURE_DOMAINS[(number - 1) % len(FAILURE_DOMAINS)],
            }
            for number in range(1, shape.control_hosts + 1)
        ]
        for voter in voters:
            self._write_file(
                voter["name"],
                "operators",
                {
                    "role": "control",
                    "name": voter["name"],
                    "failure_domain": voter["failure_domain"],
                    "operators": free_address(),
                    "link": voter["link"],
                    "data_folder": str(self.folder / voter["name"]),
                    "voters": voters,
                    "tokens": [
                        {
                            "name": "bench",
                            "sha256": hashlib.sha256(
                                OPERATOR_TOKEN.encode()
                            ).hexdigest(),
                        }
                    ],
                    "between_domains_ms": shape.between_domains_ms,
                },
            )
        for number in range(1, shape.entry_hosts + 1):
            self._write_file(
                f"entry-{number}",
                "callers",
                {
                    "role": "entry",
                    "name": f"entry-{number}",
                    "failure_domain": FAILURE_DOMAINS[
                        (number - 1) % len(FAILURE_DOMAINS)
                    ],
                    "callers": free_address(),
                    "link": free_address(),
                    "control_hosts": voters,
                    "between_domains_ms": shape.between_domains_ms,
                },
            )
        entry_addresses = [self.addresses[name] for name in self.entry_host_names]
        for group in shape.groups:
            for number in range(1, shape.endpoints + 1):
                self._write_file(
                    f"{group}-{number}",
                    "listen",
                    {
                        "role": "standin",
                        "name": f"{group}-{number}",
                        "group": group,
                        "failure_domain": FAILURE_DOMAINS[
                            (number - 1) % len(FAILURE_DOMAINS)
                        ],
                        "listen": free_address(),
                        "entry_hosts": entry_addresses,
                        "slots": shape.slots,
                        "connection_limit": shape.connection_limit,
                        "connect_ms": shape.connect_ms,
                        "service_ms": shape.service_ms,
                        "lag_ms": shape.lag_ms,
                        "round_trip_ms": shape.endpoint_round_trip_ms,
                    },
                )

    def _write_file(
        self, name: str, address_key: str, settings: dict[str, Any]
    ) -> None:
        self.addresses[name] = settings[address_key]
        (self.folder / f"{name}.json").write_text(json.dumps(settings))


def free_address() -> str:
    """Return a loopback address whose port is unused at the time of the call."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def process_cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def process_rss_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def wait_until(condition: Any, timeout_s: float = START_TIMEOUT_S) -> None:
    """Poll a condition every 50 ms; raise `TimeoutError` if it stays false."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"condition not met within {timeout_s:g} s")
        time.sleep(0.05)
