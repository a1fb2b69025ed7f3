"""Run an application until a signal ends it."""

import asyncio
import gc
import signal
from collections.abc import Awaitable
from typing import Final

from absl import logging

from azurerelay.runtime import Application

COLLECTION_THRESHOLD: Final = 20_000


async def run_until_signal(build: Awaitable[Application]) -> int:
    """Run until SIGTERM or SIGINT, drain, stop, and return the exit status."""
    application = await build
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.set_exception_handler(_log_exception)
    try:
        await application.start()
    except OSError as error:
        logging.error("%s cannot start: %s", application.name, error)
        return 1
    _tune_collector()
    await stopping.wait()
    logging.info("%s: draining", application.name)
    await application.drain()
    await application.stop()
    return 0


def _tune_collector() -> None:
    """Leave what the start has built out of collections, and collect less often.

    Almost all objects of a request die by their reference count.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECTION_THRESHOLD)


def _log_exception(loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
    error = context.get("exception")
    logging.error(
        "unexpected error: %s",
        context.get("message"),
        exc_info=error if isinstance(error, BaseException) else None,
    )
