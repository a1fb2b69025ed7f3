"""The entry host as a process."""

import asyncio
import random
import time
from typing import Any

from absl import logging
from aiohttp import web

from azurerelay.daemons._entry_api import EntryApi
from azurerelay.daemons._entry_metrics import EntryMetrics
from azurerelay.daemons._http_endpoint_port import HttpEndpointPort
from azurerelay.daemons._http_server import HttpServer, not_found
from azurerelay.daemons._link_builder import build_link
from azurerelay.daemons._process_settings import EntrySettings
from azurerelay.entry import EntryConfig, EntryNode
from azurerelay.runtime import Application, AsyncioTimerService, ZmqLink, as_future
from azurerelay.timing import ScopedTimerService, spawn

_MS_PER_S = 1_000.0
READINESS_GRACE_S = 0.5


class EntryPart:
    """The decisions of an entry host as a part of an application."""

    def __init__(
        self, settings: EntrySettings, link: ZmqLink, port: HttpEndpointPort
    ) -> None:
        self._settings = settings
        self._link = link
        loop = asyncio.get_running_loop()
        self._timers = ScopedTimerService(AsyncioTimerService(loop))
        self._node = EntryNode(
            EntryConfig(
                name=settings.name,
                address=settings.link,
                failure_domain=settings.failure_domain,
                control_hosts=control_order(settings),
                incarnation=time.time_ns(),
            ),
            link,
            port,
            self._timers,
            random.Random(),
        )
        for peer in settings.control_hosts:
            link.learn(peer.name, peer.link)
            self._set_delay(peer.name, peer.failure_domain)
        self._hosts_version = 0
        link.set_handler(self._on_message)

    @property
    def name(self) -> str:
        """The name of this part in the log."""
        return f"entry host {self._settings.name}"

    @property
    def node(self) -> EntryNode:
        """The decisions."""
        return self._node

    async def start(self) -> None:
        """Attach to control."""
        self._node.start()

    async def drain(self) -> None:
        """Turn readiness off, refuse new work, and let work in flight end."""
        self._node.start_draining()
        await asyncio.sleep(READINESS_GRACE_S)
        limit_ms = self._settings.drain_s * _MS_PER_S
        if not await as_future(spawn(self._node.drain(limit_ms))):
            logging.warning("work was still in flight after %s ms", limit_ms)

    async def stop(self) -> None:
        """End the servers of all groups."""
        for server in self._node.servers.by_group.values():
            server.stop()
        self._timers.close()

    def _on_message(self, sender: str, message: Any) -> None:
        self._node.on_message(sender, message)
        if self._node.state.hosts_version != self._hosts_version:
            self._hosts_version = self._node.state.hosts_version
            for host in self._node.state.hosts.values():
                self._link.learn(host.name, host.address)
                self._set_delay(host.name, host.failure_domain)

    def _set_delay(self, peer: str, failure_domain: str) -> None:
        if failure_domain != self._settings.failure_domain:
            self._link.delay(peer, self._settings.between_domains_ms)


def control_order(settings: EntrySettings) -> tuple[str, ...]:
    """Return the control hosts, those of the own failure domain first."""
    ordered = sorted(
        settings.control_hosts,
        key=lambda peer: peer.failure_domain != settings.failure_domain,
    )
    return tuple(peer.name for peer in ordered)


async def entry_application(settings: EntrySettings) -> Application:
    """Build the application of an entry host."""
    link = build_link(settings.name, settings.link, settings.link_keys)
    port = HttpEndpointPort()
    part = EntryPart(settings, link, port)
    metrics = EntryMetrics(part.node, link)
    # A last route instead of a middleware: a middleware is paid by every statement.
    routes = [*EntryApi(part.node).routes(), *metrics.routes()]
    routes.append(web.route("*", "/{path:.*}", not_found))
    server = HttpServer("callers", settings.callers, routes)
    return Application(settings.name, (link, port, part, server))
