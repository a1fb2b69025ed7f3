"""Propagation time of settings changes, and restart time of a control host.

Runs 20 entry hosts and 3 control hosts as separate processes with the latencies of the
childcare deployment; the leader is killed halfway. Targets: the p99 time from the
acceptance of a change until all entry hosts have applied it is at most 1 s, also with a
control host down; a restart after 10,000 changes takes at most twice as long as after
1,000, because it depends on the snapshot interval and not on the length of the history.
"""

import argparse
import asyncio
import random
import signal
import tempfile
import time
from pathlib import Path

import aiohttp

from azurerelay.consensus import Journal, RaftConfig, RaftNode
from azurerelay.membership import COMMAND_CODEC, ChangeSettings, ClusterState
from azurerelay.settings import Assignment
from azurerelay.storage import FolderDisk
from azurerelay.timing import ManualTimerService
from bench.client import Client
from bench.processes import Cluster, ClusterShape
from bench.report import percentile, print_report_and_exit

MAX_P99_MS = 1_000.0
MAX_RESTART_RATIO = 2.0
POLL_INTERVAL_S = 0.005
KILL_AFTER_FRACTION = 0.5
APPLY_TIMEOUT_S = 10.0


class StubLink:
    """The link of a single voter, which has no peers."""

    def send(self, peer: str, message: object) -> None:
        """Discard the message."""


async def applied_settings_number(client: Client, entry: str) -> int:
    """Return the settings number in an entry host's metrics; -1 if it has none."""
    reply = await client.get(entry, "/metrics")
    for line in str(reply.body).splitlines():
        if line.startswith("azurerelay_settings_number{"):
            return int(float(line.rpartition(" ")[2]))
    return -1


async def wait_until_applied(client: Client, entry: str, number: int) -> float:
    """Poll until an entry host has applied a settings number; return the time.

    The time is that of `time.perf_counter`. Raises `TimeoutError` after
    `APPLY_TIMEOUT_S`.
    """
    deadline = time.perf_counter() + APPLY_TIMEOUT_S
    while time.perf_counter() < deadline:
        if await applied_settings_number(client, entry) >= number:
            return time.perf_counter()
        await asyncio.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"{entry} did not apply settings number {number} in time")


async def change_once(client: Client, control_hosts: list[str], number: int) -> float:
    """Submit one change and return the time in ms until all entry hosts applied it.

    Retries until a control host accepts the change; the time starts at its acceptance.
    """
    while True:
        for control in control_hosts:
            try:
                reply = await client.change_settings(
                    control,
                    f"change-{number}",
                    number - 1,
                    "/",
                    {"reads.max_staleness_ms": 1_000 + number},
                )
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            if reply.status == 200:
                accepted_at = time.perf_counter()
                hosts = client.cluster.entry_host_names
                applied_times = await asyncio.gather(
                    *(wait_until_applied(client, host, number) for host in hosts)
                )
                return (max(applied_times) - accepted_at) * 1_000
        await asyncio.sleep(0.05)


async def run(cluster: Cluster, changes: int) -> None:
    """Make changes, kill the leader halfway and print the report."""
    client = Client(cluster)
    await client.wait_until_settled()
    times: list[float] = []
    times_after_kill: list[float] = []
    control_hosts = cluster.control_host_names
    for number in range(1, changes + 1):
        if number == int(changes * KILL_AFTER_FRACTION):
            status = await client.status()
            killed = str(status["leader"])
            cluster.send_signal(killed, signal.SIGKILL)
            control_hosts = [name for name in control_hosts if name != killed]
        propagation_ms = await change_once(client, control_hosts, number)
        is_after_kill = len(control_hosts) < len(cluster.control_host_names)
        (times_after_kill if is_after_kill else times).append(propagation_ms)
    await client.close()
    restart_times_ms = {count: measure_restart_ms(count) for count in (1_000, 10_000)}
    restart_ratio = restart_times_ms[10_000] / restart_times_ms[1_000]
    all_times = times + times_after_kill
    print_report_and_exit(
        "settings_in_force",
        {
            "entry_hosts": len(cluster.entry_host_names),
            "changes": changes,
            "p50_ms": round(percentile(all_times, 0.5), 1),
            "p99_ms": round(percentile(all_times, 0.99), 1),
            "with_control_host_lost_p99_ms": round(
                percentile(times_after_kill, 0.99), 1
            ),
            "restart_after_1000_ms": round(restart_times_ms[1_000], 1),
            "restart_after_10000_ms": round(restart_times_ms[10_000], 1),
            "restart_ratio": round(restart_ratio, 2),
        },
        {
            "p99": percentile(all_times, 0.99) <= MAX_P99_MS,
            "restart": restart_ratio <= MAX_RESTART_RATIO,
        },
    )


def measure_restart_ms(changes: int) -> float:
    """Return the time in ms that a control host takes to load its state from disk.

    This is the fastest of five starts. The history changes a setting of the same 20
    nodes repeatedly and ends half a snapshot interval after the last snapshot, so that
    histories of all lengths leave as many log entries to apply.
    """
    with tempfile.TemporaryDirectory(prefix="azurerelay-bench-") as folder:
        write_history(Path(folder), changes + RaftConfig().snapshot_entries // 2)
        best = float("inf")
        for _ in range(5):
            started = time.perf_counter()
            node, _ = start_voter(Path(folder))
            assert node.applied_index > 0
            best = min(best, time.perf_counter() - started)
        return best * 1_000


def start_voter(folder: Path) -> tuple[RaftNode, ManualTimerService]:
    """Start a single voter with a data folder and let it apply its log."""
    disk = FolderDisk(folder)
    journal = Journal(disk)
    timers = ManualTimerService()
    node = RaftNode(
        "v1",
        ("v1",),
        StubLink(),
        timers,
        random.Random(1),
        journal,
        journal.load().unwrap(),
        ClusterState(),
    )
    node.start()
    timers.advance(1_000)
    return node, timers


def write_history(folder: Path, changes: int) -> None:
    """Write a log with a number of settings changes into a data folder."""
    node, timers = start_voter(folder)
    for number in range(changes):
        change = ChangeSettings(
            at_ms=number,
            actor="bench",
            change_id=f"c{number}",
            based_on=number,
            reason="bench",
            path=f"/region/service-{number % 20}/group-{number % 20}-{number % 10}",
            assignments=(Assignment("reads.max_staleness_ms", number % 10_000),),
            unset=(),
        )
        node.propose(COMMAND_CODEC.encode(change))
        if number % 100 == 0:
            timers.advance(1)
    timers.advance(100)


def main() -> None:
    """Start the processes, measure and print the report."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--changes", type=int, default=100)
    changes = parser.parse_args().changes
    shape = ClusterShape(
        entry_hosts=20, between_domains_ms=1.5, endpoint_round_trip_ms=3.0
    )
    with Cluster(shape) as cluster:
        asyncio.run(run(cluster, changes))


if __name__ == "__main__":
    main()
