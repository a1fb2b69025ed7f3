"""What all duties of a leader work with."""

from dataclasses import dataclass

from azurerelay.control._proposer import Proposer
from azurerelay.endpoints import EndpointPort
from azurerelay.membership import ClusterState, HostTable
from azurerelay.timing import TimerService


@dataclass(frozen=True, slots=True)
class DutyContext:
    """The leader's name, state, host table and ports, for one leadership."""

    name: str
    state: ClusterState
    table: HostTable
    proposer: Proposer
    endpoints: EndpointPort
    timers: TimerService
