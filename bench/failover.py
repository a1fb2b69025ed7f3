"""The write interruption caused by a failover.

Runs separate processes with the latencies of the childcare deployment. While callers
write, the primary crashes or is isolated, in turn. The failover gap is the time from
the loss to the first write that the new primary confirms. Targets: p50 at most 700 ms
and p99 at most 1,500 ms; no confirmed write is lost or applied twice (a write that a
replaced primary confirmed would be lost), no write that was reported as not run has
run, and no primary is replaced in ten minutes of simulated time with slow probes.
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
from bench.report import percentile, print_report_and_exit
from bench.writers import GROUP, KeyedWriter, Write

WRITERS = 8
WRITE_PAUSE_S = 0.01
PROBE_INTERVAL_S = 0.02
MAX_P50_MS = 700.0
MAX_P99_MS = 1_500.0
SLOW_PROBES_RUN_S = 600
SLOW_PROBES_INTERVAL_MS = 4_000.0
SETTLE_TIMEOUT_S = 30.0


@dataclass(slots=True)
class FailoverGap:
    """The length of one failover gap and of its phases, all in milliseconds."""

    kind: str
    total_ms: float
    detection_and_agreement: float
    fencing_and_promotion: float
    resumption: float


class WriteLoad:
    """Callers that write one after another, and one that starts a write every 20 ms."""

    def __init__(self, client: Client, entries: list[str]) -> None:
        self.writer = KeyedWriter(client, entries)
        self.is_stopped = False

    async def run(self, number: int) -> None:
        """Write one key after another until stopped."""
        random_source = random.Random(number)
        count = 0
        while not self.is_stopped:
            count += 1
            await self.writer.write(f"w{number}-{count}", random_source)
            await asyncio.sleep(WRITE_PAUSE_S)

    async def probe(self) -> None:
        """Start a write every 20 ms without waiting for the earlier ones to finish."""
        tasks: set[asyncio.Task[tuple[Write, str]]] = set()
        count = 0
        random_source = random.Random(0)
        while not self.is_stopped:
            count += 1
            write = self.writer.write(f"w-probe-{count}", random_source)
            task = asyncio.create_task(write)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(PROBE_INTERVAL_S)
        await asyncio.gather(*tasks)


async def measure_failover(
    cluster: Cluster, client: Client, kind: str, load: WriteLoad
) -> FailoverGap:
    """Crash or isolate the primary, measure the gap and restore the endpoint."""
    before = await wait_for_settled_group(client)
    primary = str(before["primary"])
    failed_at = time.time()
    if kind == "crash":
        cluster.send_signal(primary, signal.SIGKILL)
    else:
        await set_isolated(client, primary, True)
    first_write_at = await first_write_after(client, failed_at, load)
    term_began_at, installed_at = await term_times(client, failed_at)
    if kind == "crash":
        cluster.start(primary)
    else:
        await set_isolated(client, primary, False)
    return FailoverGap(
        kind,
        (first_write_at - failed_at) * 1_000,
        (term_began_at - failed_at) * 1_000,
        (installed_at - term_began_at) * 1_000,
        (first_write_at - installed_at) * 1_000,
    )


async def set_isolated(client: Client, endpoint: str, is_isolated: bool) -> None:
    """Start or end the isolation of a stand-in, which then answers only knob calls."""
    await client.post(endpoint, "/v1/calls/knobs", {"is_isolated": is_isolated})


async def first_write_after(client: Client, failed_at: float, load: WriteLoad) -> float:
    """Return when the first write after the new installation was confirmed.

    This is a Unix time in seconds. Raises `TimeoutError` when no write is confirmed
    within `SETTLE_TIMEOUT_S`.
    """
    deadline = time.time() + SETTLE_TIMEOUT_S
    while time.time() < deadline:
        times = await term_times(client, failed_at)
        if times[1]:
            done = [
                write.answered_at
                for write in load.writer.writes
                if write.outcome == "done" and write.answered_at > times[1]
            ]
            if done:
                return min(done)
        await asyncio.sleep(0.02)
    raise TimeoutError(f"no write confirmed within {SETTLE_TIMEOUT_S:g} s of the loss")


async def term_times(client: Client, failed_at: float) -> tuple[float, float]:
    """Return when the new term began and when its primary was installed.

    Both are Unix times in seconds from the audit trail; 0 means not yet.
    """
    since = int(failed_at * 1_000)
    path = f"/v1/audit?path=groups/{GROUP}/primary&since_ms={since}"
    for control in client.cluster.control_host_names:
        try:
            reply = await client.get(control, path)
        except (aiohttp.ClientError, OSError, TimeoutError):
            continue
        if reply.status == 200:
            times = {r["action"]: r["at_ms"] / 1_000 for r in reply.body["records"]}
            return times.get("begin term", 0.0), times.get("install primary", 0.0)
    return 0.0, 0.0


async def wait_for_settled_group(client: Client) -> dict[str, object]:
    """Return the status of the group once it has a primary and synced replicas.

    Raises `TimeoutError` when that takes longer than `SETTLE_TIMEOUT_S`.
    """
    deadline = time.time() + SETTLE_TIMEOUT_S
    while time.time() < deadline:
        status = await client.status()
        group = status["groups"][0] if status else None
        if group and group["primary"] and await all_synced(client, group["term"]):
            return dict(group)
        await asyncio.sleep(0.1)
    raise TimeoutError(f"group not settled within {SETTLE_TIMEOUT_S:g} s")


async def all_synced(client: Client, term: int) -> bool:
    """Return whether all endpoints follow the term and are within 50 log positions."""
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


async def check_writes(client: Client, writes: list[Write]) -> tuple[int, int, int]:
    """Return how many writes are lost, applied twice and falsely reported as not run.

    The data of the primary decides; each key starts with "w" and has the value 1 when
    its write was applied once.
    """
    group = await wait_for_settled_group(client)
    reply = await client.execute(
        client.cluster.entry_host_names[0],
        GROUP,
        "read",
        "scan",
        "w",
        headers={"Azurerelay-Max-Staleness-Ms": "0"},
    )
    assert reply.status == 200, (group, reply.body)
    values = dict(reply.body["rows"])
    lost = sum(w.outcome == "done" and w.key not in values for w in writes)
    applied_twice = sum(value != 1 for value in values.values())
    false_not_run = sum(w.outcome == "not_run" and w.key in values for w in writes)
    return lost, applied_twice, false_not_run


def promotions_with_slow_probes() -> int:
    """Return the number of promotions in ten simulated minutes with slow probes.

    No endpoint fails in this run, so every promotion is unnecessary.
    """
    mix = LoadMix(
        stale_reads=CHILDCARE_MIX.stale_reads,
        session_reads=CHILDCARE_MIX.session_reads,
        keyed_writes=CHILDCARE_MIX.keyed_writes,
        repeatable_writes=CHILDCARE_MIX.repeatable_writes,
        transactions=CHILDCARE_MIX.transactions,
        callers=3,
        mean_pause_ms=200.0,
        max_staleness_ms=2_000,
    )
    faults = tuple(
        Fault(at, FaultKind.SLOW_PROBES, 500.0, target_index=int(at))
        for at in range(0, SLOW_PROBES_RUN_S * 1_000, int(SLOW_PROBES_INTERVAL_MS))
    )
    return Experiment(CHILDCARE, mix, faults, SLOW_PROBES_RUN_S, 1).run().promotions


async def run(cluster: Cluster, runs: int) -> None:
    """Trigger failovers under load, check all writes and print the report."""
    client = Client(cluster)
    await client.wait_until_settled()
    # Flap damping would delay failovers that follow each other this closely.
    no_damping = {"failover.flap_window_ms": 0}
    await client.change_settings(
        cluster.control_host_names[0], "undamped", 0, "/", no_damping
    )
    load = WriteLoad(client, cluster.entry_host_names)
    tasks = [asyncio.create_task(load.run(number)) for number in range(WRITERS)]
    tasks.append(asyncio.create_task(load.probe()))
    gaps = []
    for number in range(runs):
        kind = "crash" if number % 2 == 0 else "isolation"
        gap = await measure_failover(cluster, client, kind, load)
        gaps.append(gap)
        print(f"{number + 1} of {runs}: {kind}: {gap.total_ms:.0f} ms", flush=True)
    load.is_stopped = True
    await asyncio.gather(*tasks)
    lost, applied_twice, false_not_run = await check_writes(client, load.writer.writes)
    await client.close()
    needless_promotions = promotions_with_slow_probes()
    totals = [gap.total_ms for gap in gaps]
    results = {
        "runs": runs,
        "writes": len(load.writer.writes),
        "unknown": sum(write.outcome == "unknown" for write in load.writer.writes),
        "lost": lost,
        "doubled": applied_twice,
        "false_not_run": false_not_run,
        "needless_promotions": needless_promotions,
        "p50_ms": round(percentile(totals, 0.5)),
        "p99_ms": round(percentile(totals, 0.99)),
    }
    for kind in ("crash", "isolation"):
        of_kind = [gap for gap in gaps if gap.kind == kind]
        results[f"{kind}_p50_ms"] = round(
            percentile([g.total_ms for g in of_kind], 0.5)
        )
        for part in ("detection_and_agreement", "fencing_and_promotion", "resumption"):
            values = [float(getattr(gap, part)) for gap in of_kind]
            results[f"{kind}_{part}_p50_ms"] = round(percentile(values, 0.5))
    print_report_and_exit(
        "failover",
        results,
        {
            "p50": percentile(totals, 0.5) <= MAX_P50_MS,
            "p99": percentile(totals, 0.99) <= MAX_P99_MS,
            "lost": lost == 0,
            "doubled": applied_twice == 0,
            "not_run_is_true": false_not_run == 0,
            "needless_promotions": needless_promotions == 0,
        },
    )


def main() -> None:
    """Start the processes, run the failovers and print the report."""
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
