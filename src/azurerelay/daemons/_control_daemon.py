"""The control host daemon."""

import asyncio
import random
from pathlib import Path
from typing import Any

from azurerelay.control import ControlConfig, ControlNode
from azurerelay.daemons._control_metrics import ControlMetrics
from azurerelay.daemons._http_endpoint_port import HttpEndpointPort
from azurerelay.daemons._http_server import HttpServer, problem_middleware
from azurerelay.daemons._link_builder import build_link
from azurerelay.daemons._operator_api import OperatorApi
from azurerelay.daemons._process_settings import ControlSettings
from azurerelay.membership import HostHeartbeat
from azurerelay.runtime import Application, AsyncioTimerService, ZmqLink
from azurerelay.storage import FolderDisk
from azurerelay.timing import ScopedTimerService


class ControlComponent:
    """Run a `ControlNode` as a component of an application."""

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
            link.set_peer_address(peer.name, peer.link)
            self._set_delay(peer.name, peer.failure_domain)
        link.set_handler(self._on_message)

    @property
    def name(self) -> str:
        """The component's name in log lines."""
        return f"control host {self._settings.name}"

    @property
    def node(self) -> ControlNode:
        """The control host's decision logic."""
        return self._node

    @property
    def timers(self) -> ScopedTimerService:
        """The timers of the node, which stop with it."""
        return self._timers

    async def start(self) -> None:
        """Take part in elections and replication."""
        self._node.start()

    async def drain(self) -> None:
        """Do nothing: once this process has stopped, the others elect a leader."""

    async def stop(self) -> None:
        """Stop the node and its timers, and close its files."""
        self._node.stop()
        self._timers.close()
        self._disk.close()

    def _on_message(self, sender: str, message: Any) -> None:
        if isinstance(message, HostHeartbeat):
            self._link.set_peer_address(message.host, message.address)
            self._set_delay(message.host, message.failure_domain)
        self._node.on_message(sender, message)

    def _set_delay(self, peer: str, failure_domain: str) -> None:
        if failure_domain != self._settings.failure_domain:
            self._link.set_delay(peer, self._settings.between_domains_ms)


async def build_control_application(settings: ControlSettings) -> Application:
    """Return the application of a control host."""
    link = build_link(settings.name, settings.link, settings.link_keys)
    port = HttpEndpointPort()
    component = ControlComponent(settings, link, port)
    api = OperatorApi(component.node, settings.tokens, component.timers)
    metrics = ControlMetrics(component.node, link)
    server = HttpServer(
        "operators",
        settings.operators,
        [*api.routes(), *metrics.routes()],
        (problem_middleware, api.authenticate),
    )
    return Application(settings.name, (link, port, component, api, server))
