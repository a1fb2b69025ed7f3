"""Tests of a control host process: its HTTP interface and its data folder."""

import asyncio
import json
import os
import tempfile
import unittest
from pathlib import Path
from typing import Any

from azurerelay.events import AnnouncementRefused
from azurerelay.hosts._control_host import ControlHost
from azurerelay.hosts._directory_cache import CACHE_FILE, DirectoryCache
from azurerelay.hosts._http_service import HttpRequest
from azurerelay.platform import (
    CONFIGURATION_REPLACE_PATH,
    DEREGISTER_PATH_PREFIX,
    HEARTBEAT_PATH_PREFIX,
    HostSettings,
)
from azurerelay.storage import FolderDisk
from azurerelay.telemetry import Meters
from tests.platform_rig import EventRecorder
from tests.test_odd_entries import DEEP, ODD_FIELDS, heartbeat
from tests.test_platform_codecs import document

TIMEOUT_S = 20.0


def host_settings(folder: str) -> HostSettings:
    """Return settings of a single control host on a loopback address of its own."""
    number = os.getpid() % 60_000
    ip_address = f"127.{number // 250 % 200 + 20}.{number % 250}.9"
    return HostSettings(
        name="control-1",
        ip_address=ip_address,
        failure_domain="east-1",
        regions={"east-1": "east"},
        link_address=f"{ip_address}:7440",
        caller_address=None,
        readiness_address=None,
        control_address=f"{ip_address}:8782",
        seed_addresses=(f"{ip_address}:7440",),
        is_bootstrap=True,
        heartbeat_interval_ms=60_000.0,
        max_disk_losses=0,
        grace_period_ms=1_000.0,
        data_folder=folder,
        promotion_address=None,
    )


class OddRequestsTest(unittest.IsolatedAsyncioTestCase):
    """One odd request was answered with 500, and ended the saving of the directory."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.events = EventRecorder()
        self.host = ControlHost(
            host_settings(folder.name),
            self.events,
            Meters(),
            asyncio.get_running_loop(),
        )
        await self.host.start()
        self.addAsyncCleanup(self.host.stop)
        await self._wait(lambda: self.host._node.raft.is_ready_leader)

    async def _wait(self, is_met: Any) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not is_met():
                await asyncio.sleep(0.01)

    async def _post(self, path: str, body: bytes) -> int:
        response = await self.host._handle_request(HttpRequest("POST", path, body))
        return response.status

    def _saved_endpoints(self) -> set[str]:
        if not (self.folder / CACHE_FILE).exists():
            return set()
        cache = DirectoryCache(FolderDisk(self.folder), self.host._node.directory)
        return {entry.endpoint for entry in cache.load().announcements}

    async def test_odd_requests_are_refused_with_400_and_change_nothing(self) -> None:
        path = HEARTBEAT_PATH_PREFIX + "odd"
        bodies = [heartbeat(**{key: value}) for key, value in ODD_FIELDS]
        for body in (*bodies, DEEP, b"{", heartbeat()[:-1] + b',"x":' + DEEP):
            self.assertEqual(await self._post(path, body), 400)
        for body in (DEEP, b"{", json.dumps({"born": 10**24}).encode()):
            path = DEREGISTER_PATH_PREFIX + "odd"
            self.assertEqual(await self._post(path, body), 400)
        for odd in (document(version=10**24), document(routes=7)):
            body = json.dumps(odd).encode()
            path = CONFIGURATION_REPLACE_PATH
            self.assertEqual(await self._post(path, body), 400)
        self.assertEqual(await self._post(CONFIGURATION_REPLACE_PATH, DEEP), 400)
        self.assertEqual(self.host._node.directory.announcements, ())
        refused = self.events.of(AnnouncementRefused)
        self.assertEqual(len(refused), len(bodies) + 6)

    async def test_the_directory_is_saved_among_odd_requests(self) -> None:
        odd, good = HEARTBEAT_PATH_PREFIX + "odd", HEARTBEAT_PATH_PREFIX + "good"
        await self._post(odd, heartbeat(slots=10**24))
        self.assertEqual(await self._post(good, heartbeat()), 200)
        await self._wait(lambda: self._saved_endpoints() == {"good"})
        await self._post(odd, heartbeat(seq=10**24))
        departure = DEREGISTER_PATH_PREFIX + "good"
        self.assertEqual(await self._post(departure, b'{"born": 99}'), 200)
        await self._wait(lambda: not self._saved_endpoints())


if __name__ == "__main__":
    unittest.main()
