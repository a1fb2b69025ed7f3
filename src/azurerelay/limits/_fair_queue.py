"""A priority queue that is fair between callers."""

from collections import deque
from dataclasses import dataclass

from result import Result

from azurerelay.limits._shed import Priority, Shed
from azurerelay.timing import Promise


@dataclass(slots=True)
class QueuedRequest:
    """A queued request; `admission` resolves to Ok or to the reason to shed it."""

    priority: Priority
    caller: str
    deadline_ms: float
    admission: Promise[Result[None, Shed]]


class FairQueue:
    """Serves requests by priority, and callers in rotation within a priority."""

    def __init__(self) -> None:
        self._queues: dict[Priority, dict[str, deque[QueuedRequest]]] = {
            priority: {} for priority in Priority
        }
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, request: QueuedRequest) -> None:
        """Append a request to those of its caller and priority."""
        callers = self._queues[request.priority]
        callers.setdefault(request.caller, deque()).append(request)
        self._length += 1

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request, if any; its caller then comes last."""
        for callers in self._queues.values():
            if callers:
                return self._pop_next(callers)
        return None

    def evict_lower_priority(self, priority: Priority) -> QueuedRequest | None:
        """Remove and return a request with a lower priority than this, if any.

        It is the newest request of the caller with the most requests of the lowest
        priority in the queue.
        """
        for lower in sorted(Priority, reverse=True):
            callers = self._queues[lower]
            if lower > priority and callers:
                caller = max(callers, key=lambda name: len(callers[name]))
                return self._remove_newest(callers, caller)
        return None

    def evict_busiest_caller(
        self, priority: Priority, caller: str
    ) -> QueuedRequest | None:
        """Remove and return the newest request of the caller with the most requests.

        Only requests of this priority count. Return None unless that caller has at
        least two more than `caller`.
        """
        callers = self._queues[priority]
        own_count = len(callers.get(caller, ()))
        busiest = max(callers, key=lambda name: len(callers[name]), default=None)
        if busiest is None or len(callers[busiest]) <= own_count + 1:
            return None
        return self._remove_newest(callers, busiest)

    def drain(self) -> tuple[QueuedRequest, ...]:
        """Remove and return all requests."""
        drained: list[QueuedRequest] = []
        while True:
            request = self.pop()
            if request is None:
                return tuple(drained)
            drained.append(request)

    def _pop_next(self, callers: dict[str, deque[QueuedRequest]]) -> QueuedRequest:
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
