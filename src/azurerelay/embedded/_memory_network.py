"""In-memory links between processes with latency, partitions and message loss."""

import random
from collections.abc import Callable
from typing import Any

from azurerelay.embedded._place import Place
from azurerelay.embedded._system_shape import SystemShape
from azurerelay.timing import TimerService

Handler = Callable[[str, Any], None]


class MemoryNetwork:
    """Deliver messages between processes after the latency between their places."""

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
        self._loss_probability = 0.0
        self._sent_messages = 0

    @property
    def sent_messages(self) -> int:
        """The number of messages sent so far, including lost ones."""
        return self._sent_messages

    def place(self, name: str, place: Place) -> None:
        """Set the place in which a process runs."""
        self._places[name] = place

    def attach(self, name: str, handler: Handler) -> None:
        """Deliver messages for a process to the handler from now on."""
        self._handlers[name] = handler

    def detach(self, name: str) -> None:
        """Drop all messages for a process from now on, including those in transit."""
        self._handlers.pop(name, None)

    def isolate(self, name: str) -> None:
        """Isolate a process: drop all messages from and to it."""
        self._isolated.add(name)

    def cut(self, one: str, other: str) -> None:
        """Drop all messages between two processes, in both directions."""
        self._cuts.add(frozenset((one, other)))

    def heal(self, name: str) -> None:
        """End the isolation of a process and all cuts of its links."""
        self._isolated.discard(name)
        self._cuts = {cut for cut in self._cuts if name not in cut}

    def set_loss(self, probability: float) -> None:
        """Set the probability with which a message is lost."""
        self._loss_probability = probability

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether all messages between two processes are dropped."""
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
        """Deliver a message after the latency, unless it is lost or the link is cut."""
        self._sent_messages += 1
        if self._loss_probability and self._random.random() < self._loss_probability:
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
    """The link port of one process; drops what is sent after it is closed."""

    def __init__(self, network: MemoryNetwork, name: str) -> None:
        self._network = network
        self._name = name
        self._is_closed = False

    def send(self, peer: str, message: Any) -> None:
        """Send a message to a peer, unless the link is closed."""
        if not self._is_closed:
            self._network.send(self._name, peer, message)

    def close(self) -> None:
        """Drop all messages sent from now on."""
        self._is_closed = True
