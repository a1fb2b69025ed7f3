"""Consistency guarantees of separate processes under load and seeded faults.

Entry and control hosts are killed and restarted or frozen, primaries are isolated and
replicas lag, one at a time and together. Targets: confirmed writes are present exactly
once at the end, writes that were reported as not run have not run, and sessions read
their own writes.
"""

import argparse
import asyncio
import random
import signal
import time
from collections import Counter

import aiohttp

from bench.client import Client
from bench.failover import check_writes, set_isolated, wait_for_settled_group
from bench.processes import Cluster, ClusterShape
from bench.report import print_report_and_exit
from bench.writers import GROUP, KeyedWriter, Write

CALLERS = 12
OPERATION_PAUSE_S = 0.02
MEAN_FAULT_INTERVAL_S = 1.5


class CallerLoad:
    """Callers that write and read, with their results.

    `session_reads` counts reads by the role of the endpoint that served them;
    `violations` lists those that did not return the session's own write.
    """

    def __init__(self, client: Client, entry_hosts: list[str]) -> None:
        self.client = client
        self.entry_hosts = entry_hosts
        self.writer = KeyedWriter(client, entry_hosts)
        self.session_reads: Counter[str] = Counter()
        self.violations: list[str] = []
        self.is_stopped = False

    async def run(self, number: int) -> None:
        """Write and read the written key through a random entry host until stopped."""
        random_source = random.Random(number)
        count = 0
        while not self.is_stopped:
            count += 1
            write, token = await self.writer.write(f"w{number}-{count}", random_source)
            if token:
                await self._check_own_write(write, token, random_source)
            await asyncio.sleep(OPERATION_PAUSE_S)

    async def _check_own_write(
        self, write: Write, token: str, random_source: random.Random
    ) -> None:
        try:
            reply = await self.client.execute(
                random_source.choice(self.entry_hosts),
                GROUP,
                "read",
                "get",
                write.key,
                headers={"Azurerelay-Session": token, "Azurerelay-Timeout-Ms": "3000"},
            )
        except (aiohttp.ClientError, OSError, TimeoutError):
            return
        if reply.status != 200:
            return
        served_by = reply.headers.get("Azurerelay-Served-By", "")
        self.session_reads["replica" if "role=replica" in served_by else "primary"] += 1
        if reply.body["rows"] != [[1]]:
            self.violations.append(
                f"{write.key}: read {reply.body['rows']} after own write"
            )


class FaultInjector:
    """Injects random faults, some of them at the same time, and undoes each of them.

    The random choices are seeded. Runs with the same seed still differ, because the
    processes run on the real clock.
    """

    def __init__(self, cluster: Cluster, client: Client, seed: int) -> None:
        self._cluster = cluster
        self._client = client
        self._random = random.Random(seed)
        self._faulted: set[str] = set()
        self.injected: list[str] = []

    async def run(self, seconds: float) -> None:
        """Inject faults for `seconds`, then wait until all of them are undone."""
        deadline = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < deadline:
            tasks.append(asyncio.create_task(self._inject_fault()))
            await asyncio.sleep(self._random.uniform(0.5, 1.5) * MEAN_FAULT_INTERVAL_S)
        await asyncio.gather(*tasks)

    async def _inject_fault(self) -> None:
        kind = self._random.choice(
            ("kill entry", "freeze entry", "kill control", "freeze control")
            + ("isolate primary", "lag replica", "isolate primary")
        )
        target = await self._choose_target(kind)
        if target is None or target in self._faulted:
            return
        self._faulted.add(target)
        self.injected.append(f"{kind}: {target}")
        duration_s = self._random.choice((0.3, 1.0, 3.0))
        if kind.startswith("kill"):
            self._cluster.send_signal(target, signal.SIGKILL)
            await asyncio.sleep(duration_s)
            self._cluster.start(target)
        elif kind.startswith("freeze"):
            self._cluster.send_signal(target, signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            self._cluster.send_signal(target, signal.SIGCONT)
        elif kind == "isolate primary":
            await set_isolated(self._client, target, True)
            await asyncio.sleep(duration_s)
            await set_isolated(self._client, target, False)
        else:
            await self._set_lag(target, 3_600_000.0)
            await asyncio.sleep(duration_s)
            await self._set_lag(target, 5.0)
        self._faulted.discard(target)

    async def _choose_target(self, kind: str) -> str | None:
        if "entry" in kind:
            return self._random.choice(self._cluster.entry_host_names)
        if "control" in kind:
            controls = self._cluster.control_host_names
            # Two control hosts at once would leave no majority; that is out of scope.
            is_one_faulted = any(name in self._faulted for name in controls)
            return None if is_one_faulted else self._random.choice(controls)
        status = await self._client.status()
        primary = status["groups"][0]["primary"] if status else None
        if kind == "isolate primary":
            return str(primary) if primary else None
        names = [f"{GROUP}-{n}" for n in (1, 2, 3)]
        return self._random.choice([name for name in names if name != primary])

    async def _set_lag(self, endpoint: str, lag_ms: float) -> None:
        await self._client.post(endpoint, "/v1/calls/knobs", {"lag_ms": lag_ms})


async def run(cluster: Cluster, seconds: float, seed: int) -> None:
    """Run load and faults, wait for recovery, check all writes, print the report."""
    client = Client(cluster)
    await client.wait_until_settled()
    # Flap damping would delay failovers that follow each other closely.
    no_damping = {"failover.flap_window_ms": 0}
    await client.change_settings(
        cluster.control_host_names[0], "undamped", 0, "/", no_damping
    )
    load = CallerLoad(client, cluster.entry_host_names)
    tasks = [asyncio.create_task(load.run(number)) for number in range(CALLERS)]
    injector = FaultInjector(cluster, client, seed)
    await injector.run(seconds)
    load.is_stopped = True
    await asyncio.gather(*tasks)
    await wait_for_settled_group(client)
    await client.wait_until_settled()
    lost, applied_twice, false_not_run = await check_writes(client, load.writer.writes)
    await client.close()
    print_report_and_exit(
        "faults",
        {
            "seed": seed,
            "seconds": seconds,
            "faults": dict(
                Counter(entry.partition(":")[0] for entry in injector.injected)
            ),
            "writes": dict(Counter(write.outcome for write in load.writer.writes)),
            "own_reads": dict(load.session_reads),
            "lost": lost,
            "doubled": applied_twice,
            "false_not_run": false_not_run,
            "broken": load.violations[:10],
        },
        {
            "lost": lost == 0,
            "doubled": applied_twice == 0,
            "not_run_is_true": false_not_run == 0,
            "read_your_writes": not load.violations,
        },
    )


def main() -> None:
    """Start the processes, inject the faults and print the report."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    shape = ClusterShape(
        entry_hosts=6,
        between_domains_ms=1.5,
        endpoint_round_trip_ms=3.0,
        service_ms=1.0,
        lag_ms=5.0,
    )
    with Cluster(shape) as cluster:
        asyncio.run(run(cluster, arguments.seconds, arguments.seed))


if __name__ == "__main__":
    main()
