"""A planned stop of an entry host cuts off statements that wait for a connection.

The host has read them, no server has seen them, and their time is not over: it ends
their connections without an answer 1.2 s before the end of the grace period.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness as h

FOLDER = Path(__file__).resolve().parent
CLIENTS = 100
WORK_S = 0.1
TIMEOUT_MS = 4000  # of the route
GRACE_S = 6.0  # grace_period_s
SLACK_S = 0.2  # loss_slack_ms


async def case(record):
    fleet = h.Fleet(
        record,
        controls=["east-1", "west-1", "south-1"],
        entries=["east-1", "west-1", "south-1"],
    )
    service = h.Service("core", record, limit=12)
    platform = h.Platform(fleet.platform_address, [service], record)
    servers = [
        h.Server(service, "i-a1", "east-1", f"{fleet.network}.101:8080", fleet, record,
                 role="primary"),
        h.Server(service, "i-b2", "west-1", f"{fleet.network}.102:8080", fleet, record),
        h.Server(service, "i-c3", "south-1", f"{fleet.network}.103:8080", fleet, record),
    ]
    tasks, reached, lost = [], set(), []
    counts = {"answered": 0, "refused": 0, "cut": 0}
    term_at = None
    for server in servers:
        server.work_s["WRITE"] = WORK_S
        server.on_run = lambda request, text: reached.add(request)

    async def work(number):
        """Write without pauses; after a close, go on through another host."""
        entry, session = "entry-1", 0
        while True:
            session += 1
            client = h.Client(f"w{number}s{session}", fleet, entry, "book", record)
            if await client.open() is not True:
                entry = f"entry-{number % 2 + 2}"
                await asyncio.sleep(0.1)
                continue
            while client.writer is not None:
                sent_at = record.now()
                request, outcome, state = await client.query(f"WRITE k{number} v1", 8.0)
                if outcome == "CLOSED":
                    counts["cut"] += 1
                    note_cut(request, sent_at, record.now())
                elif outcome and outcome.startswith("COMPLETE"):
                    counts["answered"] += 1
                else:
                    counts["refused"] += 1
                    await asyncio.sleep(0.05)
            entry = f"entry-{number % 2 + 2}"

    def note_cut(request, sent_at, at):
        """Count a cut request that the rule does not excuse."""
        if term_at is None:
            return
        waited = at - sent_at
        if waited < SLACK_S or waited >= 0.7 * TIMEOUT_MS / 1000:
            return
        if at > term_at + GRACE_S + 1.0 or request in reached:
            return
        lost.append(request)
        record(f"LOST: {request}, sent {sent_at - term_at:.3f} s after the SIGTERM, was "
               f"cut off after {waited:.3f} s; no server has seen it")

    try:
        await platform.start()
        for server in servers:
            await server.start()
        await fleet.start_all()
        await asyncio.sleep(1.0)
        operator = h.Operator(fleet, record)
        first = h.manifest(3, [("core", 12, 0)], [("book", "primary", "core", TIMEOUT_MS)])
        if await operator.replace(first) is None or not await fleet.wait_ready():
            return h.NOT_RUN
        await asyncio.sleep(4.0)
        tasks += [asyncio.create_task(work(n)) for n in range(CLIENTS)]
        await asyncio.sleep(7.0)
        if h.has_trouble():
            term_at = record.now()
            fleet.send_signal("entry-1", signal.SIGTERM)
            async with asyncio.timeout(GRACE_S):
                await fleet.processes["entry-1"].wait()
            record(f"entry-1 ended {record.now() - term_at:.3f} s after the SIGTERM")
        else:
            await asyncio.sleep(GRACE_S)
        await asyncio.sleep(0.5)
        record(f"{counts}; {len(lost)} lost")
        if not counts["answered"]:
            return h.NOT_RUN
        return h.BROKEN if lost else h.HELD
    finally:
        for task in tasks:
            task.cancel()
        for server in servers:
            if server.is_up:
                server.crash()
        await fleet.stop_all(os.environ.get("KEEP_LOGS"))


h.run_case(FOLDER, case)
