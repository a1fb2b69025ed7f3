"""Groups of endpoints as a host uses them: connections, primary and positions."""

from azurerelay.groups._endpoint_placement import EndpointPlacement
from azurerelay.groups._group_connections import GroupConnections
from azurerelay.groups._primary_tracker import PrimaryTracker
from azurerelay.groups._suspected_primary import SuspectedPrimary
from azurerelay.groups._topology import Topology

__all__ = [
    "EndpointPlacement",
    "GroupConnections",
    "PrimaryTracker",
    "SuspectedPrimary",
    "Topology",
]
