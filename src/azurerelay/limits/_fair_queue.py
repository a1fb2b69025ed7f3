"""A queue that is fair between callers and ordered by priority."""

from collections import deque
from dataclasses import dataclass

from result import Result

from azurerelay.limits._shed import Priority, Shed
from azurerelay.timing import Promise


@dataclass(slots=True)
class QueuedRequest:
    """A waiting request; `admission` is resolved with Ok or the reason to shed."""

    priority: Priority
    caller: str
    deadline_ms: float
    admission: Promise[Result[None, Shed]]


class FairQueue:
    """Serve the highest priority first and callers in turn within a priority."""

    def __init__(self) -> None:
        self._turns: dict[Priority, dict[str, deque[QueuedRequest]]] = {
            priority: {} for priority in Priority
        }
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, request: QueuedRequest) -> None:
        """Add a request behind the others of its caller and priority."""
        callers = self._turns[request.priority]
        callers.setdefault(request.caller, deque()).append(request)
        self._length += 1

    def pop(self) -> QueuedRequest | None:
        """Remove the next request, moving its caller to the end of the turn."""
        for callers in self._turns.values():
            if callers:
                return self._pop_turn(callers)
        return None

    def evict_below(self, priority: Priority) -> QueuedRequest | None:
        """Remove the newest request of the lowest priority below one, if any.

        The request is taken from the caller with the most of them.
        """
        for lower in sorted(Priority, reverse=True):
            callers = self._turns[lower]
            if lower > priority and callers:
                caller = max(callers, key=lambda name: len(callers[name]))
                return self._remove_newest(callers, caller)
        return None

    def evict_heavier(self, priority: Priority, caller: str) -> QueuedRequest | None:
        """Remove the newest request of a caller that has more queued than this."""
        callers = self._turns[priority]
        own = len(callers.get(caller, ()))
        heaviest = max(callers, key=lambda name: len(callers[name]), default=None)
        if heaviest is None or len(callers[heaviest]) <= own + 1:
            return None
        return self._remove_newest(callers, heaviest)

    def drain(self) -> tuple[QueuedRequest, ...]:
        """Remove and return all requests."""
        drained: list[QueuedRequest] = []
        while True:
            request = self.pop()
            if request is None:
                return tuple(drained)
            drained.append(request)

    def _pop_turn(self, callers: dict[str, deque[QueuedRequest]]) -> QueuedRequest:
        caller = next(iter(callers))
        waiting = callers.pop(caller)
        request = waiting.popleft()
        if waiting:
            callers[caller] = waiting
        self._length -= 1
        return request

    def _remove_newest(
        self, callers: dict[str, deque[QueuedRequest]], caller: str
    ) -> QueuedRequest:
        waiting = callers[caller]
        request = waiting.pop()
        if not waiting:
            del callers[caller]
        self._length -= 1
        return request
