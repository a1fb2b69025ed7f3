"""A value that is set later, usable without an event loop."""

from collections.abc import Callable, Generator, Sequence
from typing import Any, Generic, TypeVar, cast

T = TypeVar("T")


class Promise(Generic[T]):
    """Hold a value or an error that is set once; later ones are ignored."""

    __slots__ = ("_callbacks", "_error", "_is_done", "_value")

    def __init__(self) -> None:
        self._is_done = False
        self._value: T | None = None
        self._error: BaseException | None = None
        self._callbacks: list[Callable[[], object]] = []

    @property
    def is_done(self) -> bool:
        """Whether a value or an error is set."""
        return self._is_done

    @property
    def value(self) -> T:
        """The value; raises the error if that was set. Valid only once `is_done`."""
        if self._error is not None:
            raise self._error
        return cast(T, self._value)

    @classmethod
    def of(cls, value: T) -> "Promise[T]":
        """Return a promise that is already resolved."""
        promise: Promise[T] = cls()
        promise._value = value
        promise._is_done = True
        return promise

    def resolve(self, value: T) -> bool:
        """Set the value and run the callbacks; return False if already done."""
        if self._is_done:
            return False
        self._value = value
        self._finish()
        return True

    def fail(self, error: BaseException) -> None:
        """Set an error and run the callbacks.

        Without a callback the error is raised here as well, so that it is not lost.
        Does nothing if already done.
        """
        if self._is_done:
            return
        self._error = error
        has_callback = bool(self._callbacks)
        self._finish()
        if not has_callback:
            raise error

    def add_callback(self, callback: Callable[[], object]) -> None:
        """Run the callback when the promise is done, at once if it already is."""
        if self._is_done:
            callback()
            return
        self._callbacks.append(callback)

    def discard_callback(self, callback: Callable[[], object]) -> None:
        """Remove a callback if it is still registered."""
        if callback in self._callbacks:
            self._callbacks.remove(callback)

    def __await__(self) -> Generator["Promise[Any]", None, T]:
        if not self._is_done:
            yield self
        return self.value

    def _finish(self) -> None:
        self._is_done = True
        callbacks = self._callbacks
        self._callbacks = []
        first_error: Exception | None = None
        for callback in callbacks:
            try:
                callback()
            except Exception as error:
                # The other callbacks belong to flows that would wait for ever.
                first_error = first_error or error
        if first_error is not None:
            raise first_error


def gather(promises: Sequence[Promise[T]]) -> Promise[tuple[T, ...]]:
    """Return a promise of all values, in the order of the promises.

    It fails with the first error in that order, once all promises are done.
    """
    combined: Promise[tuple[T, ...]] = Promise()

    def check() -> None:
        if not all(promise.is_done for promise in promises):
            return
        try:
            values = tuple(promise.value for promise in promises)
        except Exception as error:
            combined.fail(error)
            return
        combined.resolve(values)

    if not promises:
        return Promise.of(())
    for promise in promises:
        promise.add_callback(check)
    return combined
