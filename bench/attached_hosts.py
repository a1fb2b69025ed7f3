"""Many entry hosts attached to control from one process, without HTTP.

Prints one JSON line: how many hosts hold a lease, and the processor time and link
bytes for each of them over the measured time.
"""

import asyncio
import json
import random
import sys
import time

from azurerelay.daemons import (
    WIRE_CODEC,
    AsyncioTimerService,
    HttpEndpointPort,
    ZmqLink,
)
from azurerelay.entry import EntryConfig, EntryNode
from bench.processes import free_address

WARM_UP_S = 5.0


async def run(count: int, seconds: float, controls: dict[str, str]) -> None:
    """Attach the hosts, wait until they hold leases, and measure."""
    loop = asyncio.get_running_loop()
    port = HttpEndpointPort()
    await port.start()
    links: list[ZmqLink] = []
    nodes: list[EntryNode] = []
    for number in range(count):
        name = f"host-{number}"
        link = ZmqLink(name, free_address(), WIRE_CODEC)
        for control, address in controls.items():
            link.learn(control, address)
        names = sorted(controls)
        order = names[number % len(names) :] + names[: number % len(names)]
        config = EntryConfig(
            name, link.address, f"domain-{number % 6}", tuple(order), time.time_ns()
        )
        timers = AsyncioTimerService(loop)
        node = EntryNode(config, link, port, timers, random.Random(number))
        link.set_handler(node.on_message)
        await link.start()
        node.start()
        links.append(link)
        nodes.append(node)
        await asyncio.sleep(0.002)
    await asyncio.sleep(WARM_UP_S)
    cpu = time.process_time()
    sent = sum(link.sent_bytes for link in links)
    received = sum(link.received_bytes for link in links)
    await asyncio.sleep(seconds)
    figures = {
        "hosts": count,
        "leases": sum(node.session.has_lease() for node in nodes),
        "cpu_percent_per_host": (time.process_time() - cpu) / seconds / count * 100,
        "sent_per_s": (sum(k.sent_bytes for k in links) - sent) / seconds / count,
        "received_per_s": (
            (sum(k.received_bytes for k in links) - received) / seconds / count
        ),
    }
    print(json.dumps(figures), flush=True)
    for link in links:
        await link.stop()
    await port.stop()


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1]), float(sys.argv[2]), json.loads(sys.argv[3])))
