"""An unanswered promotion order of a killed leader is carried out 11 s later."""

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

ROUNDS = 5
DARK_S = 5.0
LATE_S = 11.0
KILL_AFTER_S = 2.0
PROMOTE_S = 1.0  # the sheet's "1,000 ms a promote"
CLIENTS = 20
PAUSE_S = 0.04
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def end_dark(record: Record, primary: Server) -> None:
    record.write(f"BACK {primary.name}")
    primary.come_back()


async def disturb(record: Record, site: Site, group: Group, platform: Platform) -> None:
    """Let the primary be dark for 5 s, and kill the leader that wants to replace it."""
    primary, orders = group.primary, platform.orders
    platform.silent, platform.late_s = True, LATE_S
    record.write(f"DARK {primary.name}")
    primary.go_dark()
    dark_until = asyncio.get_running_loop().time() + DARK_S
    asyncio.get_running_loop().call_later(DARK_S, end_dark, record, primary)
    while platform.orders == orders:
        if asyncio.get_running_loop().time() > dark_until:
            break
        await asyncio.sleep(0.02)
    ordered_at = asyncio.get_running_loop().time()
    platform.silent = False
    if platform.orders > orders:
        platform.go_down()
        record.write("the platform is down")
        await asyncio.sleep(KILL_AFTER_S)
        leader = int(platform.last_holder.rpartition("-")[2])
        record.write(f"KILL {platform.last_holder}")
        site.kill("control", leader)
        await platform.start(site.platform)
        record.write("the platform is up")
        site.start("control", leader, is_first=False)
    await asyncio.sleep(ordered_at + LATE_S + 4.5 - asyncio.get_running_loop().time())


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
    for _ in range(ROUNDS):
        if TROUBLE:
            await disturb(record, site, group, platform)
        else:
            await asyncio.sleep(19.0)
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
