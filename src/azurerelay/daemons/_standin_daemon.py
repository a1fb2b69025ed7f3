"""The stand-in endpoint daemon."""

import asyncio
import itertools
from http import HTTPStatus
from typing import Final

import aiohttp
import msgspec
from absl import logging
from aiohttp import web
from result import Err

from azurerelay.daemons._endpoint_wire import CALL_DECODERS, encode_result
from azurerelay.daemons._http_endpoint_port import HttpEndpointPort
from azurerelay.daemons._http_server import HttpServer
from azurerelay.daemons._process_settings import StandinSettings
from azurerelay.endpoints import (
    CallResult,
    ConnectCall,
    EndpointCall,
    EndpointRole,
    KnobsCall,
    StatusCall,
)
from azurerelay.runtime import Application, AsyncioTimerService, as_future
from azurerelay.standin import StandinConfig, StandinConnection, StandinEndpoint

ANNOUNCE_INTERVAL_S: Final = 1.0
ANNOUNCE_TIMEOUT_S: Final = 0.5


class StandinApi:
    """Serve endpoint calls over HTTP.

    A TCP connection on which a connect call succeeded is a database connection, and
    only on such a connection are statements run.
    """

    def __init__(self, endpoint: StandinEndpoint) -> None:
        self._endpoint = endpoint
        self._connections: dict[asyncio.BaseTransport, StandinConnection] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the API."""
        return [web.post("/v1/calls/{call}", self._call)]

    async def _call(self, request: web.Request) -> web.Response:
        decoder = CALL_DECODERS.get(request.match_info["call"])
        if decoder is None:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        try:
            call = decoder.decode(await request.read())
        except (msgspec.MsgspecError, RecursionError) as error:
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=str(error))
        transport = request.transport
        # An isolated endpoint answers only knobs calls, which can end the isolation.
        is_isolated = self._endpoint.is_isolated and not isinstance(call, KnobsCall)
        if transport is None or is_isolated:
            await asyncio.Event().wait()
            return web.Response()
        if self._endpoint.config.round_trip_ms:
            await asyncio.sleep(self._endpoint.config.round_trip_ms / 1_000.0)
        outcome = await self._dispatch(transport, call)
        if self._endpoint.is_isolated and not isinstance(call, KnobsCall):
            await asyncio.Event().wait()
        status, body = encode_result(outcome)
        return web.Response(status=status, body=body, content_type="application/json")

    async def _dispatch(
        self, transport: asyncio.BaseTransport, call: EndpointCall
    ) -> CallResult:
        if isinstance(call, ConnectCall):
            return await self._connect(transport)
        self._remove_closed_connections()
        connection = self._connections.get(transport)
        if connection is not None:
            return await as_future(connection.call(call))
        return await as_future(self._endpoint.request(call))

    async def _connect(self, transport: asyncio.BaseTransport) -> CallResult:
        self._remove_closed_connections()
        outcome = await as_future(self._endpoint.connect())
        if isinstance(outcome, Err):
            return outcome
        self._connections[transport] = outcome.ok_value
        return await as_future(self._endpoint.request(StatusCall()))

    def _remove_closed_connections(self) -> None:
        closed = [known for known in self._connections if known.is_closing()]
        for transport in closed:
            self._connections.pop(transport).close()


class StandinAnnouncer:
    """Announce the endpoint periodically to one entry host at a time, in turn.

    After a failed announcement the next entry host is tried sooner. An isolated
    endpoint sends no announcements.
    """

    def __init__(self, settings: StandinSettings, endpoint: StandinEndpoint) -> None:
        self._settings = settings
        self._endpoint = endpoint
        self._task: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """The component's name in log lines."""
        return "announcer"

    async def start(self) -> None:
        """Start the task that announces the endpoint."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def drain(self) -> None:
        """Announce that the endpoint is leaving, and wait for two intervals."""
        self._endpoint.request(KnobsCall(is_leaving=True))
        await asyncio.sleep(2 * ANNOUNCE_INTERVAL_S)

    async def stop(self) -> None:
        """Cancel the task that announces the endpoint."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for entry_host in itertools.cycle(self._settings.entry_hosts):
                is_sent = self._endpoint.is_isolated or await self._send(
                    session, entry_host
                )
                if is_sent:
                    await asyncio.sleep(ANNOUNCE_INTERVAL_S)
                else:
                    await asyncio.sleep(
                        ANNOUNCE_INTERVAL_S / len(self._settings.entry_hosts)
                    )

    async def _send(self, session: aiohttp.ClientSession, entry_host: str) -> bool:
        url = f"http://{entry_host}/v1/endpoints/{self._settings.name}"
        settings = self._settings
        is_primary = self._endpoint.role is EndpointRole.PRIMARY
        body = {
            "group": settings.group,
            "address": settings.listen,
            "failure_domain": settings.failure_domain,
            "role": "primary" if is_primary else "replica",
            "term": self._endpoint.term,
            "position": self._endpoint.data.position,
            "slots": settings.slots,
            "connection_limit": settings.connection_limit,
            "leaving": self._endpoint.is_leaving,
        }
        try:
            async with session.put(url, data=msgspec.json.encode(body)) as response:
                return response.status == HTTPStatus.ACCEPTED
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            logging.log_every_n_seconds(
                logging.WARNING, "cannot announce to %s: %s", 10, entry_host, error
            )
            return False


async def build_standin_application(settings: StandinSettings) -> Application:
    """Return the application of a stand-in endpoint."""
    config = StandinConfig(
        name=settings.name,
        group=settings.group,
        address=settings.listen,
        failure_domain=settings.failure_domain,
        slots=settings.slots,
        connection_limit=settings.connection_limit,
        connect_ms=settings.connect_ms,
        service_ms=settings.service_ms,
        lag_ms=settings.lag_ms,
        round_trip_ms=settings.round_trip_ms,
    )
    port = HttpEndpointPort()
    timers = AsyncioTimerService(asyncio.get_running_loop())
    endpoint = StandinEndpoint(config, timers, port)
    server = HttpServer("calls", settings.listen, StandinApi(endpoint).routes())
    announcer = StandinAnnouncer(settings, endpoint)
    return Application(settings.name, (port, server, announcer))
