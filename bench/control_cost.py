"""What control costs, against the number of hosts and of served groups.

Separate processes. Up to 200 attached hosts run in one process; the leader's and a
follower's processor time, memory and link bytes are read from outside. Then idle
entry hosts that serve 0, 2 and 4 groups. Targets, at the size of docs/CAPACITY.md:
a host spends at most 3 % of a core, 256 MB and 8 KB/s on control.
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
from bench.report import finish

HOST_COUNTS = (5, 40, 100, 200)
GROUP_COUNTS = (0, 2, 4)
MEASURE_S = 8.0
TARGET_HOSTS = 950
TARGET_GROUPS = 1_400
SET_SIZE = 3
MAX_CORE_PERCENT = 3.0
MAX_MEMORY_MB = 256.0
MAX_BYTES_PER_S = 8_000.0


@dataclass(frozen=True, slots=True)
class Fit:
    """A straight line through measured points."""

    slope: float
    base: float

    def at(self, size: float) -> float:
        """Return the line's value."""
        return self.base + self.slope * size


def fit(points: list[tuple[float, float]]) -> Fit:
    """Return the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return Fit(slope, mean_y - slope * mean_x)


async def link_bytes(client: Client, control: str) -> float:
    """Return the link bytes of a control host so far, both ways."""
    reply = await client.get(control, "/metrics")
    return sum(
        float(line.rpartition(" ")[2])
        for line in str(reply.body).splitlines()
        if line.startswith("azurerelay_link_bytes_total{")
    )


async def measure_hosts(count: int) -> dict[str, Any]:
    """Attach hosts to three control hosts and return the cost at both ends."""
    with Cluster(ClusterShape(entry_hosts=0, groups=())) as cluster:
        client = Client(cluster)
        while (status := await client.status()) is None:
            await asyncio.sleep(0.1)
        leader = str(status["leader"])
        follower = next(name for name in cluster.controls if name != leader)
        links = {
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
                str(MEASURE_S),
                json.dumps(links),
            ],
            stdout=subprocess.PIPE,
        )
        await asyncio.sleep(6.0 + count * 0.01)
        before = {
            name: (cluster.cpu_s(name), await link_bytes(client, name))
            for name in (leader, follower)
        }
        started = time.monotonic()
        await asyncio.sleep(MEASURE_S - 2.0)
        took = time.monotonic() - started
        figures: dict[str, Any] = {"hosts": count}
        for role, name in (("leader", leader), ("follower", follower)):
            cpu_s, sent = before[name]
            figures[f"{role}_cpu_percent"] = (cluster.cpu_s(name) - cpu_s) / took * 100
            figures[f"{role}_bytes_per_s"] = (
                await link_bytes(client, name) - sent
            ) / took
            figures[f"{role}_rss_mb"] = cluster.rss_mb(name)
        output, _ = process.communicate(timeout=60)
        figures["host"] = json.loads(output)
        await client.close()
        return figures


async def measure_groups(count: int) -> dict[str, float]:
    """Return what an idle entry host costs that serves a number of groups."""
    groups = tuple(f"group{number}" for number in range(count))
    shape = ClusterShape(entry_hosts=3, groups=groups, lag_ms=5.0)
    with Cluster(shape) as cluster:
        client = Client(cluster)
        await client.wait_until_settled()
        await asyncio.sleep(2.0)
        names = cluster.entries
        before = [cluster.cpu_s(name) for name in names]
        sent = [await link_bytes(client, name) for name in names]
        await asyncio.sleep(MEASURE_S)
        cpu = [
            (cluster.cpu_s(name) - start) / MEASURE_S * 100
            for name, start in zip(names, before, strict=True)
        ]
        sent_after = [await link_bytes(client, name) for name in names]
        await client.close()
        return {
            "groups": count,
            "cpu_percent": sum(cpu) / len(cpu),
            "bytes_per_s": (sum(sent_after) - sum(sent)) / len(names) / MEASURE_S,
            "rss_mb": sum(cluster.rss_mb(name) for name in names) / len(names),
        }


async def measure() -> dict[str, Any]:
    """Run all measurements and return points, fits and the values at the target."""
    hosts = []
    for count in HOST_COUNTS:
        hosts.append(await measure_hosts(count))
        print(hosts[-1], flush=True)
    groups = []
    for count in GROUP_COUNTS:
        groups.append(await measure_groups(count))
        print(groups[-1], flush=True)
    fits: dict[str, Fit] = {}
    for key in ("cpu_percent", "bytes_per_s", "rss_mb"):
        for role in ("leader", "follower"):
            points = [(float(p["hosts"]), float(p[f"{role}_{key}"])) for p in hosts]
            fits[f"{role}_{key}"] = fit(points)
        fits[f"host_{key}"] = fit([(p["groups"], p[key]) for p in groups])
    served = TARGET_GROUPS * SET_SIZE / TARGET_HOSTS
    return {
        "hosts": hosts,
        "groups": groups,
        "fits": {k: {"slope": f.slope, "base": f.base} for k, f in fits.items()},
        "served_groups": served,
        "host_at_target": {
            key: fits[f"host_{key}"].at(served)
            for key in ("cpu_percent", "bytes_per_s", "rss_mb")
        },
        "leader_at_target": {
            key: fits[f"leader_{key}"].at(TARGET_HOSTS)
            for key in ("cpu_percent", "bytes_per_s", "rss_mb")
        },
    }


def main() -> None:
    """Measure and print the report."""
    figures = asyncio.run(measure())
    host = figures["host_at_target"]
    finish(
        "control_cost",
        figures,
        {
            "core": host["cpu_percent"] <= MAX_CORE_PERCENT,
            "memory": host["rss_mb"] <= MAX_MEMORY_MB,
            "bytes": host["bytes_per_s"] <= MAX_BYTES_PER_S,
        },
    )


if __name__ == "__main__":
    main()
