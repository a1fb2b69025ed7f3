"""An application owns its parts and their start and stop order."""

from collections.abc import Sequence
from typing import Protocol

from absl import logging


class Part(Protocol):
    """A part of an application with life-cycle hooks."""

    @property
    def name(self) -> str:
        """The part's name in the log."""

    async def start(self) -> None:
        """Take up work; raise when that is impossible."""

    async def drain(self) -> None:
        """Refuse new work and wait for what is in flight."""

    async def stop(self) -> None:
        """Release everything."""


class Application:
    """Start parts in order, drain and stop them in reverse order."""

    def __init__(self, name: str, parts: Sequence[Part]) -> None:
        self._name = name
        self._parts = tuple(parts)
        self._started: list[Part] = []

    @property
    def name(self) -> str:
        """The application's name."""
        return self._name

    async def start(self) -> None:
        """Start all parts; stop those already started when one fails."""
        for part in self._parts:
            try:
                await part.start()
            except BaseException:
                await self.stop()
                raise
            self._started.append(part)
            logging.info("%s: %s started", self._name, part.name)

    async def drain(self) -> None:
        """Drain all parts, the last started first."""
        for part in reversed(self._started):
            await part.drain()
            logging.info("%s: %s drained", self._name, part.name)

    async def stop(self) -> None:
        """Stop all started parts, the last started first."""
        while self._started:
            part = self._started.pop()
            await part.stop()
            logging.info("%s: %s stopped", self._name, part.name)
