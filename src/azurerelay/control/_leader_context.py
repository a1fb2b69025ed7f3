"""The dependencies that the leader's tasks share."""

from dataclasses import dataclass

from azurerelay.control._proposer import Proposer
from azurerelay.endpoints import EndpointPort
from azurerelay.membership import ClusterState, HostTable
from azurerelay.timing import TimerService


@dataclass(frozen=True, slots=True)
class LeaderContext:
    """The leader's name, cluster state, host table and ports.

    A context is valid for one leadership only.
    """

    name: str
    state: ClusterState
    table: HostTable
    proposer: Proposer
    endpoints: EndpointPort
    timers: TimerService
