"""Latency and CPU overhead of an entry host relative to an aiohttp echo server.

Measures separate processes in one run: an echo server, a stand-in called directly, and
the same group through an entry host of its serving set. Targets: the p50 latency that
the entry host adds for a single caller is at most 3 times the p50 latency of the echo
server; statements per CPU second of the entry host are at least a third of those of the
echo server; 305 statements per second use less than a third of a core.
"""

import asyncio
import json
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiohttp

from bench.client import Client
from bench.processes import (
    Cluster,
    ClusterShape,
    free_address,
    process_cpu_s,
    wait_until,
)
from bench.report import percentile, print_report_and_exit

LATENCY_REQUESTS = 1_500
LOAD_ROUND_S = 2.0
LOAD_ROUNDS = 9
LOAD_CALLERS = 24
# For each entry host of the fleet in bench/capacity.py.
STATEMENTS_PER_S_AT_TARGET = 305
MAX_ADDED_RATIO = 3.0
MIN_THROUGHPUT_RATIO = 1 / 3
MAX_CORE_SHARE = 1 / 3

ECHO_SERVER = """
import sys
from aiohttp import web
async def echo(request):
    return web.Response(body=await request.read(), content_type="application/json")
app = web.Application()
app.add_routes([web.post("/echo", echo)])
host, port = sys.argv[1].split(":")
web.run_app(app, host=host, port=int(port), print=None, access_log=None)
"""


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Throughput per second of elapsed time and per second of the server's CPU time."""

    requests_per_s: float
    requests_per_cpu_s: float


async def measure_latency(call: Callable[[], Awaitable[None]]) -> list[float]:
    """Return latencies of sequential calls in milliseconds, after 100 warm-up calls."""
    times = []
    for number in range(LATENCY_REQUESTS + 100):
        started = time.perf_counter()
        await call()
        if number >= 100:
            times.append((time.perf_counter() - started) * 1_000)
    return times


async def measure_load(call: Callable[[], Awaitable[None]], pid: int) -> LoadResult:
    """Call concurrently and return the throughput of the server process `pid`."""
    count = 0
    deadline = time.perf_counter() + LOAD_ROUND_S

    async def caller() -> None:
        nonlocal count
        while time.perf_counter() < deadline:
            await call()
            count += 1

    cpu_before_s = process_cpu_s(pid)
    started = time.perf_counter()
    await asyncio.gather(*(caller() for _ in range(LOAD_CALLERS)))
    elapsed_s = time.perf_counter() - started
    cpu_used_s = process_cpu_s(pid) - cpu_before_s
    return LoadResult(count / elapsed_s, count / cpu_used_s)


async def run(cluster: Cluster, echo_address: str, echo_pid: int) -> None:
    """Measure the echo server, the stand-in and the entry host; print the report."""
    client = Client(cluster)
    await client.wait_until_settled()
    status = await client.status()
    group = status["groups"][0]
    entry = group["serving"][0]
    entry_url = f"http://{cluster.addresses[entry]}/v1/groups/roster/statements"
    entry_body = json.dumps(
        {"kind": "read", "statement": "get", "parameters": ["settled"]}
    )
    replica = next(
        name
        for name in cluster.process_names
        if name.startswith("roster-") and name != group["primary"]
    )
    direct_url = f"http://{cluster.addresses[replica]}/v1/calls/statement"
    direct_body = json.dumps(
        {
            "term": group["term"],
            "is_write": False,
            "statement": "get",
            "parameters": ["settled"],
        }
    )
    session = aiohttp.ClientSession()
    connect_url = f"http://{cluster.addresses[replica]}/v1/calls/connect"

    async def post(url: str, body: str) -> None:
        async with session.post(url, data=body) as response:
            await response.read()
            assert response.status == 200, await response.text()

    async def call_echo() -> None:
        await post(f"http://{echo_address}/echo", entry_body)

    async def call_direct() -> None:
        await post(direct_url, direct_body)

    async def call_entry() -> None:
        await post(entry_url, entry_body)

    await call_echo()
    await post(connect_url, "{}")
    echo_ms = percentile(await measure_latency(call_echo), 0.5)
    entry_ms = percentile(await measure_latency(call_entry), 0.5)
    echo_loads = []
    entry_loads = []
    for _ in range(LOAD_ROUNDS):
        echo_loads.append(await measure_load(call_echo, echo_pid))
        entry_loads.append(await measure_load(call_entry, cluster.pid(entry)))
    echo_per_cpu_s = percentile([load.requests_per_cpu_s for load in echo_loads], 0.5)
    entry_per_cpu_s = percentile([load.requests_per_cpu_s for load in entry_loads], 0.5)
    direct_ms = await direct_latency(direct_url, connect_url, direct_body)
    await session.close()
    await client.close()
    added_ratio = (entry_ms - direct_ms) / echo_ms
    # The two loads of a round are measured right after each other, so that a change in
    # machine speed between rounds does not affect their ratio.
    ratios = [
        entry.requests_per_cpu_s / echo.requests_per_cpu_s
        for entry, echo in zip(entry_loads, echo_loads, strict=True)
    ]
    throughput_ratio = percentile(ratios, 0.5)
    core_share = STATEMENTS_PER_S_AT_TARGET / entry_per_cpu_s
    print_report_and_exit(
        "overhead",
        {
            "echo_p50_ms": round(echo_ms, 3),
            "direct_p50_ms": round(direct_ms, 3),
            "entry_p50_ms": round(entry_ms, 3),
            "added_ratio": round(added_ratio, 2),
            "echo_per_core": round(echo_per_cpu_s),
            "entry_per_core": round(entry_per_cpu_s),
            "throughput_ratio": round(throughput_ratio, 3),
            "cpu_us_per_statement": round(1e6 / entry_per_cpu_s),
            "core_share_at_305": round(core_share, 3),
        },
        {
            "added_p50": added_ratio <= MAX_ADDED_RATIO,
            "throughput": throughput_ratio >= MIN_THROUGHPUT_RATIO,
            "core_share": core_share < MAX_CORE_SHARE,
        },
    )


async def direct_latency(url: str, connect_url: str, body: str) -> float:
    """Return the p50 latency in ms of direct statements on a single connection."""
    connector = aiohttp.TCPConnector(limit=1)
    async with aiohttp.ClientSession(connector=connector) as session:
        async with session.post(connect_url, data="{}") as response:
            await response.read()

        async def call() -> None:
            async with session.post(url, data=body) as response:
                assert response.status == 200, await response.text()
                await response.read()

        return percentile(await measure_latency(call), 0.5)


def main() -> None:
    """Start the processes, measure and print the report."""
    echo_address = free_address()
    echo = subprocess.Popen([sys.executable, "-c", ECHO_SERVER, echo_address])
    shape = ClusterShape(entry_hosts=1, control_hosts=1, connect_ms=0.0, slots=32)
    try:
        with Cluster(shape) as cluster:
            wait_until(lambda: echo.poll() is None)
            asyncio.run(run(cluster, echo_address, echo.pid))
    finally:
        echo.kill()
        echo.wait()


if __name__ == "__main__":
    main()
