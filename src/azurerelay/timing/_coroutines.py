"""Runs coroutines that await only promises, without an event loop."""

from collections.abc import Coroutine
from typing import Any, TypeVar

from result import Err, Ok, Result

from azurerelay.timing._promise import Promise
from azurerelay.timing._timed_out import TimedOut
from azurerelay.timing._timer_service import TimerService

T = TypeVar("T")


def spawn(coroutine: Coroutine[Promise[Any], None, T]) -> Promise[T]:
    """Start a coroutine and return a promise of its result.

    It runs at once up to the first promise that is not done, and continues in the call
    that resolves that promise. An exception raised by the coroutine becomes the error
    of the returned promise.
    """
    outcome: Promise[T] = Promise()
    _advance(coroutine, outcome)
    return outcome


def _advance(coroutine: Coroutine[Promise[Any], None, T], outcome: Promise[T]) -> None:
    while True:
        try:
            awaited = coroutine.send(None)
        except StopIteration as stop:
            outcome.resolve(stop.value)
            return
        except Exception as error:
            outcome.fail(error)
            return
        if not awaited.is_done:
            awaited.add_callback(lambda: _advance(coroutine, outcome))
            return


def sleep(timers: TimerService, duration_ms: float) -> Promise[None]:
    """Return a promise that is resolved after `duration_ms`."""
    promise: Promise[None] = Promise()
    timers.call_later(duration_ms, lambda: promise.resolve(None))
    return promise


def with_timeout(
    timers: TimerService, promise: Promise[T], timeout_ms: float
) -> Promise[Result[T, TimedOut]]:
    """Return a promise of `Ok` with the value, or of `Err(TimedOut)` after the timeout.

    If the awaited promise fails, so does the returned one. The timeout does not cancel
    the awaited promise; a later value of it is ignored.
    """
    outcome: Promise[Result[T, TimedOut]] = Promise()
    if promise.is_done:
        return Promise.of(Ok(promise.value))

    def finish() -> None:
        timer.cancel()
        try:
            value = promise.value
        except Exception as error:
            outcome.fail(error)
            return
        outcome.resolve(Ok(value))

    def expire() -> None:
        promise.discard_callback(finish)
        outcome.resolve(Err(TimedOut(timeout_ms)))

    timer = timers.call_later(timeout_ms, expire)
    promise.add_callback(finish)
    return outcome
