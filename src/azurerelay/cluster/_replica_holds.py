"""Replicas that receive no commits while the primary of their group is replaced."""

from collections import Counter
from collections.abc import Callable
from typing import Final

from azurerelay.cluster._endpoint_status_client import EndpointStatusClient
from azurerelay.discovery import Announcement, EndpointDirectory
from azurerelay.statements import Position
from azurerelay.timing import TimerService, sleep, spawn

RESUME_TIMEOUT_MS: Final = 1_000.0
RESUME_RETRY_DELAY_MS: Final = 200.0


class ReplicaHolds:
    """Pauses replicas, and resumes each of them once its group is released.

    Only a host for which `is_leading` is true resumes replicas: the next leader may
    have paused them for a change of its own.
    """

    def __init__(
        self,
        status_client: EndpointStatusClient,
        directory: EndpointDirectory,
        timers: TimerService,
        is_leading: Callable[[], bool],
    ) -> None:
        self._status_client = status_client
        self._directory = directory
        self._timers = timers
        self._is_leading = is_leading
        # The group of each replica that may be paused.
        self._groups: dict[str, str] = {}
        self._resuming: set[str] = set()
        # Counts the starts and ends of requests to pause a replica.
        self._pauses: Counter[str] = Counter()

    async def hold(self, endpoint: Announcement, timeout_ms: float) -> Position | None:
        """Pause a replica; return what it has received, or None if that is unknown.

        A replica that did not answer may be paused all the same.
        """
        name = endpoint.endpoint
        self._resuming.discard(name)
        self._groups[name] = endpoint.group
        self._pauses[name] += 1
        position = await self._status_client.pause(endpoint, timeout_ms)
        self._pauses[name] += 1
        if name not in self._groups and self._is_leading():
            # The group was released before the request was sent.
            self._groups[name] = endpoint.group
            self._resuming.add(name)
            spawn(self._resume(name))
        return position

    def release(self, group: str) -> None:
        """Resume all replicas of a group that may be paused."""
        for name, held_group in list(self._groups.items()):
            if held_group == group and name not in self._resuming:
                self._resuming.add(name)
                spawn(self._resume(name))

    def resume_members(self, group: str) -> None:
        """Resume all replicas of a group, as an earlier leader may have paused them."""
        for member in self._directory.group(group):
            if not member.is_primary:
                self._groups[member.endpoint] = group
        self.release(group)

    def forget(self) -> None:
        """Leave all replicas to the next leader."""
        self._groups.clear()
        self._resuming.clear()

    async def _resume(self, name: str) -> None:
        while name in self._resuming and self._is_leading():
            pauses = self._pauses[name]
            endpoint = self._directory.get(name)
            # A replica that is unknown for now may still be paused when it returns.
            is_resumed = endpoint is not None and (
                endpoint.is_primary
                or await self._status_client.resume(endpoint, RESUME_TIMEOUT_MS)
            )
            if is_resumed and name in self._resuming and self._pauses[name] == pauses:
                self._resuming.discard(name)
                self._groups.pop(name, None)
                self._pauses.pop(name, None)
                return
            await sleep(self._timers, RESUME_RETRY_DELAY_MS)
