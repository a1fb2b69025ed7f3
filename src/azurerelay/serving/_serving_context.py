"""The dependencies of a group server."""

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
    """The host, ports and cluster state that a group server uses.

    `has_lease` returns whether this host holds a valid lease from control, without
    which it confirms no write and no read of the primary. `request_heartbeat` requests
    an early heartbeat to control; it is called for a new suspicion and when the
    registry becomes ready.
    """

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
    request_heartbeat: Callable[[], None]
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
        """Return the monotonic time in milliseconds."""
        return self.timers.now_ms()
