"""Separate processes under load and seeded faults; the history is checked.

Entry and control hosts are killed, frozen and restarted, primaries isolated and
killed, replicas made to lag, alone and together. Confirmed writes must be there at
the end and once, what was told not run must not have run, and sessions must see
their own writes. Target: nothing broken.
"""

import argparse
import asyncio
import random
import signal
import time
from collections import Counter

import aiohttp

from bench.client import Client
from bench.failover import check, knob, settled_group
from bench.processes import Cluster, ClusterShape
from bench.report import finish
from bench.writers import GROUP, KeyedWriter, Write

CALLERS = 12
PAUSE_S = 0.02
FAULT_EVERY_S = 1.5


class Session:
    """Callers of the run, their writes and the promises that they saw broken."""

    def __init__(self, client: Client, entries: list[str]) -> None:
        self.client = client
        self.entries = entries
        self.writer = KeyedWriter(client, entries)
        self.reads: Counter[str] = Counter()
        self.broken: list[str] = []
        self.is_stopped = False

    async def run(self, number: int) -> None:
        """Write, and read the own write through another host, until stopped."""
        source = random.Random(number)
        count = 0
        while not self.is_stopped:
            count += 1
            write, token = await self.writer.write(f"w{number}-{count}", source)
            if token:
                await self._read_own(write, token, source)
            await asyncio.sleep(PAUSE_S)

    async def _read_own(self, write: Write, token: str, source: random.Random) -> None:
        try:
            reply = await self.client.statement(
                source.choice(self.entries),
                GROUP,
                "read",
                "get",
                write.marker,
                headers={"Azurerelay-Session": token, "Azurerelay-Timeout-Ms": "3000"},
            )
        except (aiohttp.ClientError, OSError, TimeoutError):
            return
        if reply.status != 200:
            return
        served_by = reply.headers.get("Azurerelay-Served-By", "")
        self.reads["replica" if "role=replica" in served_by else "primary"] += 1
        if reply.body["rows"] != [[1]]:
            self.broken.append(f"{write.marker}: own write reads {reply.body['rows']}")


class Faults:
    """Seeded faults, each undone after a while; a few at the same time."""

    def __init__(self, cluster: Cluster, client: Client, seed: int) -> None:
        self._cluster = cluster
        self._client = client
        self._random = random.Random(seed)
        self._busy: set[str] = set()
        self.log: list[str] = []

    async def run(self, seconds: float) -> None:
        """Begin faults until the time is over, then end all."""
        end = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(self._one()))
            await asyncio.sleep(self._random.uniform(0.5, 1.5) * FAULT_EVERY_S)
        await asyncio.gather(*tasks)

    async def _one(self) -> None:
        kind = self._random.choice(
            ("kill entry", "freeze entry", "kill control", "freeze control")
            + ("isolate primary", "lag replica", "isolate primary")
        )
        victim = await self._victim(kind)
        if victim is None or victim in self._busy:
            return
        self._busy.add(victim)
        self.log.append(f"{kind}: {victim}")
        duration_s = self._random.choice((0.3, 1.0, 3.0))
        if kind.startswith("kill"):
            self._cluster.signal(victim, signal.SIGKILL)
            await asyncio.sleep(duration_s)
            self._cluster.start(victim)
        elif kind.startswith("freeze"):
            self._cluster.signal(victim, signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            self._cluster.signal(victim, signal.SIGCONT)
        elif kind == "isolate primary":
            await knob(self._client, victim, True)
            await asyncio.sleep(duration_s)
            await knob(self._client, victim, False)
        else:
            await self._lag(victim, 3_600_000.0)
            await asyncio.sleep(duration_s)
            await self._lag(victim, 5.0)
        self._busy.discard(victim)

    async def _victim(self, kind: str) -> str | None:
        if "entry" in kind:
            return self._random.choice(self._cluster.entries)
        if "control" in kind:
            controls = self._cluster.controls
            # Two of three at once is no majority, and is not what this run is about.
            is_one_down = any(name in self._busy for name in controls)
            return None if is_one_down else self._random.choice(controls)
        status = await self._client.status()
        primary = status["groups"][0]["primary"] if status else None
        if kind == "isolate primary":
            return str(primary) if primary else None
        names = [f"{GROUP}-{n}" for n in (1, 2, 3)]
        return self._random.choice([name for name in names if name != primary])

    async def _lag(self, endpoint: str, lag_ms: float) -> None:
        await self._client.post(endpoint, "/v1/calls/knobs", {"lag_ms": lag_ms})


async def run(cluster: Cluster, seconds: float, seed: int) -> None:
    """Run load and faults, heal, check, and print the report."""
    client = Client(cluster)
    await client.wait_until_settled()
    undamped = {"failover.flap_window_ms": 0}
    await client.change(cluster.controls[0], "undamped", 0, "/", undamped)
    session = Session(client, cluster.entries)
    tasks = [asyncio.create_task(session.run(number)) for number in range(CALLERS)]
    faults = Faults(cluster, client, seed)
    await faults.run(seconds)
    session.is_stopped = True
    await asyncio.gather(*tasks)
    await settled_group(client)
    await client.wait_until_settled()
    lost, doubled, false = await check(client, session.writer.writes)
    await client.close()
    finish(
        "faults",
        {
            "seed": seed,
            "seconds": seconds,
            "faults": dict(Counter(entry.partition(":")[0] for entry in faults.log)),
            "writes": dict(Counter(write.outcome for write in session.writer.writes)),
            "own_reads": dict(session.reads),
            "lost": lost,
            "doubled": doubled,
            "false_not_run": false,
            "broken": session.broken[:10],
        },
        {
            "lost": lost == 0,
            "doubled": doubled == 0,
            "not_run_is_true": false == 0,
            "read_your_writes": not session.broken,
        },
    )


def main() -> None:
    """Start the processes and measure."""
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
