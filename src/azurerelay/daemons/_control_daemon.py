"""The control host as a process."""

import asyncio
import random
from pathlib import Path
from typing import Any

from azurerelay.control import ControlConfig, ControlNode
from azurerelay.daemons._control_metrics import ControlMetrics
from azurerelay.daemons._http_endpoint_port import HttpEndpointPort
from azurerelay.daemons._http_server import HttpServer, input_errors
from azurerelay.daemons._link_builder import build_link
from azurerelay.daemons._operator_api import OperatorApi
from azurerelay.daemons._process_settings import ControlSettings
from azurerelay.membership import HostHeartbeat
from azurerelay.runtime import Application, AsyncioTimerService, ZmqLink
from azurerelay.storage import FolderDisk
from azurerelay.timing import ScopedTimerService


class ControlPart:
    """The decisions of a control host as a part of an application."""

    def __init__(
        self, settings: ControlSettings, link: ZmqLink, port: HttpEndpointPort
    ) -> None:
        self._settings = settings
        self._link = link
        self._disk = FolderDisk(Path(settings.data_folder))
        loop = asyncio.get_running_loop()
        self._timers = ScopedTimerService(AsyncioTimerService(loop))
        voters = tuple(peer.name for peer in settings.voters)
        self._node = ControlNode(
            ControlConfig(settings.name, voters),
            link,
            port,
            self._timers,
            random.Random(),
            self._disk,
        )
        for peer in settings.voters:
            link.learn(peer.name, peer.link)
            self._set_delay(peer.name, peer.failure_domain)
        link.set_handler(self._on_message)

    @property
    def name(self) -> str:
        """The name of this part in the log."""
        return f"control host {self._settings.name}"

    @property
    def node(self) -> ControlNode:
        """The decisions."""
        return self._node

    @property
    def timers(self) -> ScopedTimerService:
        """The time of the process."""
        return self._timers

    async def start(self) -> None:
        """Begin to vote."""
        self._node.start()

    async def drain(self) -> None:
        """Go on until the process stops; the others elect a leader then."""

    async def stop(self) -> None:
        """End the leader's duties and close the files."""
        self._node.stop()
        self._timers.close()
        self._disk.close()

    def _on_message(self, sender: str, message: Any) -> None:
        if isinstance(message, HostHeartbeat):
            self._link.learn(message.host, message.address)
            self._set_delay(message.host, message.failure_domain)
        self._node.on_message(sender, message)

    def _set_delay(self, peer: str, failure_domain: str) -> None:
        if failure_domain != self._settings.failure_domain:
            self._link.delay(peer, self._settings.between_domains_ms)


async def control_application(settings: ControlSettings) -> Application:
    """Build the application of a control host."""
    link = build_link(settings.name, settings.link, settings.link_keys)
    port = HttpEndpointPort()
    part = ControlPart(settings, link, port)
    api = OperatorApi(part.node, settings.tokens, part.timers)
    metrics = ControlMetrics(part.node, link)
    server = HttpServer(
        "operators",
        settings.operators,
        [*api.routes(), *metrics.routes()],
        (input_errors, api.authenticate),
    )
    return Application(settings.name, (link, port, part, server))
