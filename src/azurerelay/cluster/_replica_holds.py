"""Replicas that receive no commits while the primary of their group is replaced."""

from collections import Counter
from collections.abc import Callable
from typing import Final

from azurerelay.cluster._endpoint_status_client import EndpointStatusClient
from azurerelay.discovery import Announcement, EndpointDirectory
from azurerelay.events import EventLog, ReplicaPaused
from azurerelay.statements import Position
from azurerelay.timing import TimerService, sleep, spawn

PAUSE_TIMEOUT_MS: Final = 700.0
RESUME_TIMEOUT_MS: Final = 1_000.0
RETRY_DELAY_MS: Final = 200.0

# Names and incarnations of replicas. A restart, which ends a pause, changes the latter.
PausedMembers = frozenset[tuple[str, int]]


class ReplicaHolds:
    """Pauses replicas, and resumes each of them once its group is released.

    While a promotion order may be carried out, its group is guarded: all replicas are
    paused but the receiver, which is the endpoint to be promoted. So every commit that
    is acknowledged meanwhile is in the log of the receiver. A restart ends a pause, and
    other replicas may join; `renew` pauses these.

    Only a host for which `is_leading` is true resumes replicas: the next leader may
    have paused them for a change of its own.
    """

    def __init__(
        self,
        status_client: EndpointStatusClient,
        directory: EndpointDirectory,
        timers: TimerService,
        events: EventLog,
        is_leading: Callable[[], bool],
    ) -> None:
        self._status_client = status_client
        self._directory = directory
        self._timers = timers
        self._events = events
        self._is_leading = is_leading
        # The group of each replica that may be paused.
        self._groups: dict[str, str] = {}
        # The incarnation of each replica that is known to be paused.
        self._paused: dict[str, int] = {}
        # The receiver of each guarded group, if it has one.
        self._receivers: dict[str, str | None] = {}
        self._renewing: set[tuple[str, int]] = set()
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
        elif position is not None and name not in self._resuming:
            self._paused[name] = endpoint.incarnation
        return position

    def guard(self, group: str, receiver: str | None) -> None:
        """Let only the receiver receive commits until the group is released.

        A new receiver is resumed, as an earlier leader may have paused it.
        """
        is_new = receiver != self._receivers.get(group)
        self._receivers[group] = receiver
        if receiver is not None and (is_new or receiver in self._groups):
            self._groups[receiver] = group
            self._start_to_resume(receiver)
        self.renew()

    def paused_members(self, group: str) -> PausedMembers:
        """Return the replicas of a group that are known to be paused."""
        return frozenset(
            (member.endpoint, member.incarnation)
            for member in self._directory.group(group)
            if self._paused.get(member.endpoint) == member.incarnation
        )

    def has_held(
        self, group: str, members: PausedMembers, synchronous_replicas: int
    ) -> bool:
        """Return whether commits have needed a receipt of the receiver all the time.

        That is so if fewer than `synchronous_replicas` others may have received any
        since `members` were paused. One that restarted may, also if it is paused again.
        """
        if group not in self._receivers:
            return False
        others = {(m.endpoint, m.incarnation) for m in self._other_members(group)}
        return len(others - members) < synchronous_replicas

    def renew(self) -> None:
        """Pause the replicas of guarded groups that have restarted or joined.

        Call this at regular intervals.
        """
        for group in self._receivers:
            for member in self._other_members(group):
                key = (member.endpoint, member.incarnation)
                is_paused = self._paused.get(member.endpoint) == member.incarnation
                if not is_paused and key not in self._renewing:
                    self._renewing.add(key)
                    spawn(self._renew(member))

    def release(self, group: str) -> None:
        """Resume all replicas of a group that may be paused."""
        self._receivers.pop(group, None)
        for name, held_group in list(self._groups.items()):
            if held_group == group:
                self._start_to_resume(name)

    def resume_members(self, group: str) -> None:
        """Resume all replicas of a group, as an earlier leader may have paused them."""
        for member in self._directory.group(group):
            if not member.is_primary:
                self._groups[member.endpoint] = group
        self.release(group)

    def forget(self) -> None:
        """Leave all replicas to the next leader."""
        self._groups.clear()
        self._paused.clear()
        self._receivers.clear()
        self._resuming.clear()

    def _other_members(self, group: str) -> list[Announcement]:
        """Return the replicas of a guarded group that are to be paused."""
        receiver = self._receivers[group]
        return [
            member
            for member in self._directory.group(group)
            if not member.is_primary and member.endpoint != receiver
        ]

    async def _renew(self, endpoint: Announcement) -> None:
        try:
            received = await self.hold(endpoint, PAUSE_TIMEOUT_MS)
            if received is None:
                await sleep(self._timers, RETRY_DELAY_MS)
                return
            self._events.record(
                ReplicaPaused(
                    endpoint.group,
                    endpoint.endpoint,
                    endpoint.incarnation,
                    str(received),
                )
            )
        finally:
            self._renewing.discard((endpoint.endpoint, endpoint.incarnation))

    def _start_to_resume(self, name: str) -> None:
        self._paused.pop(name, None)
        if name not in self._resuming:
            self._resuming.add(name)
            spawn(self._resume(name))

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
            await sleep(self._timers, RETRY_DELAY_MS)
