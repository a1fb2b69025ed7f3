"""Two planned changes of primary, while servers carry out orders late."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from small_site_3_play import Play, main  # noqa: E402

RESUME_DELAY_S = 2.9  # orders are carried out 2 to 12 s late
RECEIVER_DELAY_S = 5.0
LATE_SHARE, LATE_FOR_S = 0.35, 5.5  # the site's dose of applied_late


class LateOrders:
    """Leaves some orders to servers unanswered, and lets them be carried out late."""

    def __init__(self, play):
        self.play = play
        self.is_second = False
        self.chosen = set()
        self.first_late = asyncio.Event()
        self.orders = []  # time of each PAUSE and RESUME, and whether it is late

    def delay(self, server, word):
        delay_s = self.choose(server, word)
        self.orders.append((time.monotonic(), delay_s is not None))
        return delay_s

    def choose(self, server, word):
        service = self.play.service
        if word != "RESUME" or not service.switches or len(service.switches) > 1:
            return None
        if not self.is_second and server.name not in self.chosen:
            self.chosen.add(server.name)
            self.first_late.set()
            delay_s = RESUME_DELAY_S
        elif self.is_second and "receiver" not in self.chosen:
            self.chosen.add("receiver")
            delay_s = RECEIVER_DELAY_S
        else:
            return None
        return delay_s if self.play.has_trouble else None

    def check_dose(self):
        """The late orders are a share of those in one span of the site's length."""
        times = [at_s for at_s, is_late in self.orders if is_late]
        if not times:
            return
        span = [is_late for s, is_late in self.orders if 0 <= s - times[0] <= LATE_FOR_S]
        text = f"{len(times)} of {len(span)} orders late, within {times[-1] - times[0]:.1f} s"
        is_inside = times[-1] - times[0] <= LATE_FOR_S
        self.play.require(is_inside and sum(span) <= LATE_SHARE * len(span), text)
        print(text)


async def story(play):
    zones = ("north-pos", "central-cha", "south-sfo")
    play.add_server("i-p1", 1, zones[0], "primary")
    play.add_server("i-p2", 2, zones[1])
    play.add_server("i-p3", 3, zones[2])
    await play.begin([("book", "primary")])
    late = LateOrders(play)

    async def add(name, number):
        server = play.add_server(name, number, play.service.primary.zone)
        server.late_order = late.delay
        await server.start()
        await asyncio.sleep(0.7)

    for server in play.service.servers:
        server.late_order = late.delay
    writers = [
        asyncio.ensure_future(play.write_constantly(address, "book", f"w{number}"))
        for number, address in enumerate(play.fleet.caller_addresses)
    ]
    await asyncio.sleep(1.0)
    # The servers are replaced one after the other: the new one starts first.
    await add("i-n1", 4)
    play.service.primary.drain()
    await asyncio.wait_for(late.first_late.wait(), 20.0)
    await asyncio.sleep(RESUME_DELAY_S - 1.2)
    await add("i-n2", 5)
    late.is_second = True
    play.service.primary.drain()
    for _ in range(100):
        await asyncio.sleep(0.1)
        if len(play.service.switches) > 1:
            break
    await asyncio.sleep(2.0)
    play.is_writing = False
    await asyncio.gather(*writers)
    late.check_dose()
    lost = play.lost_confirmed()
    play.record.write("lost", len(lost), lost[:5])
    print("lost", len(lost), lost[:5])
    return bool(lost)


if __name__ == "__main__":
    main(Play(HERE), story)
