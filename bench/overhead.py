"""What an entry host adds to a statement, against a bare aiohttp echo.

Separate processes in one run: an echo server, a stand-in asked directly, and the
same stand-in through an entry host that serves the group. Targets: the added p50
at one caller is at most 3 times the echo's p50; statements a second for each core
of the entry host are at least a third of the echo's; 305 statements a second cost
less than a third of a core.
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
from bench.report import finish, percentile

LATENCY_REQUESTS = 1_500
LOAD_SECONDS = 2.0
LOAD_ROUNDS = 9
LOAD_CALLERS = 24
STATEMENTS_PER_HOST = 305
MAX_ADDED_RATIO = 3.0
MIN_THROUGHPUT_RATIO = 1 / 3
MAX_CORE_SHARE = 1 / 3

ECHO = """
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
class Load:
    """Requests a second, and requests for each second of the server's processor."""

    per_second: float
    per_core: float


async def measure_latency(call: Callable[[], Awaitable[None]]) -> list[float]:
    """Return the times of single calls in milliseconds."""
    times = []
    for number in range(LATENCY_REQUESTS + 100):
        started = time.perf_counter()
        await call()
        if number >= 100:
            times.append((time.perf_counter() - started) * 1_000)
    return times


async def measure_load(call: Callable[[], Awaitable[None]], pid: int) -> Load:
    """Call from many callers and relate the count to the server's processor time."""
    count = 0
    end = time.perf_counter() + LOAD_SECONDS

    async def caller() -> None:
        nonlocal count
        while time.perf_counter() < end:
            await call()
            count += 1

    cpu_s = process_cpu_s(pid)
    started = time.perf_counter()
    await asyncio.gather(*(caller() for _ in range(LOAD_CALLERS)))
    took = time.perf_counter() - started
    used_s = process_cpu_s(pid) - cpu_s
    return Load(count / took, count / used_s)


async def run(cluster: Cluster, echo_address: str, echo_pid: int) -> None:
    """Measure all three and print the report."""
    client = Client(cluster)
    await client.wait_until_settled()
    status = await client.status()
    group = status["groups"][0]
    entry = group["serving"][0]
    url = f"http://{cluster.addresses[entry]}/v1/groups/roster/statements"
    read = json.dumps({"kind": "read", "statement": "get", "parameters": ["settled"]})
    replica = next(
        name
        for name in cluster.names
        if name.startswith("roster-") and name != group["primary"]
    )
    direct_url = f"http://{cluster.addresses[replica]}/v1/calls/statement"
    direct = json.dumps(
        {
            "term": group["term"],
            "is_write": False,
            "statement": "get",
            "parameters": ["settled"],
        }
    )
    session = aiohttp.ClientSession()
    connect = f"http://{cluster.addresses[replica]}/v1/calls/connect"

    async def post(target: str, body: str) -> None:
        async with session.post(target, data=body) as response:
            await response.read()
            assert response.status == 200, await response.text()

    async def call_echo() -> None:
        await post(f"http://{echo_address}/echo", read)

    async def call_direct() -> None:
        await post(direct_url, direct)

    async def call_entry() -> None:
        await post(url, read)

    await call_echo()
    await post(connect, "{}")
    echo_ms = percentile(await measure_latency(call_echo), 0.5)
    entry_ms = percentile(await measure_latency(call_entry), 0.5)
    echo_loads = []
    entry_loads = []
    for _ in range(LOAD_ROUNDS):
        echo_loads.append(await measure_load(call_echo, echo_pid))
        entry_loads.append(await measure_load(call_entry, cluster.pid(entry)))
    echo_per_core = percentile([load.per_core for load in echo_loads], 0.5)
    entry_per_core = percentile([load.per_core for load in entry_loads], 0.5)
    direct_ms = await direct_latency(direct_url, connect, direct)
    await session.close()
    await client.close()
    added_ratio = (entry_ms - direct_ms) / echo_ms
    # Each round's two loads are next to each other in time, so that a change of the
    # machine's speed between rounds does not count.
    ratios = [
        entry.per_core / echo.per_core
        for entry, echo in zip(entry_loads, echo_loads, strict=True)
    ]
    throughput_ratio = percentile(ratios, 0.5)
    core_share = STATEMENTS_PER_HOST / entry_per_core
    finish(
        "overhead",
        {
            "echo_p50_ms": round(echo_ms, 3),
            "direct_p50_ms": round(direct_ms, 3),
            "entry_p50_ms": round(entry_ms, 3),
            "added_ratio": round(added_ratio, 2),
            "echo_per_core": round(echo_per_core),
            "entry_per_core": round(entry_per_core),
            "throughput_ratio": round(throughput_ratio, 3),
            "cpu_us_per_statement": round(1e6 / entry_per_core),
            "core_share_at_305": round(core_share, 3),
        },
        {
            "added_p50": added_ratio <= MAX_ADDED_RATIO,
            "throughput": throughput_ratio >= MIN_THROUGHPUT_RATIO,
            "core_share": core_share < MAX_CORE_SHARE,
        },
    )


async def direct_latency(url: str, connect: str, body: str) -> float:
    """Return the p50 of statements straight to the stand-in on one connection."""
    connector = aiohttp.TCPConnector(limit=1)
    async with aiohttp.ClientSession(connector=connector) as session:
        async with session.post(connect, data="{}") as response:
            await response.read()

        async def call() -> None:
            async with session.post(url, data=body) as response:
                assert response.status == 200, await response.text()
                await response.read()

        return percentile(await measure_latency(call), 0.5)


def main() -> None:
    """Start the processes and measure."""
    echo_address = free_address()
    echo = subprocess.Popen([sys.executable, "-c", ECHO, echo_address])
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
