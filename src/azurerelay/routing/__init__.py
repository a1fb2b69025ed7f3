"""Read routing: endpoint positions, staleness and the choice of a replica."""

from azurerelay.routing._endpoint_view import EndpointView
from azurerelay.routing._position_tracker import PositionTracker
from azurerelay.routing._read_constraints import ReadConstraints
from azurerelay.routing._read_router import ReadRouter, RouteCandidate, Verdict
from azurerelay.routing._sample_history import SampleHistory

__all__ = [
    "EndpointView",
    "PositionTracker",
    "ReadConstraints",
    "ReadRouter",
    "RouteCandidate",
    "SampleHistory",
    "Verdict",
]
