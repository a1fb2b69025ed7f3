"""One unreadable liveness report from another writer stops control's answers.

The report holds a number that no field can hold. Control keeps it, and from then on
cannot send its directory: a server that leaves is still used after `drain_ms`.
"""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness as h

FOLDER = Path(__file__).resolve().parent
DRAIN_S = 7.0  # drain_ms
APPLY_S = 3.0  # configuration_apply_ms
STAY_S = 10.0  # how long the leaving server serves after its acknowledgement


async def case(record):
    fleet = h.Fleet(
        record,
        controls=["east-1", "west-1", "south-1"],
        entries=["east-1", "west-1", "south-1"],
    )
    service = h.Service("core", record)
    platform = h.Platform(fleet.platform_address, [service], record)
    servers = [
        h.Server(service, "i-a1", "south-1", f"{fleet.network}.101:8080", fleet, record,
                 role="primary"),
        h.Server(service, "i-b2", "east-1", f"{fleet.network}.102:8080", fleet, record),
        h.Server(service, "i-c3", "west-1", f"{fleet.network}.103:8080", fleet, record),
    ]
    leaving = servers[1]
    tasks, late, old = [], [], []
    counts = {"reads": 0, "reads refused": 0}
    changed_at = None
    sent_at = {}

    def on_run(request, text):
        now = record.now()
        if leaving.drain_ack_at is not None and now > leaving.drain_ack_at + DRAIN_S:
            late.append((now, request))
            record(f"{leaving.id} runs {request} {text}, "
                   f"{now - leaving.drain_ack_at:.3f} s after its acknowledgement")

    leaving.on_run = on_run

    async def other_writer():
        """Send one report, as a server does: to the next node after a failure."""
        body = json.dumps({
            "service": "stock", "address": f"{fleet.network}.199:8080",
            "zone": "east-1", "version": "v1", "slots": 10**24, "state": "ready",
            "cold_remaining_ms": 0, "database_role": "replica", "seq": 1,
            "born": born,
        }).encode()
        for name in fleet.controls:
            answer = await h.http(fleet.control_address(name), "POST",
                                  "/v1/Instances.Heartbeat/i-x9", body)
            record(f"another writer reports to {name}: {body.decode()} -> "
                   f"{answer and answer[0]}")
            if answer is not None and answer[0] == 200:
                break

    born = int(time.time() * 1000)
    try:
        await platform.start()
        for server in servers:
            await server.start()
        await fleet.start_all()
        await asyncio.sleep(1.0)
        operator = h.Operator(fleet, record)
        services = [("core", 45, 0)]
        routes = [
            ("book", "primary", "core", 1000),
            ("view", "bounded_staleness", "core", 2000),
        ]
        first = h.manifest(3, services, [*routes, ("past", "primary", "core", 1000)])
        if await operator.replace(first) is None or not await fleet.wait_ready():
            return h.NOT_RUN
        await asyncio.sleep(4.0)

        async def read(number, database):
            client = None
            while True:
                if client is None or client.writer is None:
                    client = h.Client(f"{database}{number}", fleet,
                                      f"entry-{number % 3 + 1}", database, record)
                    opened = await client.open()
                    if opened is not True:
                        client.note(f"START {database} got {opened}")
                        await asyncio.sleep(0.5)
                        continue
                at = record.now()
                _, outcome, state = await client.query(f"READ k{number}")
                is_served = bool(outcome) and outcome.startswith("COMPLETE")
                counts["reads" if is_served else "reads refused"] += 1
                if database == "past" and is_served and changed_at is not None:
                    if at > changed_at + APPLY_S:
                        old.append(at)
                await asyncio.sleep(0.1)

        tasks += [asyncio.create_task(read(n, "view")) for n in range(6)]
        tasks += [asyncio.create_task(read(n, "past")) for n in range(3)]
        await asyncio.sleep(2.0)
        if h.has_trouble():
            await other_writer()
        await asyncio.sleep(1.0)
        leaving.drain()
        await asyncio.sleep(1.0)
        changed_at = await operator.replace(h.manifest(8, services, routes))
        for _ in range(200):
            if leaving.drain_ack_at is not None:
                break
            await asyncio.sleep(0.05)
        await asyncio.sleep(STAY_S)
        record(f"{counts}; draining acknowledged at {leaving.drain_ack_at}; version 8 at "
               f"{changed_at}; {len(late)} late at the leaving server; {len(old)} of the "
               "dropped route served too late")
        record(f"processes ended: {fleet.unexpected_ends()}")
        if not counts["reads"]:
            return h.NOT_RUN
        return h.BROKEN if late or old else h.HELD
    finally:
        for task in tasks:
            task.cancel()
        for server in servers:
            if server.is_up:
                server.crash()
        await fleet.stop_all(os.environ.get("KEEP_LOGS"))


h.run_case(FOLDER, case)
