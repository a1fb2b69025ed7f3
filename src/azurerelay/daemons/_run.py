"""The main loop of a daemon, ended by a signal."""

import asyncio
import gc
import signal
from collections.abc import Awaitable
from typing import Final

from absl import logging

from azurerelay.runtime import Application

GC_THRESHOLD: Final = 20_000


async def run_until_signal(build: Awaitable[Application]) -> int:
    """Run an application until SIGTERM, SIGINT or SIGHUP, then drain and stop it.

    Further signals change nothing. The settings file is read at the start only, so a
    SIGHUP, which would end the process otherwise, stops it in the same way. Returns the
    exit status: 0, or 1 if the start fails with an OSError.
    """
    application = await build
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.set_exception_handler(_log_exception)
    try:
        await application.start()
    except OSError as error:
        logging.error("%s cannot start: %s", application.name, error)
        return 1
    _tune_garbage_collector()
    await stop_requested.wait()
    logging.info("%s: draining", application.name)
    await application.drain()
    await application.stop()
    return 0


def _tune_garbage_collector() -> None:
    """Exclude objects built at start from garbage collection, and run it less often.

    Almost all objects of a request are freed by reference counting.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)


def _log_exception(loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
    error = context.get("exception")
    logging.error(
        "unhandled error in the event loop: %s",
        context.get("message"),
        exc_info=error if isinstance(error, BaseException) else None,
    )
