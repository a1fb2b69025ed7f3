"""Control-plane cost as a function of the number of hosts and served groups.

Runs separate processes. First, up to 200 entry hosts in one process attach to three
control hosts; the CPU time, memory and link bytes of the leader and of a follower are
read from outside. Then idle entry hosts serve 0, 2 and 4 groups. Straight lines
through the results are extrapolated to the fleet size of docs/CAPACITY.md. Targets: an
entry host uses at most 3 % of a core, 256 MB and 8 KB/s there.
"""

import asyncio
import json
import subprocess
import sys
import time
from dataclasses import dataclass
from typing import Any

from bench.client import Client
from bench.processes import Cluster, ClusterShape
from bench.report import print_report_and_exit

HOST_COUNTS = (5, 40, 100, 200)
GROUP_COUNTS = (0, 2, 4)
MEASUREMENT_S = 8.0
TARGET_HOSTS = 950
TARGET_GROUPS = 1_400
SERVING_SET_SIZE = 3
MAX_CPU_PERCENT = 3.0
MAX_MEMORY_MB = 256.0
MAX_BYTES_PER_S = 8_000.0


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A straight line fitted to measured points."""

    slope: float
    intercept: float

    def predict(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(points: list[tuple[float, float]]) -> LinearFit:
    """Return the least-squares line through (x, y) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
    return LinearFit(slope, mean_y - slope * mean_x)


async def link_bytes(client: Client, host: str) -> float:
    """Return the link bytes that a host has sent and received since its start."""
    reply = await client.get(host, "/metrics")
    return sum(
        float(line.rpartition(" ")[2])
        for line in str(reply.body).splitlines()
        if line.startswith("azurerelay_link_bytes_total{")
    )


async def measure_hosts(count: int) -> dict[str, Any]:
    """Attach hosts and return the cost for the leader, a follower and a host."""
    with Cluster(ClusterShape(entry_hosts=0, groups=())) as cluster:
        client = Client(cluster)
        while (status := await client.status()) is None:
            await asyncio.sleep(0.1)
        leader = str(status["leader"])
        follower = next(name for name in cluster.control_host_names if name != leader)
        link_addresses = {
            control["name"]: control["link"]
            for control in json.loads((cluster.folder / f"{leader}.json").read_text())[
                "voters"
            ]
        }
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bench.attached_hosts",
                str(count),
                str(MEASUREMENT_S),
                json.dumps(link_addresses),
            ],
            stdout=subprocess.PIPE,
        )
        await asyncio.sleep(6.0 + count * 0.01)
        before = {
            name: (cluster.cpu_s(name), await link_bytes(client, name))
            for name in (leader, follower)
        }
        started = time.monotonic()
        await asyncio.sleep(MEASUREMENT_S - 2.0)
        elapsed_s = time.monotonic() - started
        results: dict[str, Any] = {"hosts": count}
        for role, name in (("leader", leader), ("follower", follower)):
            cpu_s, bytes_before = before[name]
            results[f"{role}_cpu_percent"] = (
                (cluster.cpu_s(name) - cpu_s) / elapsed_s * 100
            )
            results[f"{role}_bytes_per_s"] = (
                await link_bytes(client, name) - bytes_before
            ) / elapsed_s
            results[f"{role}_rss_mb"] = cluster.rss_mb(name)
        output, _ = process.communicate(timeout=60)
        results["host"] = json.loads(output)
        await client.close()
        return results


async def measure_groups(count: int) -> dict[str, float]:
    """Return the mean cost of an idle entry host that serves `count` groups.

    There are three entry hosts, so that each of them serves every group.
    """
    groups = tuple(f"group{number}" for number in range(count))
    shape = ClusterShape(entry_hosts=3, groups=groups, lag_ms=5.0)
    with Cluster(shape) as cluster:
        client = Client(cluster)
        await client.wait_until_settled()
        await asyncio.sleep(2.0)
        names = cluster.entry_host_names
        before = [cluster.cpu_s(name) for name in names]
        bytes_before = [await link_bytes(client, name) for name in names]
        await asyncio.sleep(MEASUREMENT_S)
        cpu_percents = [
            (cluster.cpu_s(name) - start) / MEASUREMENT_S * 100
            for name, start in zip(names, before, strict=True)
        ]
        bytes_after = [await link_bytes(client, name) for name in names]
        await client.close()
        return {
            "groups": count,
            "cpu_percent": sum(cpu_percents) / len(cpu_percents),
            "bytes_per_s": (sum(bytes_after) - sum(bytes_before))
            / len(names)
            / MEASUREMENT_S,
            "rss_mb": sum(cluster.rss_mb(name) for name in names) / len(names),
        }


async def measure() -> dict[str, Any]:
    """Return the measured points, the fitted lines and their values at the target."""
    hosts = []
    for count in HOST_COUNTS:
        hosts.append(await measure_hosts(count))
        print(hosts[-1], flush=True)
    groups = []
    for count in GROUP_COUNTS:
        groups.append(await measure_groups(count))
        print(groups[-1], flush=True)
    fits: dict[str, LinearFit] = {}
    for key in ("cpu_percent", "bytes_per_s", "rss_mb"):
        for role in ("leader", "follower"):
            points = [(float(p["hosts"]), float(p[f"{role}_{key}"])) for p in hosts]
            fits[f"{role}_{key}"] = fit_line(points)
        fits[f"host_{key}"] = fit_line([(p["groups"], p[key]) for p in groups])
    served_groups = TARGET_GROUPS * SERVING_SET_SIZE / TARGET_HOSTS
    return {
        "hosts": hosts,
        "groups": groups,
        "fits": {k: {"slope": f.slope, "base": f.intercept} for k, f in fits.items()},
        "served_groups": served_groups,
        "host_at_target": {
            key: fits[f"host_{key}"].predict(served_groups)
            for key in ("cpu_percent", "bytes_per_s", "rss_mb")
        },
        "leader_at_target": {
            key: fits[f"leader_{key}"].predict(TARGET_HOSTS)
            for key in ("cpu_percent", "bytes_per_s", "rss_mb")
        },
    }


def main() -> None:
    """Measure and print the report."""
    results = asyncio.run(measure())
    host = results["host_at_target"]
    print_report_and_exit(
        "control_cost",
        results,
        {
            "core": host["cpu_percent"] <= MAX_CPU_PERCENT,
            "memory": host["rss_mb"] <= MAX_MEMORY_MB,
            "bytes": host["bytes_per_s"] <= MAX_BYTES_PER_S,
        },
    )


if __name__ == "__main__":
    main()
