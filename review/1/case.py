"""A session whose database moves to another service doesn't read its own writes.

The operator drops the route of a database and adds it again for another service, whose
log positions are lower. The session keeps its position of the old service for its newest
write, and the positions of its later writes don't count.
"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness as h

FOLDER = Path(__file__).resolve().parent
SESSIONS = 12  # that write and then read, on the route that moves
OTHERS = 6  # sessions on the service that the route moves to
BEFORE_S, AFTER_S = 8.0, 15.0


async def case(record):
    fleet = h.Fleet(
        record,
        controls=["east-1", "west-1", "south-1"],
        entries=["east-1", "west-1", "south-1"],
    )
    services = {name: h.Service(name, record) for name in ("first", "second")}
    platform = h.Platform(fleet.platform_address, services.values(), record)
    servers, tasks, stale = [], [], []
    own_writes, read_by = {}, {}
    counts = {"writes": 0, "reads": 0, "refused": 0}

    def check(server):
        """Check each read when it runs: its log must hold the session's own commits."""

        def on_run(request, text):
            session = read_by.get(request)
            if session is None:
                return
            lacks = [
                write for write, service in own_writes[session]
                if service is server.service
                and write not in service.rolled_back
                and not server.holds(write)
            ]
            if lacks:
                stale.append(request)
                record(f"STALE: {request} runs at {server.id} of {server.service.name} "
                       f"({server.role}, {server.position()}), whose log lacks "
                       f"{lacks[-1]}, acknowledged to the same session before")

        return on_run

    for number, service in enumerate(services.values()):
        for place, zone in enumerate(["east-1", "west-1", "south-1"]):
            address = f"{fleet.network}.{100 + 3 * number + place}:8080"
            server = h.Server(service, f"i-{number}{'abc'[place]}", zone, address, fleet,
                              record, "replica" if place else "primary")
            server.on_run = check(server)
            server.spread = 0.7
            servers.append(server)

    async def work(database, number, reads):
        session = 0
        while True:
            session += 1
            client = h.Client(f"{database}{number}s{session}", fleet,
                              f"entry-{number % 3 + 1}", database, record)
            own_writes[client.name] = []
            if await client.open() is not True:
                await asyncio.sleep(0.1)
                continue
            while client.writer is not None:
                request, outcome, state = await client.query(f"WRITE k{number} v1")
                if outcome and outcome.startswith("COMPLETE"):
                    counts["writes"] += 1
                    service = next(s for s in services.values() if request in s.commits)
                    own_writes[client.name].append((request, service))
                else:
                    counts["refused"] += 1
                if reads and client.writer is not None:
                    read_by[f"{client.name}n{client.count + 1:05d}"] = client.name
                    request, outcome, state = await client.query(f"READ k{number}")
                    is_served = bool(outcome) and outcome.startswith("COMPLETE")
                    counts["reads" if is_served else "refused"] += 1
                await asyncio.sleep(0.05)

    def configuration(version, service):
        """Return a manifest; without a service, "own" has no route."""
        routes = [
            ("book-1", "primary", "first", 1000),
            ("book-2", "primary", "second", 1000),
        ]
        if service is not None:
            routes.append(("own", "read_own_writes", service, 1000))
        return h.manifest(version, [(name, 45, 0) for name in services], routes)

    try:
        await platform.start()
        for server in servers:
            await server.start()
        await fleet.start_all()
        await asyncio.sleep(1.0)
        operator = h.Operator(fleet, record)
        if await operator.replace(configuration(3, "first")) is None:
            return h.NOT_RUN
        if not await fleet.wait_ready():
            return h.NOT_RUN
        await asyncio.sleep(4.0)
        early = [asyncio.create_task(work("book-1", n, False)) for n in range(20)]
        tasks += early
        tasks += [asyncio.create_task(work("own", n, True)) for n in range(SESSIONS)]
        await asyncio.sleep(BEFORE_S)
        for task in early:
            task.cancel()
        tasks += [asyncio.create_task(work("book-2", n, True)) for n in range(OTHERS)]
        await asyncio.sleep(1.0)
        if h.has_trouble():
            if await operator.replace(configuration(8, None)) is None:
                return h.NOT_RUN
            await asyncio.sleep(1.0)
            if await operator.replace(configuration(11, "second")) is None:
                return h.NOT_RUN
        await asyncio.sleep(AFTER_S)
        ends = {name: s.primary.position() for name, s in services.items()}
        record(f"{counts}; positions {ends}; {len(stale)} stale reads")
        if not counts["reads"]:
            return h.NOT_RUN
        return h.BROKEN if stale else h.HELD
    finally:
        for task in tasks:
            task.cancel()
        for server in servers:
            if server.is_up:
                server.crash()
        await fleet.stop_all(os.environ.get("KEEP_LOGS"))


h.run_case(FOLDER, case)
