"""The choice of an endpoint that holds every acknowledged commit of its group."""

from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from typing import Any, Final

from azurerelay.cluster._endpoint_status_client import (
    STATUS_TIMEOUT_MS,
    EndpointStatusClient,
)
from azurerelay.cluster._position_poll import FIRST_QUERY_TIMEOUT_MS, PositionPoll
from azurerelay.cluster._promotion_policy import (
    commit_holders,
    most_advanced,
    required_answers,
)
from azurerelay.cluster._replica_holds import ReplicaHolds
from azurerelay.discovery import Announcement, EndpointDirectory
from azurerelay.events import EventLog, PromotionWaiting
from azurerelay.statements import Position
from azurerelay.timing import Promise, TimerService, spawn, with_timeout

POLL_INTERVAL_MS: Final = 100.0
# A promotion that waits for positions is reported at this interval.
WAITING_REPORT_INTERVAL_MS: Final = 1_000.0
# An endpoint may take longer to pause than to state its position.
PAUSE_DURATION_FACTOR: Final = 1.5
# The primary can acknowledge no commits while replicas are paused. They are resumed
# unless enough of them have answered within this many timeouts of a query.
PAUSE_TIMEOUTS: Final = 3.0


@dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint to promote, and the positions that endpoints have stated."""

    endpoint: str
    reported: str


@dataclass(frozen=True, slots=True)
class _Answers:
    """The positions that endpoints of a group have stated to have received.

    `missing` names the endpoints that may hold commits and have not answered, and
    `needed` is the number of answers that a promotion needs.
    """

    received: Mapping[str, Position]
    draining: frozenset[str]
    missing: str
    needed: int

    @property
    def is_enough(self) -> bool:
        """Whether one of the answers is sure to cover all acknowledged commits."""
        return len(self.received) >= self.needed

    def has_all(self, endpoint: str | None) -> bool:
        """Return whether no endpoint has stated a higher position than this one."""
        highest = max(self.received.values(), default=None)
        return highest is not None and self.received.get(endpoint or "") == highest

    def choose(self, ordered: str | None) -> Choice | None:
        """Return the endpoint that was ordered, if it has all, or the best one."""
        if ordered is not None and self.has_all(ordered):
            endpoint: str | None = ordered
        else:
            endpoint = most_advanced(self.received, self.draining)
        if endpoint is None:
            return None
        text = describe_positions(self.received)
        if self.missing:
            text += f"; no answer: {self.missing}"
        return Choice(endpoint, text)


class DurableChoice:
    """Chooses endpoints to promote in groups with synchronous replicas.

    `synchronous_replicas` returns their number in a group, `is_needed` whether the
    primary of a group still has to be replaced by this host, and `is_serving` whether
    it may acknowledge commits at this moment.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        status_client: EndpointStatusClient,
        holds: ReplicaHolds,
        timers: TimerService,
        events: EventLog,
        synchronous_replicas: Callable[[str], int],
        is_needed: Callable[[str], bool],
        is_serving: Callable[[str], bool],
    ) -> None:
        self._directory = directory
        self._status_client = status_client
        self._holds = holds
        self._timers = timers
        self._events = events
        self._synchronous_replicas = synchronous_replicas
        self._is_needed = is_needed
        self._is_serving = is_serving
        self._waiting_groups: set[str] = set()

    @property
    def waiting_count(self) -> int:
        """The number of groups whose promotion waits for positions of endpoints."""
        return len(self._waiting_groups)

    async def choose(
        self, group: str, reason: str, open_orders: frozenset[str]
    ) -> Choice | None:
        """Return an endpoint that holds every acknowledged commit, and all positions.

        `open_orders` are the endpoints whose promotion has been ordered and may still
        be carried out. If there is exactly one, it is chosen again once it holds all
        commits, and goes on receiving meanwhile.

        Waits until enough endpoints have stated their positions. An operator who sets
        the number of synchronous replicas of the group to 0 meanwhile ends the wait,
        and accepts the loss of commits that only the missing endpoints hold. Returns
        None if the primary no longer has to be replaced, or this host does not lead.
        """
        ordered = next(iter(open_orders)) if len(open_orders) == 1 else None
        if not self._is_serving(group):
            # A pause keeps no caller waiting now, so the first query can be one.
            choice = await self._hold_and_choose(
                group, reason, FIRST_QUERY_TIMEOUT_MS, ordered
            )
            if choice is not None:
                return choice
            if not open_orders:
                self._holds.release(group)
        poll = self._start_poll(self._status_client.query_received)
        started_ms = self._timers.now_ms()
        report_ms = started_ms + STATUS_TIMEOUT_MS
        try:
            while self._is_needed(group):
                answers = self._update_poll(group, poll)
                if answers.is_enough:
                    if not self._synchronous_replicas(group):
                        return answers.choose(ordered)
                    timeout_ms = max(
                        FIRST_QUERY_TIMEOUT_MS,
                        PAUSE_DURATION_FACTOR * poll.slowest_answer_ms,
                    )
                    return await self._hold_and_choose(
                        group, reason, timeout_ms, ordered
                    )
                now_ms = self._timers.now_ms()
                if now_ms >= report_ms:
                    report_ms = now_ms + WAITING_REPORT_INTERVAL_MS
                    self._waiting_groups.add(group)
                    self._report_waiting(group, reason, answers, started_ms)
                await with_timeout(self._timers, poll.next_answer, POLL_INTERVAL_MS)
            return None
        finally:
            poll.stop()
            self._waiting_groups.discard(group)

    async def _hold_and_choose(
        self, group: str, reason: str, timeout_ms: float, ordered: str | None
    ) -> Choice | None:
        """Pause replicas until no commit can be acknowledged, and choose one of them.

        Their positions do not change until the group is guarded or released. Returns
        None if too few are known to be paused after `PAUSE_TIMEOUTS` times
        `timeout_ms`.

        An ordered endpoint is not paused unless it lacks commits for that long: it
        receives what another endpoint got that was not paused for a while.
        """
        poll = self._start_hold(timeout_ms, ordered)
        started_ms = self._timers.now_ms()
        try:
            while self._is_needed(group):
                answers = self._update_poll(group, poll)
                if answers.is_enough and (ordered is None or answers.has_all(ordered)):
                    return answers.choose(ordered)
                waited_ms = self._timers.now_ms() - started_ms
                if waited_ms >= PAUSE_TIMEOUTS * timeout_ms:
                    if answers.is_enough:
                        return await self._hold_and_choose(
                            group, reason, timeout_ms, None
                        )
                    reason = f"{reason}; replicas could not be paused"
                    self._report_waiting(group, reason, answers, started_ms)
                    return None
                await with_timeout(self._timers, poll.next_answer, POLL_INTERVAL_MS)
                if ordered is not None:
                    poll.query_again(ordered)
            return None
        finally:
            poll.stop()

    def _start_hold(self, timeout_ms: float, ordered: str | None) -> PositionPoll:
        """Query the ordered endpoint, and pause all others."""

        async def query(endpoint: Announcement, timeout_ms: float) -> Position | None:
            if endpoint.endpoint == ordered:
                return await self._status_client.query_received(endpoint, timeout_ms)
            return await self._holds.hold(endpoint, timeout_ms)

        return self._start_poll(query, timeout_ms)

    def _start_poll(
        self,
        query: Callable[
            [Announcement, float], Coroutine[Promise[Any], None, Position | None]
        ],
        first_timeout_ms: float = FIRST_QUERY_TIMEOUT_MS,
    ) -> PositionPoll:
        return PositionPoll(
            lambda endpoint, timeout_ms: spawn(query(endpoint, timeout_ms)),
            self._timers,
            first_timeout_ms,
        )

    def _report_waiting(
        self, group: str, reason: str, answers: _Answers, started_ms: float
    ) -> None:
        self._events.record(
            PromotionWaiting(
                group,
                reason,
                answers.needed,
                describe_positions(answers.received),
                answers.missing,
                self._timers.now_ms() - started_ms,
            )
        )

    def _update_poll(self, group: str, poll: PositionPoll) -> _Answers:
        """Query all endpoints of a group but its primary; return the answers."""
        failed = {p.endpoint for p in self._directory.primaries(group)}
        members = self._directory.group(group)
        poll.set_endpoints(m for m in members if m.endpoint not in failed)
        holders = commit_holders(self._directory, group)
        received = {
            name: position
            for name, position in poll.received.items()
            if name in holders.names
        }
        return _Answers(
            received,
            frozenset(m.endpoint for m in members if m.is_draining),
            ", ".join(sorted(holders.names - received.keys())),
            required_answers(holders, self._synchronous_replicas(group)),
        )


def describe_positions(received: Mapping[str, Position]) -> str:
    """Return the positions of endpoints as text."""
    return ", ".join(f"{name} {position}" for name, position in received.items())
