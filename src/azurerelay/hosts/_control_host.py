"""A control host as a process."""

import asyncio
import random
from pathlib import Path
from typing import Any, Final

from absl import logging
from result import Err

from azurerelay.cluster import (
    CONTROL_LINK_CODEC,
    ClusterConfig,
    ClusterNode,
    OrderOutcome,
)
from azurerelay.consensus import Journal
from azurerelay.events import AnnouncementRefused, ConfigurationOrdered, EventLog
from azurerelay.hosts._damaged_disk_error import DamagedDiskError
from azurerelay.hosts._directory_cache import DirectoryCache
from azurerelay.hosts._disk_identity import FIRST_IDENTITY, disk_identity
from azurerelay.hosts._endpoint_client import TcpEndpointConnector
from azurerelay.hosts._http_service import HttpAnswer, HttpRequest, HttpService
from azurerelay.hosts._metrics_service import MetricsService
from azurerelay.hosts._promotion_client import HttpPromotions
from azurerelay.platform import (
    DEREGISTER_PREFIX,
    HEARTBEAT_PREFIX,
    READ_PATH,
    REPLACE_PATH,
    HostSettings,
    decode_announcement,
    decode_configuration,
    decode_departure,
    encode_findings,
)
from azurerelay.runtime import AsyncioTimerService, ZmqLink, as_future
from azurerelay.storage import FolderDisk
from azurerelay.telemetry import Meters
from azurerelay.timing import ScopedTimerService

# Answers that operators and endpoints take elsewhere.
_UNAVAILABLE: Final = HttpAnswer(503)


class ControlHost:
    """The decisions of a control host, with its link, disk and HTTP calls."""

    def __init__(
        self,
        settings: HostSettings,
        events: EventLog,
        meters: Meters,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        assert settings.control_address and settings.data_folder
        self._settings = settings
        self._events = events
        self._timers = ScopedTimerService(AsyncioTimerService(loop))
        self._disk = FolderDisk(Path(settings.data_folder))
        random_source = random.Random()
        is_founder = (
            settings.is_first_start and settings.link_address in settings.seed_links
        )
        identity = disk_identity(self._disk, is_founder, random_source)
        name = f"{settings.link_address}#{identity}"
        self._link = ZmqLink(
            name, settings.link_address, CONTROL_LINK_CODEC, names_hold_addresses=True
        )
        journal = Journal(self._disk)
        loaded = journal.load()
        if isinstance(loaded, Err):
            raise DamagedDiskError(str(loaded.err_value))
        founders = tuple(f"{seed}#{FIRST_IDENTITY}" for seed in settings.seed_links)
        self._node = ClusterNode(
            ClusterConfig(
                name=name,
                failure_domain=settings.failure_domain,
                holder=settings.name,
                seeds=settings.seed_links,
                initial_voters=founders if identity == FIRST_IDENTITY else (),
                disk_losses=settings.disk_losses,
                heartbeat_interval_ms=settings.heartbeat_interval_ms,
            ),
            self._link,
            TcpEndpointConnector(loop),
            HttpPromotions(settings.promotion_address, loop),
            self._timers,
            random_source,
            journal,
            loaded.ok_value,
            events,
        )
        self._cache = DirectoryCache(self._disk, self._node.directory)
        self._metrics = MetricsService(settings.ip_address, meters, self._gauges)
        self._meters = meters
        self._service = HttpService("control", settings.control_address, self._answer)

    @property
    def name(self) -> str:
        """The host's name."""
        return self._settings.name

    async def start(self) -> None:
        """Bind, and begin to vote or to learn."""
        self._link.set_handler(self._on_message)
        await self._link.start()
        self._node.restore_directory(self._cache.load())
        self._node.start()
        self._cache.start()
        await self._service.start()
        await self._metrics.start()

    def reload(self, settings: HostSettings) -> None:
        """Take note of other settings; the cluster knows its hosts by itself."""
        self._settings = settings

    async def drain(self) -> None:
        """Go on until the process stops; the others elect a leader then."""

    async def stop(self) -> None:
        """Release everything."""
        await self._service.stop()
        await self._metrics.stop()
        self._cache.stop()
        self._timers.close()
        self._disk.close()
        await self._link.stop()

    def _gauges(self) -> dict[str, float]:
        return self._node.gauges() | {
            "link_dropped_messages": float(self._link.dropped),
        }

    def _on_message(self, sender: str, message: Any) -> None:
        self._node.on_message(sender, message)

    async def _answer(self, request: HttpRequest) -> HttpAnswer:
        try:
            return await self._route(request)
        except Exception:
            logging.exception("request %s failed", request.path[:100])
            return HttpAnswer(500)

    async def _route(self, request: HttpRequest) -> HttpAnswer:
        call = (request.method, request.path)
        if call == ("POST", REPLACE_PATH):
            return await self._replace(request)
        if call == ("GET", READ_PATH):
            return await self._read()
        if request.method == "POST" and request.path.startswith(HEARTBEAT_PREFIX):
            return await self._heartbeat(request)
        if request.method == "POST" and request.path.startswith(DEREGISTER_PREFIX):
            return await self._deregister(request)
        return HttpAnswer(404)

    async def _replace(self, request: HttpRequest) -> HttpAnswer:
        started_ms = self._timers.now_ms()
        decoded = decode_configuration(request.body)
        if isinstance(decoded, Err):
            findings = decoded.err_value
            text = "; ".join(str(finding) for finding in findings[:3])
            self._note_order(-1, "invalid", text, started_ms)
            return HttpAnswer(400, encode_findings(findings))
        configuration = decoded.ok_value
        outcome = await as_future(self._node.replace_configuration(configuration))
        self._note_order(configuration.version, outcome.value, "", started_ms)
        if outcome is OrderOutcome.DURABLE:
            return HttpAnswer(200, b"{}")
        return _UNAVAILABLE

    def _note_order(
        self, version: int, outcome: str, findings: str, started_ms: float
    ) -> None:
        duration_ms = self._timers.now_ms() - started_ms
        self._meters.observe(
            "configuration_order_duration_seconds", duration_ms, outcome=outcome
        )
        self._events.record(
            ConfigurationOrdered(version, outcome, findings, duration_ms)
        )

    async def _read(self) -> HttpAnswer:
        configuration = await as_future(self._node.read_configuration())
        if configuration is None:
            return _UNAVAILABLE
        return HttpAnswer(200, configuration.document)

    async def _heartbeat(self, request: HttpRequest) -> HttpAnswer:
        endpoint = request.path[len(HEARTBEAT_PREFIX) :]
        decoded = decode_announcement(endpoint, request.body)
        if isinstance(decoded, Err):
            self._events.record(AnnouncementRefused(endpoint[:64], decoded.err_value))
            return HttpAnswer(400)
        is_noted = await as_future(self._node.announce(decoded.ok_value))
        return HttpAnswer(200, b"{}") if is_noted else _UNAVAILABLE

    async def _deregister(self, request: HttpRequest) -> HttpAnswer:
        endpoint = request.path[len(DEREGISTER_PREFIX) :]
        incarnation = decode_departure(request.body)
        is_noted = await as_future(self._node.depart(endpoint, incarnation))
        return HttpAnswer(200, b"{}") if is_noted else _UNAVAILABLE
