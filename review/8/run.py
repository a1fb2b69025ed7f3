"""A primary crashes and is back half a second later, while a replica is being promoted."""

import asyncio
import os
import random
import sys
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

CRASHES = 7
DOWN_S = 0.55
PROMOTE_S = 1.0  # the sheet's "1,000 ms a promote"
CLIENTS = 20
PAUSE_S = 0.04
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
    if not await order_manifest(site, manifest(1, sync_replicas=1)):
        return finish(
            2, "COULD NOT RUN: the first manifest was not acknowledged", record
        )
    clients = [Client(f"c{n}", site, record) for n in range(CLIENTS)]
    tasks += [asyncio.create_task(client.run(PAUSE_S)) for client in clients]
    await asyncio.sleep(8.0)
    if not group.acknowledged:
        return finish(2, "COULD NOT RUN: no write was acknowledged", record)
    for _ in range(CRASHES):
        if TROUBLE:
            primary = group.primary
            record.write(f"CRASH {primary.name} at {primary.position}")
            primary.crash()
            await asyncio.sleep(DOWN_S)
            await primary.start()
            record.write(f"BACK {primary.name} as {primary.role} at {primary.position}")
        await asyncio.sleep(9.0)
    await end_tasks()
    succeeded = {name for client in clients for name in client.successes}
    lost = [name for name in group.lost if name in succeeded]
    summary = (
        f"{len(succeeded)} writes were answered with success, "
        f"{group.promotions} promotions, {platform.orders} orders"
    )
    if TROUBLE and not group.promotions:
        return finish(0, f"HELD: {summary}", record)
    if lost:
        return finish(
            1,
            f"BROKEN LOST: {len(lost)} of them were not in the log of the promoted server: {lost[:8]}; {summary}",
            record,
        )
    return finish(0, f"HELD: {summary}", record)


def main() -> int:
    record = Record(FOLDER / "record.txt")
    site = Site(FOLDER)
    try:
        return asyncio.run(play(record, site))
    finally:
        site.stop()


if __name__ == "__main__":
    sys.exit(main())
