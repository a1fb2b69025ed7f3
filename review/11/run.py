"""Two planned changes of primary, while servers carry out orders late."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig3"))

from play import Play, main  # noqa: E402

RESUME_DELAY_S = 2.9  # orders are carried out 2 to 12 s late
RECEIVER_DELAY_S = 5.0


class LateOrders:
    """Leaves some orders to servers unanswered, and lets them be carried out late."""

    def __init__(self, play):
        self.play = play
        self.is_second = False
        self.chosen = set()
        self.first_late = asyncio.Event()
        self.orders = self.late = 0

    def delay(self, server, word):
        service = self.play.service
        self.orders += 1
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
        if not self.play.has_trouble:
            return None
        self.late += 1
        return delay_s


async def story(play):
    zones = ("north-pos", "central-cha", "south-sfo")
    play.add_server("i-p1", 1, zones[0], "primary")
    play.add_server("i-p2", 2, zones[1])
    play.add_server("i-p3", 3, zones[2])
    await play.begin([("book", "primary")])
    late = LateOrders(play)

    async def add(name, number):
        server = play.add_server(name, number, zones[number % 3])
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
    lost = play.lost_confirmed()
    play.record.write("orders", late.orders, "late", late.late)
    play.record.write("lost", len(lost), lost[:5])
    print("orders", late.orders, "late", late.late, "lost", len(lost), lost[:5])
    return bool(lost)


if __name__ == "__main__":
    main(Play(HERE), story)
