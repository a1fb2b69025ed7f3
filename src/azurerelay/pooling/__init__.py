"""Connection pools, connection shares, replication positions and endpoint choice."""

from azurerelay.pooling._connection_share import (
    ConnectionShare,
    connected_hosts,
    connection_share,
    idle_timeout_ms,
    regional_connection_share,
)
from azurerelay.pooling._endpoint_pool import EndpointPool
from azurerelay.pooling._lag_estimate import LagEstimate
from azurerelay.pooling._placement import (
    ReadCandidate,
    RequiredPosition,
    catch_up_ms,
    choose_endpoint,
    read_cost_ms,
)
from azurerelay.pooling._pooled_session import PooledSession
from azurerelay.pooling._position_samples import PositionSamples
from azurerelay.pooling._session_profile import PreparedShape, SessionProfile

__all__ = [
    "ConnectionShare",
    "EndpointPool",
    "LagEstimate",
    "PooledSession",
    "PositionSamples",
    "PreparedShape",
    "ReadCandidate",
    "RequiredPosition",
    "SessionProfile",
    "catch_up_ms",
    "choose_endpoint",
    "connected_hosts",
    "connection_share",
    "regional_connection_share",
    "idle_timeout_ms",
    "read_cost_ms",
]
