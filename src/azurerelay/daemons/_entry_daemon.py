"""The entry host daemon."""

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


class EntryComponent:
    """Run an `EntryNode` as a component of an application."""

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
                control_hosts=sort_control_hosts(settings),
                incarnation=time.time_ns(),
            ),
            link,
            port,
            self._timers,
            random.Random(),
        )
        for peer in settings.control_hosts:
            link.set_peer_address(peer.name, peer.link)
            self._set_delay(peer.name, peer.failure_domain)
        self._hosts_version = 0
        link.set_handler(self._on_message)

    @property
    def name(self) -> str:
        """The component's name in log lines."""
        return f"entry host {self._settings.name}"

    @property
    def node(self) -> EntryNode:
        """The entry host's decision logic."""
        return self._node

    async def start(self) -> None:
        """Start sending heartbeats to a control host."""
        self._node.start()

    async def drain(self) -> None:
        """Report not ready, refuse new work and wait for work in flight.

        Waits for at most `drain_s` of the settings.
        """
        self._node.start_draining()
        await asyncio.sleep(READINESS_GRACE_S)
        drain_timeout_ms = self._settings.drain_s * _MS_PER_S
        if not await as_future(spawn(self._node.drain(drain_timeout_ms))):
            logging.warning(
                "drain did not complete within %s ms; stopping anyway", drain_timeout_ms
            )

    async def stop(self) -> None:
        """Stop the servers of all groups and the timers."""
        for server in self._node.group_servers.by_group.values():
            server.stop()
        self._timers.close()

    def _on_message(self, sender: str, message: Any) -> None:
        self._node.on_message(sender, message)
        if self._node.state.hosts_version != self._hosts_version:
            self._hosts_version = self._node.state.hosts_version
            for host in self._node.state.hosts.values():
                self._link.set_peer_address(host.name, host.address)
                self._set_delay(host.name, host.failure_domain)

    def _set_delay(self, peer: str, failure_domain: str) -> None:
        if failure_domain != self._settings.failure_domain:
            self._link.set_delay(peer, self._settings.between_domains_ms)


def sort_control_hosts(settings: EntrySettings) -> tuple[str, ...]:
    """Return the names of the control hosts, those in the same failure domain first."""
    ordered = sorted(
        settings.control_hosts,
        key=lambda peer: peer.failure_domain != settings.failure_domain,
    )
    return tuple(peer.name for peer in ordered)


async def build_entry_application(settings: EntrySettings) -> Application:
    """Return the application of an entry host."""
    link = build_link(settings.name, settings.link, settings.link_keys)
    port = HttpEndpointPort()
    component = EntryComponent(settings, link, port)
    metrics = EntryMetrics(component.node, link)
    # A catch-all route rather than a middleware, which would add to the cost of every
    # statement.
    routes = [*EntryApi(component.node).routes(), *metrics.routes()]
    routes.append(web.route("*", "/{path:.*}", not_found))
    server = HttpServer("callers", settings.callers, routes)
    return Application(settings.name, (link, port, component, server))
