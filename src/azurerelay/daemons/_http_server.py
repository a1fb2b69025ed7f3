"""An aiohttp server as a component of an application."""

import asyncio
import socket
from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

from aiohttp import hdrs, web
from aiohttp.typedefs import Handler, Middleware

from azurerelay.daemons._http_limits import MAX_BODY_BYTES, MAX_HEADER_BYTES
from azurerelay.daemons._problem import problem_response, request_problem
from azurerelay.runtime import accept_queued, open_listener

# How long a stopping server reads requests that have arrived, and then waits for their
# answers.
READ_ARRIVED_S: Final = 0.01
LAST_ANSWERS_S: Final = 1.0


class HttpServer:
    """Serve HTTP routes on one address, with limits on the size of requests."""

    def __init__(
        self,
        name: str,
        address: str,
        routes: Iterable[web.AbstractRouteDef],
        middlewares: Iterable[Middleware] = (),
    ) -> None:
        self._name = name
        self._address = address
        self._routes = list(routes)
        self._middlewares = tuple(middlewares)
        self._runner: web.AppRunner | None = None
        self._listener: socket.socket | None = None
        self._is_draining = False

    @property
    def name(self) -> str:
        """The component's name in log lines."""
        return self._name

    def build(self) -> web.Application:
        """Return the aiohttp application with its routes, middlewares and limits."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=self._middlewares
        )
        app.add_routes(self._routes)
        app.on_response_prepare.append(self._close_when_draining)
        return app

    async def start(self) -> None:
        """Bind the address and start to serve."""
        app = self.build()
        self._runner = web.AppRunner(
            app,
            access_log=None,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            shutdown_timeout=LAST_ANSWERS_S,
        )
        await self._runner.setup()
        host, _, port = self._address.rpartition(":")
        self._listener = open_listener(host.strip("[]"), int(port))
        await web.SockSite(self._runner, self._listener).start()

    async def drain(self) -> None:
        """Keep serving, but close each connection after its next response.

        Connections kept alive would break under a later request once the server
        stops.
        """
        self._is_draining = True

    async def stop(self) -> None:
        """Answer all requests that have arrived, then close all connections.

        Connections that the kernel has accepted are served, too: their clients may
        have sent a request.
        """
        runner, self._runner = self._runner, None
        if runner is None or runner.server is None or self._listener is None:
            return
        self._is_draining = True
        loop = asyncio.get_running_loop()
        accepted = accept_queued(self._listener)
        for site in list(runner.sites):
            await site.stop()
        for client in accepted:
            await loop.connect_accepted_socket(runner.server, client)
        # Requests that the kernel has received are read meanwhile.
        await asyncio.sleep(READ_ARRIVED_S)
        await runner.cleanup()

    async def _close_when_draining(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self._is_draining:
            response.headers[hdrs.CONNECTION] = "close"
            response.force_close()


@web.middleware
async def problem_middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Turn HTTP errors raised by handlers and aiohttp into problem responses."""
    try:
        return await handler(request)
    except web.HTTPRequestEntityTooLarge:
        return too_large_response()
    except web.HTTPException as error:
        if error.status < HTTPStatus.BAD_REQUEST:
            raise
        return problem_response(request_problem(error.status, error.reason))


def too_large_response() -> web.Response:
    """Return the 413 response to a body over the size limit."""
    title = f"the body is larger than {MAX_BODY_BYTES} bytes"
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    return problem_response(request_problem(status, title))


async def not_found(request: web.Request) -> web.Response:
    """Return the 404 response to a path and method that no other route matches."""
    title = f"no resource for {request.method} {request.path[:200]}"
    return problem_response(request_problem(HTTPStatus.NOT_FOUND, title))
