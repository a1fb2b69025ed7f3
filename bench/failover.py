"""The failover gap, with separate processes and the latencies of the childcare group.

A primary is lost by a crash or by isolation while callers write, in turn. Targets:
p50 at most 700 ms and p99 at most 1,500 ms; no confirmed write lost or doubled,
none confirmed by a replaced primary, and no promotion in ten minutes of fake time
with slow answers.
"""

import argparse
import asyncio
import random
import signal
import time
from dataclasses import dataclass

import aiohttp

from azurerelay.embedded import CHILDCARE
from azurerelay.experiments import (
    CHILDCARE_MIX,
    Experiment,
    Fault,
    FaultKind,
    LoadMix,
)
from bench.client import Client
from bench.processes import Cluster, ClusterShape
from bench.report import finish, percentile
from bench.writers import GROUP, KeyedWriter, Write

WRITERS = 8
PAUSE_S = 0.01
PROBE_INTERVAL_S = 0.02
MAX_P50_MS = 700.0
MAX_P99_MS = 1_500.0
QUIET_SECONDS = 600
SLOW_EVERY_MS = 4_000.0
SETTLE_LIMIT_S = 30.0


@dataclass(slots=True)
class Gap:
    """The parts of one failover gap in milliseconds."""

    kind: str
    total: float
    detection_and_agreement: float
    fencing_and_promotion: float
    resumption: float


class Writers:
    """Callers that write without pause, and one that starts a write every 20 ms."""

    def __init__(self, client: Client, entries: list[str]) -> None:
        self.writer = KeyedWriter(client, entries)
        self.is_stopped = False

    async def run(self, number: int) -> None:
        """Write until stopped."""
        source = random.Random(number)
        count = 0
        while not self.is_stopped:
            count += 1
            await self.writer.write(f"w{number}-{count}", source)
            await asyncio.sleep(PAUSE_S)

    async def probe(self) -> None:
        """Start a new write every 20 ms, whatever became of the ones before."""
        tasks: set[asyncio.Task[tuple[Write, str]]] = set()
        count = 0
        source = random.Random(0)
        while not self.is_stopped:
            count += 1
            steps = self.writer.write(f"w-probe-{count}", source)
            task = asyncio.create_task(steps)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(PROBE_INTERVAL_S)
        await asyncio.gather(*tasks)


async def lose_primary(
    cluster: Cluster, client: Client, kind: str, writers: Writers
) -> Gap:
    """Lose the primary once, measure the gap, and bring the endpoint back."""
    before = await settled_group(client)
    primary = str(before["primary"])
    lost_at = time.time()
    if kind == "crash":
        cluster.signal(primary, signal.SIGKILL)
    else:
        await knob(client, primary, True)
    first = await first_write_after(client, lost_at, writers)
    begun, installed = await term_times(client, lost_at)
    if kind == "crash":
        cluster.start(primary)
    else:
        await knob(client, primary, False)
    return Gap(
        kind,
        (first - lost_at) * 1_000,
        (begun - lost_at) * 1_000,
        (installed - begun) * 1_000,
        (first - installed) * 1_000,
    )


async def knob(client: Client, endpoint: str, is_isolated: bool) -> None:
    """Isolate a stand-in, or end it."""
    await client.post(endpoint, "/v1/calls/knobs", {"is_isolated": is_isolated})


async def first_write_after(client: Client, lost_at: float, writers: Writers) -> float:
    """Return when the first write was confirmed by the new primary."""
    end = time.time() + SETTLE_LIMIT_S
    while time.time() < end:
        installed = await term_times(client, lost_at)
        if installed[1]:
            done = [
                write.ended
                for write in writers.writer.writes
                if write.outcome == "done" and write.ended > installed[1]
            ]
            if done:
                return min(done)
        await asyncio.sleep(0.02)
    raise TimeoutError("no write was accepted again")


async def term_times(client: Client, lost_at: float) -> tuple[float, float]:
    """Return when the term began and the primary was installed, zero if not yet."""
    since = int(lost_at * 1_000)
    path = f"/v1/audit?path=groups/{GROUP}/primary&since_ms={since}"
    for control in client.cluster.controls:
        try:
            reply = await client.get(control, path)
        except (aiohttp.ClientError, OSError, TimeoutError):
            continue
        if reply.status == 200:
            times = {r["action"]: r["at_ms"] / 1_000 for r in reply.body["records"]}
            return times.get("begin term", 0.0), times.get("install primary", 0.0)
    return 0.0, 0.0


async def settled_group(client: Client) -> dict[str, object]:
    """Wait until the group has a primary and both replicas follow it."""
    end = time.time() + SETTLE_LIMIT_S
    while time.time() < end:
        status = await client.status()
        group = status["groups"][0] if status else None
        if group and group["primary"] and await all_synced(client, group["term"]):
            return dict(group)
        await asyncio.sleep(0.1)
    raise TimeoutError("the group did not settle")


