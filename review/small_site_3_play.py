"""Starts the fleet and the stand-ins of a case, and ends with its verdict."""

import asyncio
import os
import sys
import time
import traceback

from small_site_3_fleet import Fleet, manifest
from small_site_3_world import Client, Platform, Record, Server, Service, World

BROKEN, HELD, NOT_RUN = 1, 0, 2
LIMIT_S = 110.0


class NotRun(Exception):
    """The case could not be set up."""


class Play:
    """A fleet, the servers of one service, the platform and the clients."""

    def __init__(self, folder, entries=6, sync_replicas=1, promote_s=1.0):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.fleet = Fleet(entries)
        self.world = World(self.record)
        self.world.control_addresses = self.fleet.control_addresses
        self.service = Service("ros1", sync_replicas, promote_s)
        self.world.services["ros1"] = self.service
        self.platform = Platform(self.world, self.fleet.platform)
        self.confirmed = {}  # when a client was told of a commit
        self.outcomes = {}
        self.is_writing = True

    def add_server(self, name, number, zone, role="replica"):
        address = f"{self.fleet.net}.{200 + number}:9000"
        return Server(self.world, self.service, name, address, zone, role)

    async def begin(self, databases, version=1):
        """Start everything, and wait until a write on each entry host succeeds."""
        await self.platform.start()
        self.fleet.start()
        for server in self.service.servers:
            await server.start()
        document = manifest(
            version,
            [(name, kind, "ros1") for name, kind in databases],
            [("ros1", self.service.sync_replicas)],
        )
        status = 0
        guard = time.monotonic() + 40.0
        while status != 200:
            if time.monotonic() > guard:
                raise NotRun("the manifest was not acknowledged")
            await asyncio.sleep(0.3)
            path = "/v1/Configuration.Replace"
            status, _ = await self.world.call_control("POST", path, document)
        for address in self.fleet.caller_addresses:
            while not await self._serves(address, databases[0][0]):
                if time.monotonic() > guard:
                    raise NotRun("an entry host does not serve")
                await asyncio.sleep(0.3)
        # New leaders make no decisions for some seconds after their start.
        await asyncio.sleep(4.0)
        self.record.write("ready")

    async def _serves(self, address, database):
        client = Client(self.world, address, database, "probe")
        try:
            return await client.open() and (await client.run("WRITE p 1"))[0] == "OK"
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            client.close()

    async def write_constantly(self, address, database, name, pause_s=0.12):
        """Write one item after another, with a new session after a close."""
        client, number = None, 0
        while self.is_writing:
            try:
                if client is None:
                    client = Client(self.world, address, database, name)
                    client.count = number
                    if not await client.open():
                        raise OSError("refused")
                number = client.count + 1
                outcome, _, state = await client.run(f"WRITE {name} v{number}")
            except (OSError, asyncio.TimeoutError):
                outcome, state = "NOSESSION", ""
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            if outcome == "OK":
                self.confirmed[f"{name}x{number}"] = time.monotonic()
            if not state and client is not None:
                client.close()
                client = None
            await asyncio.sleep(pause_s)

    def lost_confirmed(self):
        """Return the commits that a promotion lost after a client was told of them."""
        return [
            (position, request)
            for position, request, lost_s in self.service.lost
            if self.confirmed.get(request, lost_s) < lost_s
        ]

    def require(self, is_inside, limit):
        """Record that a limit of the pages was kept; the case does not count if not."""
        self.record.write("limit", "kept:" if is_inside else "NOT kept:", limit)
        if not is_inside:
            raise NotRun(limit)


def main(play, story):
    """Run a story; print its verdict, and exit as the case asks."""

    async def run():
        async with asyncio.timeout(LIMIT_S):
            return await story(play)

    code = NOT_RUN
    try:
        code = BROKEN if asyncio.run(run()) else HELD
    except Exception:
        play.record.write("the case could not run", traceback.format_exc())
    finally:
        play.fleet.stop()
        words = {BROKEN: "the rule was broken", HELD: "the rule held"}
        verdict = words.get(code, "the case could not run")
        play.record.write("outcomes", play.outcomes)
        play.record.write("verdict:", verdict)
        play.record.close()
        print(verdict, play.outcomes)
    sys.exit(code)
