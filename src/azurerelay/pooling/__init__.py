"""Connections to endpoints: lending, matching, placing and positions."""

from azurerelay.pooling._connection_share import (
    ConnectionShare,
    connected_hosts,
    connection_share,
    holding_ms,
)
from azurerelay.pooling._endpoint_pool import EndpointPool
from azurerelay.pooling._lag_estimate import LagEstimate
from azurerelay.pooling._placement import (
    EndpointView,
    RequiredPosition,
    behind_ms,
    choose_endpoint,
    expected_ms,
)
from azurerelay.pooling._pooled_session import PooledSession
from azurerelay.pooling._position_samples import PositionSamples
from azurerelay.pooling._session_profile import PreparedShape, SessionProfile

__all__ = [
    "ConnectionShare",
    "EndpointPool",
    "EndpointView",
    "LagEstimate",
    "PooledSession",
    "PositionSamples",
    "PreparedShape",
    "RequiredPosition",
    "SessionProfile",
    "behind_ms",
    "choose_endpoint",
    "connected_hosts",
    "connection_share",
    "expected_ms",
    "holding_ms",
]
