"""Run coroutines that await promises only, without an event loop."""

from collections.abc import Coroutine
from typing import Any, TypeVar

from result import Err, Ok, Result

from azurerelay.timing._promise import Promise
from azurerelay.timing._timed_out import TimedOut
from azurerelay.timing._timer_service import TimerService

T = TypeVar("T")


def spawn(steps: Coroutine[Promise[Any], None, T]) -> Promise[T]:
    """Run the coroutine up to its first wait, and on whenever that wait ends."""
    outcome: Promise[T] = Promise()
    _advance(steps, outcome)
    return outcome


def _advance(steps: Coroutine[Promise[Any], None, T], outcome: Promise[T]) -> None:
    while True:
        try:
            awaited = steps.send(None)
        except StopIteration as stop:
            outcome.resolve(stop.value)
            return
        except Exception as error:
            outcome.fail(error)
            return
        if not awaited.is_done:
            awaited.add_callback(lambda: _advance(steps, outcome))
            return


def sleep(timers: TimerService, duration_ms: float) -> Promise[None]:
    """Return a promise that is resolved after the duration."""
    promise: Promise[None] = Promise()
    timers.call_later(duration_ms, lambda: promise.resolve(None))
    return promise


def within(
    timers: TimerService, promise: Promise[T], limit_ms: float
) -> Promise[Result[T, TimedOut]]:
    """Return the promise's value, or `TimedOut` once the limit has passed."""
    outcome: Promise[Result[T, TimedOut]] = Promise()
    if promise.is_done:
        return Promise.of(Ok(promise.value))

    def finish() -> None:
        timer.cancel()
        outcome.resolve(Ok(promise.value))

    def expire() -> None:
        promise.discard_callback(finish)
        outcome.resolve(Err(TimedOut(limit_ms)))

    timer = timers.call_later(limit_ms, expire)
    promise.add_callback(finish)
    return outcome
