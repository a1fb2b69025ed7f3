"""The timer service on an asyncio event loop."""

import asyncio
import time
from collections.abc import Callable
from typing import TypeVar

from azurerelay.timing import Promise, Timer

T = TypeVar("T")

_MS_PER_S = 1_000.0
_NS_PER_MS = 1_000_000


class _Repeating:
    """A subscription that plans its next call before it makes the present one."""

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
        """End the subscription."""
        self._handle.cancel()

    def _run(self) -> None:
        self._handle = self._loop.call_later(self._interval_s, self._run)
        self._callback()


class AsyncioTimerService:
    """Implement `TimerService` on a running loop.

    Time is read from the boot-time clock, which goes on while the machine is
    suspended, so that leases and the ages of positions are never underestimated.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now_ms(self) -> float:
        """Return the time since boot, including the time suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * _MS_PER_S

    def wall_ms(self) -> int:
        """Return the system's calendar time."""
        return time.time_ns() // _NS_PER_MS

    def call_later(self, delay_ms: float, callback: Callable[[], object]) -> Timer:
        """Run the callback once."""
        if delay_ms <= 0:
            return self._loop.call_soon(callback)
        return self._loop.call_later(delay_ms / _MS_PER_S, callback)

    def subscribe(self, interval_ms: float, callback: Callable[[], object]) -> Timer:
        """Run the callback at every interval."""
        return _Repeating(self._loop, interval_ms, callback)


def as_future(promise: Promise[T]) -> "asyncio.Future[T]":
    """Return a future of the running loop that follows a promise."""
    future: asyncio.Future[T] = asyncio.get_running_loop().create_future()

    def settle() -> None:
        if future.done():
            return
        try:
            future.set_result(promise.value)
        except Exception as error:
            future.set_exception(error)

    promise.add_callback(settle)
    return future
