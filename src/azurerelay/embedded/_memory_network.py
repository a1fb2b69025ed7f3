"""Links between processes of one program, with latency, cuts and loss."""

import random
from collections.abc import Callable
from typing import Any

from azurerelay.embedded._place import Place
from azurerelay.embedded._system_shape import SystemShape
from azurerelay.timing import TimerService

Handler = Callable[[str, Any], None]


class MemoryNetwork:
    """Deliver messages after the latency between two places, unless they are cut."""

    def __init__(
        self, shape: SystemShape, timers: TimerService, random_source: random.Random
    ) -> None:
        self._shape = shape
        self._timers = timers
        self._random = random_source
        self._places: dict[str, Place] = {}
        self._handlers: dict[str, Handler] = {}
        self._isolated: set[str] = set()
        self._cuts: set[frozenset[str]] = set()
        self._loss = 0.0
        self._sent = 0

    @property
    def sent(self) -> int:
        """Messages sent so far."""
        return self._sent

    def place(self, name: str, place: Place) -> None:
        """Say where a process runs."""
        self._places[name] = place

    def attach(self, name: str, handler: Handler) -> None:
        """Deliver to a process from now on."""
        self._handlers[name] = handler

    def detach(self, name: str) -> None:
        """Drop everything for a process that has ended."""
        self._handlers.pop(name, None)

    def isolate(self, name: str) -> None:
        """Cut a process off from all others."""
        self._isolated.add(name)

    def cut(self, one: str, other: str) -> None:
        """Cut the link between two processes."""
        self._cuts.add(frozenset((one, other)))

    def heal(self, name: str) -> None:
        """End the isolation of a process and every cut of its links."""
        self._isolated.discard(name)
        self._cuts = {cut for cut in self._cuts if name not in cut}

    def set_loss(self, share: float) -> None:
        """Lose this share of all messages."""
        self._loss = share

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether nothing passes between two processes."""
        if one == other:
            return False
        is_isolated = one in self._isolated or other in self._isolated
        return is_isolated or frozenset((one, other)) in self._cuts

    def latency_ms(self, one: str, other: str) -> float:
        """Return the one-way latency between two processes."""
        here, there = self._places.get(one), self._places.get(other)
        if here is None or there is None:
            return self._shape.to_callers_ms
        if here == there:
            return self._shape.local_ms
        if here.region == there.region:
            return self._shape.between_domains_ms
        return self._shape.between_regions_ms

    def send(self, sender: str, receiver: str, message: Any) -> None:
        """Deliver a message later, or never."""
        self._sent += 1
        if self._loss and self._random.random() < self._loss:
            return
        delay_ms = self.latency_ms(sender, receiver)
        self._timers.call_later(
            delay_ms, lambda: self._deliver(sender, receiver, message)
        )

    def _deliver(self, sender: str, receiver: str, message: Any) -> None:
        handler = self._handlers.get(receiver)
        if handler is not None and not self.is_cut(sender, receiver):
            handler(sender, message)


class MemoryLink:
    """The link port of one process; silent once the process has ended."""

    def __init__(self, network: MemoryNetwork, name: str) -> None:
        self._network = network
        self._name = name
        self._is_closed = False

    def send(self, peer: str, message: Any) -> None:
        """Send a message."""
        if not self._is_closed:
            self._network.send(self._name, peer, message)

    def close(self) -> None:
        """Send nothing any more."""
        self._is_closed = True
