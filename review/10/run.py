"""A host that restarts goes on with a primary that has been leaving for 7 s."""

import asyncio
import math
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_site_2 import (  # noqa: E402
    Client,
    Group,
    Platform,
    Record,
    Server,
    Site,
    ZONES,
    end_tasks,
    finish,
    manifest,
    order_manifest,
)

CONTACT_S = 5.0  # contact_ms
DRAIN_S = 7.0  # drain_ms
SERVES_S = 12.0  # the server serves for drain_ms and some seconds more
RESTART_AFTER_S = 2.5
PROMOTE_S = 1.0  # the sheet's "1,000 ms a promote"
CLIENTS = 60
PAUSE_S = 0.1
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def play(record: Record, site: Site) -> int:
    group = Group(record, lambda: random.sample(site.controls, len(site.controls)))
    for number, zone in enumerate(ZONES):
        server = Server(group, f"i-{number}a7f3", site.server_address(number), zone)
        group.servers.append(server)
    group.servers[0].role = "primary"
    platform = Platform(group, PROMOTE_S)
    await platform.start(site.platform)
    site.start_all()
    tasks = []
    for server in group.servers:
        await server.start()
        tasks.append(asyncio.create_task(server.beat()))
    if not await order_manifest(site, manifest(1, sync_replicas=0)):
        return finish(
            2, "COULD NOT RUN: the first manifest was not acknowledged", record
        )
    clients = [Client(f"c{n}", site, record) for n in range(CLIENTS)]
    for client in clients:
        client.operations = 1  # "Other sessions serve a single operation"
    tasks += [asyncio.create_task(client.run(PAUSE_S)) for client in clients]
    await asyncio.sleep(8.0)
    if not group.acknowledged:
        return finish(2, "COULD NOT RUN: no write was acknowledged", record)
    started = {address: time.monotonic() - CONTACT_S for address in site.entries}
    primary = group.primary
    platform.silent, platform.late_s = TROUBLE, 1_000.0
    primary.state = "draining"
    primary.report_now()
    record.write(f"DRAINING {primary.name}")
    while primary.leave_noted_at == math.inf:
        await asyncio.sleep(0.005)
    noted_at = primary.leave_noted_at
    record.write("the report was acknowledged")
    if TROUBLE:
        await asyncio.sleep(RESTART_AFTER_S)
        record.write("KILL entry-0")
        site.kill("entry", 0)
        await asyncio.sleep(0.5)
        site.start("entry", 0)
        started[site.entries[0]] = time.monotonic()
        record.write("START entry-0")
    await asyncio.sleep(noted_at + SERVES_S - time.monotonic())
    await end_tasks()
    sent = {name: where for client in clients for name, where in client.sent.items()}
    late = []
    for arrived_at, name in primary.runs:
        sent_at, address = sent[name]
        is_in_touch = sent_at > started[address] + CONTACT_S
        if is_in_touch and arrived_at > noted_at + DRAIN_S:
            late.append(name)
            record.write(
                f"LATE {name} by {address}, sent {sent_at - started[address]:.2f} s after "
                f"its start, run {arrived_at - noted_at:.2f} s after the acknowledgement"
            )
    summary = f"{len(primary.runs)} requests, {platform.orders} promotion orders"
    if late:
        return finish(
            1,
            f"BROKEN DRAIN: {len(late)} requests later than drain_ms; {summary}",
            record,
        )
    return finish(0, f"HELD: {summary}", record)


def main() -> int:
    record = Record(FOLDER / "record.txt")
    site = Site(FOLDER, entries=6)
    try:
        return asyncio.run(play(record, site))
    finally:
        site.stop()


if __name__ == "__main__":
    sys.exit(main())
