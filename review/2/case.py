"""A replica that has no news is promoted, and acknowledged commits are lost.

The service has `sync_replicas` 1. One replica receives nothing for a while and the
primary crashes meanwhile; the other replica has every acknowledged commit, but is busy
with reads when control asks for its position.
"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness as h

FOLDER = Path(__file__).resolve().parent
DEAF_AT_S, CRASH_AFTER_S, DEAF_FOR_S = 5.0, 4.0, 6.0
READERS = 26


async def case(record):
    fleet = h.Fleet(
        record,
        controls=["east-1", "west-1", "south-1"],
        entries=["east-1", "east-1", "east-1", "west-1", "south-1"],
    )
    service = h.Service("core", record, sync=1, limit=102)
    platform = h.Platform(fleet.platform_address, [service], record)
    servers = [
        h.Server(service, "i-a1", "south-1", f"{fleet.network}.101:8080", fleet, record,
                 role="primary"),
        h.Server(service, "i-b2", "east-1", f"{fleet.network}.102:8080", fleet, record),
        h.Server(service, "i-c3", "west-1", f"{fleet.network}.103:8080", fleet, record),
    ]
    primary, busy, deaf = servers
    for server in servers:
        server.work_s["READ"] = 0.06
    tasks, acknowledged, lost = [], {}, []
    counts = {"reads": 0, "reads refused": 0}

    def check(server):
        held = {commit.request for commit in server.log}
        lost.extend(r for r in acknowledged if r not in held)

    service.on_promoted = check
    try:
        await platform.start()
        for server in servers:
            await server.start()
        await fleet.start_all()
        await asyncio.sleep(1.0)
        operator = h.Operator(fleet, record)
        first = h.manifest(
            3,
            [("core", 102, 1)],
            [
                ("book", "primary", "core", 1000),
                ("view", "bounded_staleness", "core", 2000),
            ],
        )
        if await operator.replace(first) is None or not await fleet.wait_ready():
            return h.NOT_RUN
        await asyncio.sleep(4.0)

        async def write(number):
            entries = fleet.entries
            attempt = number
            while True:
                attempt += 1
                client = h.Client(f"w{number}a{attempt}", fleet,
                                  entries[attempt % len(entries)], "book", record)
                if await client.open() is not True:
                    await asyncio.sleep(0.1)
                    continue
                while client.writer is not None:
                    request, outcome, state = await client.query(f"WRITE k{number} v1")
                    if outcome and outcome.startswith("COMPLETE"):
                        acknowledged[request] = record.now()
                    elif outcome:
                        client.close()
                    await asyncio.sleep(0.1)

        async def read(number):
            client = None
            while True:
                if client is None or client.writer is None:
                    client = h.Client(f"r{number}", fleet, f"entry-{number % 3 + 1}",
                                      "view", record)
                    if await client.open() is not True:
                        await asyncio.sleep(0.2)
                        continue
                _, outcome, state = await client.query(f"READ k{number}")
                is_served = bool(outcome) and outcome.startswith("COMPLETE")
                counts["reads" if is_served else "reads refused"] += 1
                if not is_served:
                    await asyncio.sleep(0.05)

        tasks += [asyncio.create_task(write(n)) for n in range(4)]
        tasks += [asyncio.create_task(read(n)) for n in range(READERS)]
        await asyncio.sleep(DEAF_AT_S)
        if h.has_trouble():
            record(f"{deaf.id} receives nothing for {DEAF_FOR_S} s")
            deaf.is_deaf = True
        await asyncio.sleep(CRASH_AFTER_S)
        if h.has_trouble():
            primary.crash()
        await asyncio.sleep(DEAF_FOR_S - CRASH_AFTER_S)
        deaf.is_deaf = False
        await asyncio.sleep(6.0)
        record(f"{len(acknowledged)} writes acknowledged, {counts}")
        ended = fleet.unexpected_ends()
        if ended:
            record(f"processes ended: {ended}")
        if not acknowledged or not counts["reads"]:
            return h.NOT_RUN
        if h.has_trouble() and not service.promotions:
            record("no server was promoted")
            return h.NOT_RUN
        for request in lost:
            record(f"LOST: {request}, acknowledged at {acknowledged[request]:.3f}, "
                   "is not in the log of the promoted server")
        return h.BROKEN if lost else h.HELD
    finally:
        for task in tasks:
            task.cancel()
        for server in servers:
            if server.is_up:
                server.crash()
        await fleet.stop_all(os.environ.get("KEEP_LOGS"))


h.run_case(FOLDER, case)
