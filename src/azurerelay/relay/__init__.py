"""An entry host: sessions of callers, connections to endpoints, routing."""

from azurerelay.relay._caller_session import CallerSession
from azurerelay.relay._group_relay import GroupRelay
from azurerelay.relay._primary_tracker import PrimaryTracker
from azurerelay.relay._relay_node import RelayNode
from azurerelay.relay._topology import Topology

__all__ = [
    "CallerSession",
    "GroupRelay",
    "Topology",
    "PrimaryTracker",
    "RelayNode",
]
