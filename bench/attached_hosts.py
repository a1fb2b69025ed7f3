"""Attaches many entry hosts to the control hosts from one process.

The hosts have no HTTP server for callers. Prints one JSON line: the number of hosts
that hold a lease, and the CPU time and link bytes per host over the measured time.
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


async def run(count: int, duration_s: float, control_addresses: dict[str, str]) -> None:
    """Attach the hosts, measure after the warm-up and print the results.

    `control_addresses` maps each control host to its link address. Consecutive
    entry hosts start at different control hosts, so that all get an equal share.
    """
    loop = asyncio.get_running_loop()
    port = HttpEndpointPort()
    await port.start()
    links: list[ZmqLink] = []
    nodes: list[EntryNode] = []
    for number in range(count):
        name = f"host-{number}"
        link = ZmqLink(name, free_address(), WIRE_CODEC)
        for control, address in control_addresses.items():
            link.set_peer_address(control, address)
        names = sorted(control_addresses)
        attach_order = names[number % len(names) :] + names[: number % len(names)]
        config = EntryConfig(
            name,
            link.address,
            f"domain-{number % 6}",
            tuple(attach_order),
            time.time_ns(),
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
    cpu_before_s = time.process_time()
    sent_before = sum(link.sent_bytes for link in links)
    received_before = sum(link.received_bytes for link in links)
    await asyncio.sleep(duration_s)
    results = {
        "hosts": count,
        "leases": sum(node.session.has_lease() for node in nodes),
        "cpu_percent_per_host": (time.process_time() - cpu_before_s)
        / duration_s
        / count
        * 100,
        "sent_per_s": (sum(link.sent_bytes for link in links) - sent_before)
        / duration_s
        / count,
        "received_per_s": (
            (sum(link.received_bytes for link in links) - received_before)
            / duration_s
            / count
        ),
    }
    print(json.dumps(results), flush=True)
    for link in links:
        await link.stop()
    await port.stop()


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1]), float(sys.argv[2]), json.loads(sys.argv[3])))
