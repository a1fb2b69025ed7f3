"""An entry host as a process."""

import asyncio
import random
from typing import Any, Final

from azurerelay.attachment import ATTACHMENT_MESSAGES
from azurerelay.events import EventLog
from azurerelay.groups import Topology
from azurerelay.hosts._caller_server import CallerServer
from azurerelay.hosts._endpoint_client import TcpEndpointConnector
from azurerelay.hosts._http_service import HttpAnswer, HttpRequest, HttpService
from azurerelay.hosts._metrics_service import MetricsService
from azurerelay.messages import TaggedCodec
from azurerelay.platform import READINESS_PATH, HostSettings
from azurerelay.relay import RelayNode
from azurerelay.runtime import AsyncioTimerService, ZmqLink
from azurerelay.telemetry import Meters
from azurerelay.timing import ScopedTimerService

ENTRY_LINK_CODEC: Final = TaggedCodec(ATTACHMENT_MESSAGES)
_MS_PER_S: Final = 1_000.0
# The platform sends new callers elsewhere after two missed questions, a second apart.
ACCEPT_WHILE_DRAINING_MS: Final = 2_300.0
# Left of the grace period for the process to end by itself.
EXIT_MARGIN_MS: Final = 1_200.0
DRAIN_POLL_MS: Final = 50.0


class EntryHost:
    """The decisions of an entry host, with its link, callers and readiness."""

    def __init__(
        self,
        settings: HostSettings,
        events: EventLog,
        meters: Meters,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        assert settings.callers_address and settings.readiness_address
        self._settings = settings
        self._loop = loop
        self._timers = ScopedTimerService(AsyncioTimerService(loop))
        self._link = ZmqLink(
            settings.link_address,
            settings.link_address,
            ENTRY_LINK_CODEC,
            names_hold_addresses=True,
        )
        self._connector = TcpEndpointConnector(loop)
        self._node = RelayNode(
            settings.name,
            Topology(settings.failure_domain, settings.regions),
            settings.seed_links,
            self._link,
            self._connector,
            self._timers,
            random.Random(),
            events,
            meters,
        )
        self._callers = CallerServer(settings.callers_address, self._node)
        self._readiness = HttpService(
            "readiness", settings.readiness_address, self._answer_readiness
        )
        self._metrics = MetricsService(settings.ip_address, meters, self._gauges)
        self._is_draining = False

    @property
    def name(self) -> str:
        """The host's name."""
        return self._settings.name

    async def start(self) -> None:
        """Bind and begin to follow control."""
        self._link.set_handler(self._on_message)
        await self._link.start()
        self._node.start()
        await self._callers.start()
        await self._readiness.start()
        await self._metrics.start()

    def reload(self, settings: HostSettings) -> None:
        """Take what may change while the process runs: the seeds."""
        self._settings = settings
        self._node.follower.update_seeds(settings.seed_links)

    async def drain(self) -> None:
        """Let callers go: no new ones, none that is idle, then open transactions."""
        self._is_draining = True
        self._node.follower.set_draining()
        started_ms = self._timers.now_ms()
        await asyncio.sleep(ACCEPT_WHILE_DRAINING_MS / _MS_PER_S)
        self._callers.end_idle()
        end_ms = started_ms + self._settings.grace_ms - EXIT_MARGIN_MS
        while self._callers.open_sessions and self._timers.now_ms() < end_ms:
            await asyncio.sleep(DRAIN_POLL_MS / _MS_PER_S)

    async def stop(self) -> None:
        """Release everything."""
        await self._callers.stop()
        await self._readiness.stop()
        await self._metrics.stop()
        self._node.stop()
        self._timers.close()
        await self._link.stop()

    def _gauges(self) -> dict[str, float]:
        return self._node.gauges() | {
            "caller_sessions": float(self._callers.open_sessions),
            "endpoint_connections_opened": float(self._connector.opened),
            "link_dropped_messages": float(self._link.dropped),
        }

    def _on_message(self, sender: str, message: Any) -> None:
        self._node.on_message(sender, message)

    async def _answer_readiness(self, request: HttpRequest) -> HttpAnswer:
        if request.path != READINESS_PATH:
            return HttpAnswer(404)
        is_ready = self._node.is_ready and not self._is_draining
        return HttpAnswer(200 if is_ready else 503)