async def all_synced(client: Client, term: int) -> bool:
    """Return whether every endpoint has the log of the term."""
    positions = []
    for number in (1, 2, 3):
        try:
            reply = await client.post(f"{GROUP}-{number}", "/v1/calls/status", {})
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        if reply.body["synced_term"] != term:
            return False
        positions.append(reply.body["position"])
    return bool(max(positions) - min(positions) < 50)


async def check(client: Client, writes: list[Write]) -> tuple[int, int, int]:
    """Return how many confirmed writes are lost, doubled or falsely not run."""
    group = await settled_group(client)
    reply = await client.statement(
        client.cluster.entries[0],
        GROUP,
        "read",
        "scan",
        "w",
        headers={"Azurerelay-Max-Staleness-Ms": "0"},
    )
    assert reply.status == 200, (group, reply.body)
    values = dict(reply.body["rows"])
    lost = sum(w.outcome == "done" and w.marker not in values for w in writes)
    doubled = sum(value != 1 for value in values.values())
    false = sum(w.outcome == "not_run" and w.marker in values for w in writes)
    return lost, doubled, false


def needless_promotions() -> int:
    """Return the promotions in ten minutes of fake time with slow answers."""
    mix = LoadMix(
        stale_reads=CHILDCARE_MIX.stale_reads,
        session_reads=CHILDCARE_MIX.session_reads,
        keyed_writes=CHILDCARE_MIX.keyed_writes,
        repeatable_writes=CHILDCARE_MIX.repeatable_writes,
        transactions=CHILDCARE_MIX.transactions,
        callers=3,
        pause_ms=200.0,
        max_staleness_ms=2_000,
    )
    faults = tuple(
        Fault(at, FaultKind.SLOW_PROBES, 500.0, choice=int(at))
        for at in range(0, QUIET_SECONDS * 1_000, int(SLOW_EVERY_MS))
    )
    return Experiment(CHILDCARE, mix, faults, QUIET_SECONDS, 1).run().promotions


async def run(cluster: Cluster, runs: int) -> None:
    """Lose primaries, check what was confirmed, and print the report."""
    client = Client(cluster)
    await client.wait_until_settled()
    # The runs follow each other closely, which damping would rightly slow down.
    undamped = {"failover.flap_window_ms": 0}
    await client.change(cluster.controls[0], "undamped", 0, "/", undamped)
    writers = Writers(client, cluster.entries)
    tasks = [asyncio.create_task(writers.run(number)) for number in range(WRITERS)]
    tasks.append(asyncio.create_task(writers.probe()))
    gaps = []
    for number in range(runs):
        kind = "crash" if number % 2 == 0 else "isolation"
        gap = await lose_primary(cluster, client, kind, writers)
        gaps.append(gap)
        print(f"{number + 1} of {runs}: {kind}: {gap.total:.0f} ms", flush=True)
    writers.is_stopped = True
    await asyncio.gather(*tasks)
    lost, doubled, false = await check(client, writers.writer.writes)
    await client.close()
    needless = needless_promotions()
    totals = [gap.total for gap in gaps]
    figures = {
        "runs": runs,
        "writes": len(writers.writer.writes),
        "unknown": sum(write.outcome == "unknown" for write in writers.writer.writes),
        "lost": lost,
        "doubled": doubled,
        "false_not_run": false,
        "needless_promotions": needless,
        "p50_ms": round(percentile(totals, 0.5)),
        "p99_ms": round(percentile(totals, 0.99)),
    }
    for kind in ("crash", "isolation"):
        of_kind = [gap for gap in gaps if gap.kind == kind]
        figures[f"{kind}_p50_ms"] = round(percentile([g.total for g in of_kind], 0.5))
        for part in ("detection_and_agreement", "fencing_and_promotion", "resumption"):
            values = [float(getattr(gap, part)) for gap in of_kind]
            figures[f"{kind}_{part}_p50_ms"] = round(percentile(values, 0.5))
    finish(
        "failover",
        figures,
        {
            "p50": percentile(totals, 0.5) <= MAX_P50_MS,
            "p99": percentile(totals, 0.99) <= MAX_P99_MS,
            "lost": lost == 0,
            "doubled": doubled == 0,
            "not_run_is_true": false == 0,
            "needless_promotions": needless == 0,
        },
    )


def main() -> None:
    """Start the processes and measure."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--runs", type=int, default=30)
    runs = parser.parse_args().runs
    shape = ClusterShape(
        entry_hosts=6,
        between_domains_ms=1.5,
        endpoint_round_trip_ms=3.0,
        service_ms=1.0,
        lag_ms=5.0,
    )
    with Cluster(shape) as cluster:
        asyncio.run(run(cluster, runs))


if __name__ == "__main__":
    main()
