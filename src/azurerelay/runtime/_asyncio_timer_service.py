"""A timer service backed by an asyncio event loop."""

import asyncio
import time
from collections.abc import Callable
from typing import TypeVar

from azurerelay.timing import Promise, Timer

T = TypeVar("T")

_MS_PER_S = 1_000.0
_NS_PER_MS = 1_000_000


class _PeriodicTimer:
    """A timer that runs a callback at every interval until it is cancelled.

    The next call is scheduled before the callback runs, so that the timer goes on
    if the callback raises.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        interval_ms: float,
        callback: Callable[[], object],
    ) -> None:
        self._loop = loop
        self._interval_s = interval_ms / _MS_PER_S
        self._callback = callback
        self._handle = loop.call_later(self._interval_s, self._run)

    def cancel(self) -> None:
        """Cancel the next call and thereby all later ones."""
        self._handle.cancel()

    def _run(self) -> None:
        self._handle = self._loop.call_later(self._interval_s, self._run)
        self._callback()


class AsyncioTimerService:
    """Implement `TimerService` on an asyncio event loop.

    `now_ms` reads CLOCK_BOOTTIME, which also advances while the machine is
    suspended. A clock that stops meanwhile would underestimate how much of a lease
    has passed and how old a position is.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now_ms(self) -> float:
        """Return the time since boot, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * _MS_PER_S

    def wall_clock_ms(self) -> int:
        """Return the system's wall-clock time since the Unix epoch."""
        return time.time_ns() // _NS_PER_MS

    def call_later(self, delay_ms: float, callback: Callable[[], object]) -> Timer:
        """Run the callback once after the delay; soon if the delay is not positive."""
        if delay_ms <= 0:
            return self._loop.call_soon(callback)
        return self._loop.call_later(delay_ms / _MS_PER_S, callback)

    def call_every(self, interval_ms: float, callback: Callable[[], object]) -> Timer:
        """Run the callback at every interval until the timer is cancelled."""
        return _PeriodicTimer(self._loop, interval_ms, callback)


def as_future(promise: Promise[T]) -> "asyncio.Future[T]":
    """Return a future of the running loop that gets the promise's value or error.

    If the future is cancelled first, the promise's result is ignored.
    """
    future: asyncio.Future[T] = asyncio.get_running_loop().create_future()

    def copy_result() -> None:
        if future.done():
            return
        try:
            future.set_result(promise.value)
        except Exception as error:
            future.set_exception(error)

    promise.add_callback(copy_result)
    return future
