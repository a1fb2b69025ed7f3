"""Process infrastructure: component life cycle, timers, links, HTTP and logging."""

from azurerelay.runtime._application import Application, Component
from azurerelay.runtime._asyncio_timer_service import AsyncioTimerService, as_future
from azurerelay.runtime._http_client_protocol import (
    HttpClientProtocol,
    HttpRequestFailure,
    HttpResponse,
)
from azurerelay.runtime._key_set import KeySet
from azurerelay.runtime._listener import accept_queued, open_listener
from azurerelay.runtime._structured_logging import configure_logging
from azurerelay.runtime._zmq_link import ZmqLink

__all__ = [
    "Application",
    "AsyncioTimerService",
    "Component",
    "HttpClientProtocol",
    "HttpRequestFailure",
    "HttpResponse",
    "KeySet",
    "ZmqLink",
    "accept_queued",
    "as_future",
    "configure_logging",
    "open_listener",
]
