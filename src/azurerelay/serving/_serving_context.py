"""The ports and the host that a group server works with."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from azurerelay.endpoints import EndpointPort
from azurerelay.membership import ClusterState, GroupRecord
from azurerelay.messages import Link, Requester
from azurerelay.serving._serving_counters import ServingCounters
from azurerelay.settings import GroupPolicy
from azurerelay.timing import TimerService


@dataclass(frozen=True, slots=True)
class ServingContext:
    """Everything outside the group; `has_lease` tells whether work may be confirmed."""

    host: str
    failure_domain: str
    incarnation: int
    group: str
    timers: TimerService
    endpoints: EndpointPort
    link: Link
    requester: Requester
    random_source: random.Random
    state: ClusterState
    has_lease: Callable[[], bool]
    on_suspicion: Callable[[], None]
    counters: ServingCounters

    @property
    def record(self) -> GroupRecord:
        """The group's record as applied on this host."""
        return self.state.groups[self.group]

    @property
    def policy(self) -> GroupPolicy:
        """The group's settings in force on this host."""
        return self.state.policy(self.group)

    def now_ms(self) -> float:
        """Return monotonic time."""
        return self.timers.now_ms()
