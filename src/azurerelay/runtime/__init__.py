"""Plumbing of every process: life cycle, time, links and logs."""

from azurerelay.runtime._application import Application, Part
from azurerelay.runtime._asyncio_timer_service import AsyncioTimerService, as_future
from azurerelay.runtime._http_client_protocol import (
    HttpClientProtocol,
    HttpLost,
    HttpResponse,
)
from azurerelay.runtime._key_set import KeySet
from azurerelay.runtime._structured_logging import configure_logging
from azurerelay.runtime._zmq_link import ZmqLink

__all__ = [
    "Application",
    "AsyncioTimerService",
    "HttpClientProtocol",
    "HttpLost",
    "HttpResponse",
    "KeySet",
    "Part",
    "ZmqLink",
    "as_future",
    "configure_logging",
]
