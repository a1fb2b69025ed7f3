"""An entry host: relay, sockets and HTTP services of one process."""

import asyncio
import random
from typing import Any, Final

from azurerelay.attachment import ATTACHMENT_MESSAGES
from azurerelay.events import EventLog
from azurerelay.groups import Topology
from azurerelay.hosts._caller_server import CallerServer
from azurerelay.hosts._endpoint_client import TcpEndpointConnector
from azurerelay.hosts._http_service import HttpRequest, HttpServerResponse, HttpService
from azurerelay.hosts._link_sweep import LINK_SWEEP_INTERVAL_MS
from azurerelay.hosts._metrics_service import MetricsService
from azurerelay.hosts._placement_page import PLACEMENT_PATH, answer_placement
from azurerelay.hosts._resource_limits import ResourceLimits
from azurerelay.messages import TaggedCodec
from azurerelay.platform import READINESS_PATH, HostSettings
from azurerelay.relay import RelayNode, schedule_stop
from azurerelay.runtime import AsyncioTimerService, ZmqLink, as_future
from azurerelay.telemetry import Meters
from azurerelay.timing import ScopedTimerService, spawn

ENTRY_LINK_CODEC: Final = TaggedCodec(ATTACHMENT_MESSAGES)


class EntryHost:
    """Connect a `RelayNode` to callers, endpoints, control hosts and HTTP services."""

    def __init__(
        self,
        settings: HostSettings,
        events: EventLog,
        meters: Meters,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        assert settings.caller_address and settings.readiness_address
        self._settings = settings
        self._events = events
        self._loop = loop
        self._timers = ScopedTimerService(AsyncioTimerService(loop))
        self._link = ZmqLink(
            settings.link_address,
            settings.link_address,
            ENTRY_LINK_CODEC,
            peer_names_contain_addresses=True,
        )
        self._resources = ResourceLimits.of_settings(
            settings, self._timers, events, meters
        )
        self._connector = TcpEndpointConnector(loop, self._resources)
        self._node = RelayNode(
            settings.name,
            Topology(settings.failure_domain, settings.regions),
            settings.seed_addresses,
            self._link,
            self._connector,
            self._timers,
            random.Random(),
            events,
            meters,
            settings.revocation_limit_ms,
        )
        self._callers = CallerServer(
            settings.caller_address, self._node, self._timers, self._resources
        )
        self._readiness = HttpService(
            "readiness",
            settings.readiness_address,
            self._handle_readiness,
            self._resources,
            keeps_bodies=False,
        )
        self._metrics = MetricsService(
            settings.ip_address,
            meters,
            self._read_gauges,
            self._resources,
            {PLACEMENT_PATH: self._answer_placement},
        )
        self._is_draining = False

    @property
    def name(self) -> str:
        """The host's name."""
        return self._settings.name

    async def start(self) -> None:
        """Bind all sockets and start following the control hosts."""
        self._link.set_handler(self._on_message)
        await self._link.start()
        self._timers.call_every(
            LINK_SWEEP_INTERVAL_MS, self._link.close_unused_connections
        )
        self._node.start()
        await self._callers.start()
        await self._readiness.start()
        await self._metrics.start()

    def reload(self, settings: HostSettings) -> None:
        """Apply settings that may change at run time: new seeds, the grace period."""
        self._settings = settings
        self._node.control_follower.add_seeds(settings.seed_addresses)

    async def drain(self) -> None:
        """Answer all callers and close their connections, before the host stops.

        Readiness checks fail from now on, while callers are served as before until the
        platform has noticed.
        """
        self._is_draining = True
        self._node.control_follower.set_draining()
        schedule = schedule_stop(self._settings.grace_period_ms)
        drain = self._callers.close_gracefully(schedule)
        self._events.record(await as_future(spawn(drain)))

    async def stop(self) -> None:
        """Close all connections, sockets and timers."""
        await self._callers.stop()
        await self._readiness.stop()
        await self._metrics.stop()
        self._node.stop()
        self._timers.close()
        await self._link.stop()

    def _read_gauges(self) -> dict[str, float]:
        return (
            self._node.gauges()
            | self._resources.gauges()
            | {
                "caller_sessions": float(self._callers.connection_count),
                "endpoint_connections_opened": float(self._connector.opened_count),
                "link_dropped_messages": float(self._link.dropped),
            }
        )

    def _answer_placement(self, request: HttpRequest) -> HttpServerResponse:
        return answer_placement(request, self._node.explain_placement)

    def _on_message(self, sender: str, message: Any) -> None:
        self._node.on_message(sender, message)

    async def _handle_readiness(self, request: HttpRequest) -> HttpServerResponse:
        if request.path != READINESS_PATH:
            return HttpServerResponse(404)
        is_ready = self._node.is_ready and not self._is_draining
        return HttpServerResponse(200 if is_ready else 503)
