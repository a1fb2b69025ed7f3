"""Two servers are replaced in turn; the one to be promoted gets nothing meanwhile."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from small_site_3_play import NotRun, Play, main  # noqa: E402

GAP_S = 1.0  # between the starts of two new servers
READY_S = 0.7  # from the start of a new server until the old one drains
DRAIN_S = 8.0
DEAF_S = 6.0
MAX_DEAF_S, MAX_DEAF_SHARE = 6.5, 0.7  # the site's dose of replica_lag


async def replace(play, old, name, number):
    """The new server starts first, and the old one drains."""
    await play.add_server(name, number, old.zone).start()
    await asyncio.sleep(READY_S)
    return asyncio.ensure_future(old.leave(DRAIN_S))


async def wait_for_order(play):
    for _ in range(1_000):
        if play.platform.orders:
            return play.platform.orders[-1][2]
        await asyncio.sleep(0.01)
    raise NotRun("no promotion was ordered")


async def story(play):
    zones = ("north-pos", "central-cha", "south-sfo")
    primary = play.add_server("i-p1", 1, zones[0], "primary")
    replica = play.add_server("i-p2", 2, zones[1])
    play.add_server("i-p3", 3, zones[2])
    await play.begin([("book", "primary")])
    writers = [
        asyncio.ensure_future(play.write_constantly(address, "book", f"w{number}"))
        for number, address in enumerate(play.fleet.caller_addresses)
    ]
    await asyncio.sleep(1.0)
    leaving = [await replace(play, primary, "i-n1", 4)]
    gap = asyncio.ensure_future(asyncio.sleep(GAP_S - READY_S))
    name = await wait_for_order(play)
    ordered = next(s for s in play.service.servers if s.name == name)
    if play.has_trouble:
        ordered.set_deaf(True)
    deaf_s = time.monotonic()
    replicas = len(play.service.servers) - 1
    deaf = asyncio.ensure_future(asyncio.sleep(DEAF_S))
    await gap
    leaving.append(await replace(play, replica, "i-n2", 5))
    await deaf
    if play.has_trouble:
        ordered.set_deaf(False)
        deaf_s = time.monotonic() - deaf_s
        is_inside = deaf_s <= MAX_DEAF_S and 1 <= MAX_DEAF_SHARE * replicas
        play.require(is_inside, f"1 of {replicas} replicas deaf for {deaf_s:.1f} s")
    await asyncio.gather(*leaving)
    play.is_writing = False
    await asyncio.gather(*writers)
    lost = play.lost_confirmed()
    play.record.write("lost", len(lost), lost[:5])
    print("switches", play.service.switches, "lost", len(lost), lost[:5])
    return bool(lost)


if __name__ == "__main__":
    main(Play(HERE), story)
