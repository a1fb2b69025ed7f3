"""The life cycle of a process: its components and the order of their start and stop."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from absl import logging


class Component(Protocol):
    """A component of an application, with life-cycle hooks."""

    @property
    def name(self) -> str:
        """The component's name in log lines."""

    async def start(self) -> None:
        """Start to work; raise if that fails."""

    async def drain(self) -> None:
        """Prepare to stop, as by refusing new work and finishing work in flight."""

    async def stop(self) -> None:
        """Release all resources, such as sockets, tasks and files."""


class Application:
    """Start components in the given order; drain and stop them in reverse order.

    An error in the drain or the stop of a component is logged, and the others go on:
    each has callers of its own.
    """

    def __init__(self, name: str, components: Sequence[Component]) -> None:
        self._name = name
        self._components = tuple(components)
        self._started: list[Component] = []

    @property
    def name(self) -> str:
        """The application's name in log lines."""
        return self._name

    async def start(self) -> None:
        """Start all components; if one raises, stop the started ones and re-raise."""
        for component in self._components:
            try:
                await component.start()
            except BaseException:
                await self.stop()
                raise
            self._started.append(component)
            logging.info("%s: %s started", self._name, component.name)

    async def drain(self) -> None:
        """Drain all started components in reverse start order."""
        for component in reversed(self._started):
            await self._run_hook(component, component.drain, "drained")

    async def stop(self) -> None:
        """Stop all started components in reverse start order."""
        while self._started:
            component = self._started.pop()
            await self._run_hook(component, component.stop, "stopped")

    async def _run_hook(
        self, component: Component, hook: Callable[[], Awaitable[None]], done: str
    ) -> None:
        try:
            await hook()
        except Exception:
            logging.exception(
                "%s: %s could not be %s", self._name, component.name, done
            )
        else:
            logging.info("%s: %s %s", self._name, component.name, done)
