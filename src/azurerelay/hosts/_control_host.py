"""A control host: cluster node, disk and HTTP services of one process."""

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
from azurerelay.hosts._corrupt_data_folder_error import CorruptDataFolderError
from azurerelay.hosts._directory_cache import DirectoryCache
from azurerelay.hosts._disk_identity import INITIAL_IDENTITY, ensure_disk_identity
from azurerelay.hosts._endpoint_client import TcpEndpointConnector
from azurerelay.hosts._http_service import (
    UNAVAILABLE,
    HttpRequest,
    HttpServerResponse,
    HttpService,
)
from azurerelay.hosts._link_sweep import LINK_SWEEP_INTERVAL_MS
from azurerelay.hosts._metrics_service import MetricsService
from azurerelay.hosts._promotion_client import HttpPromotionClient
from azurerelay.hosts._resource_limits import ResourceLimits
from azurerelay.platform import (
    CONFIGURATION_READ_PATH,
    CONFIGURATION_REPLACE_PATH,
    DEREGISTER_PATH_PREFIX,
    HEARTBEAT_PATH_PREFIX,
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

_MS_PER_S: Final = 1_000.0
# Part of the grace period that remains after draining, so that the process can exit
# by itself.
EXIT_MARGIN_MS: Final = 1_200.0


class ControlHost:
    """Connect a `ClusterNode` to its link, disk and HTTP services."""

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
        is_initial_voter = (
            settings.is_bootstrap and settings.link_address in settings.seed_addresses
        )
        identity = ensure_disk_identity(self._disk, is_initial_voter, random_source)
        name = f"{settings.link_address}#{identity}"
        self._link = ZmqLink(
            name,
            settings.link_address,
            CONTROL_LINK_CODEC,
            peer_names_contain_addresses=True,
        )
        journal = Journal(self._disk)
        loaded = journal.load()
        if isinstance(loaded, Err):
            raise CorruptDataFolderError(str(loaded.err_value))
        initial_voters = tuple(
            f"{seed}#{INITIAL_IDENTITY}" for seed in settings.seed_addresses
        )
        self._node = ClusterNode(
            ClusterConfig(
                name=name,
                failure_domain=settings.failure_domain,
                issuer=settings.name,
                seeds=settings.seed_addresses,
                initial_voters=initial_voters if identity == INITIAL_IDENTITY else (),
                max_disk_losses=settings.max_disk_losses,
                heartbeat_interval_ms=settings.heartbeat_interval_ms,
                quota_slack=settings.quota_slack,
            ),
            self._link,
            TcpEndpointConnector(loop),
            HttpPromotionClient(settings.promotion_address, loop),
            self._timers,
            random_source,
            journal,
            loaded.ok_value,
            events,
        )
        self._cache = DirectoryCache(self._disk, self._node.directory)
        self._resources = ResourceLimits.of_settings(
            settings, self._timers, events, meters
        )
        self._metrics = MetricsService(
            settings.ip_address, meters, self._read_gauges, self._resources
        )
        self._meters = meters
        self._service = HttpService(
            "control", settings.control_address, self._handle_request, self._resources
        )

    @property
    def name(self) -> str:
        """The host's name."""
        return self._settings.name

    async def start(self) -> None:
        """Bind all sockets and start the cluster node with the cached directory."""
        self._link.set_handler(self._on_message)
        await self._link.start()
        self._timers.call_every(
            LINK_SWEEP_INTERVAL_MS, self._link.close_unused_connections
        )
        saved = self._cache.load()
        self._node.restore_directory(
            saved.announcements, saved.departures, saved.former_members
        )
        self._node.start()
        self._cache.start()
        await self._service.start()
        await self._metrics.start()

    def reload(self, settings: HostSettings) -> None:
        """Store the settings; the running node does not use them.

        The cluster keeps track of its hosts by itself.
        """
        self._settings = settings

    async def drain(self) -> None:
        """Answer the requests of operators and endpoints that have been read.

        New connections are refused, so that clients turn to another control host at
        once. The node works as before until it has an outcome for each request, or the
        grace period is nearly over. Once this host has stopped, the others elect a new
        leader.
        """
        limit_ms = max(0.0, self._settings.grace_period_ms - EXIT_MARGIN_MS)
        await self._service.drain(limit_ms / _MS_PER_S)

    async def stop(self) -> None:
        """Close all services, timers, the disk and the link.

        Requests without an outcome are refused: what they ask for may still happen.
        """
        await self._service.stop()
        await self._metrics.stop()
        self._cache.stop()
        self._timers.close()
        self._disk.close()
        await self._link.stop()

    def _read_gauges(self) -> dict[str, float]:
        return (
            self._node.gauges()
            | self._resources.gauges()
            | {
                "link_dropped_messages": float(self._link.dropped),
            }
        )

    def _on_message(self, sender: str, message: Any) -> None:
        self._node.on_message(sender, message)

    async def _handle_request(self, request: HttpRequest) -> HttpServerResponse:
        try:
            return await self._dispatch(request)
        except Exception:
            logging.exception(
                "unexpected error while handling HTTP request %s", request.path[:100]
            )
            return HttpServerResponse(500)

    async def _dispatch(self, request: HttpRequest) -> HttpServerResponse:
        call = (request.method, request.path)
        if call == ("POST", CONFIGURATION_REPLACE_PATH):
            return await self._replace_configuration(request)
        if call == ("GET", CONFIGURATION_READ_PATH):
            return await self._read_configuration()
        if request.method == "POST" and request.path.startswith(HEARTBEAT_PATH_PREFIX):
            return await self._handle_heartbeat(request)
        if request.method == "POST" and request.path.startswith(DEREGISTER_PATH_PREFIX):
            return await self._handle_deregistration(request)
        return HttpServerResponse(404)

    async def _replace_configuration(self, request: HttpRequest) -> HttpServerResponse:
        started_ms = self._timers.now_ms()
        decoded = decode_configuration(request.body)
        if isinstance(decoded, Err):
            findings = decoded.err_value
            text = "; ".join(str(finding) for finding in findings[:3])
            self._record_replacement(-1, "invalid", text, started_ms)
            return HttpServerResponse(400, encode_findings(findings))
        configuration = decoded.ok_value
        outcome = OrderOutcome.UNKNOWN
        try:
            outcome = await as_future(self._node.replace_configuration(configuration))
        finally:
            # Recorded for an order, too, that is given up because the host stops.
            self._record_replacement(
                configuration.version, outcome.value, "", started_ms
            )
        if outcome is OrderOutcome.DURABLE:
            return HttpServerResponse(200, b"{}")
        return UNAVAILABLE

    def _record_replacement(
        self, version: int, outcome: str, findings: str, started_ms: float
    ) -> None:
        duration_ms = self._timers.now_ms() - started_ms
        self._meters.observe(
            "configuration_order_duration_seconds", duration_ms, outcome=outcome
        )
        self._events.record(
            ConfigurationOrdered(version, outcome, findings, duration_ms)
        )

    async def _read_configuration(self) -> HttpServerResponse:
        configuration = await as_future(self._node.read_configuration())
        if configuration is None:
            return UNAVAILABLE
        return HttpServerResponse(200, configuration.document)

    async def _handle_heartbeat(self, request: HttpRequest) -> HttpServerResponse:
        endpoint = request.path[len(HEARTBEAT_PATH_PREFIX) :]
        decoded = decode_announcement(endpoint, request.body)
        if isinstance(decoded, Err):
            self._events.record(AnnouncementRefused(endpoint[:64], decoded.err_value))
            return HttpServerResponse(400)
        announcement = decoded.ok_value
        is_confirmed = await as_future(self._node.receive_heartbeat(announcement))
        if announcement.is_draining:
            await self._cache.save_soon()
        return HttpServerResponse(200, b"{}") if is_confirmed else UNAVAILABLE

    async def _handle_deregistration(self, request: HttpRequest) -> HttpServerResponse:
        endpoint = request.path[len(DEREGISTER_PATH_PREFIX) :]
        decoded = decode_departure(endpoint, request.body)
        if isinstance(decoded, Err):
            reason = f"deregistration: {decoded.err_value}"
            self._events.record(AnnouncementRefused(endpoint[:64], reason))
            return HttpServerResponse(400)
        is_confirmed = await as_future(
            self._node.deregister(endpoint, decoded.ok_value)
        )
        await self._cache.save_soon()
        return HttpServerResponse(200, b"{}") if is_confirmed else UNAVAILABLE
