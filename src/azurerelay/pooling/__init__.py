"""Connection pools, connection shares, replication positions and endpoint choice."""

from azurerelay.pooling._connection_share import (
    ConnectionShare,
    connected_hosts,
    connection_share,
    idle_timeout_ms,
    regional_connection_share,
)
from azurerelay.pooling._duration_average import DurationAverage
from azurerelay.pooling._endpoint_pool import (
    MAX_RETRY_DELAY_MS,
    RETRY_DELAY_MS,
    EndpointPool,
)
from azurerelay.pooling._lag_estimate import LagEstimate
from azurerelay.pooling._load_estimate import LoadEstimate, LoadKnowledge
from azurerelay.pooling._placement import (
    EvaluatedCandidate,
    ReadCandidate,
    ReadPolicy,
    RequiredPosition,
    catch_up_ms,
    choose_by_recent_answers,
    choose_endpoint,
    evaluate_candidates,
    expected_costs,
    read_cost_ms,
)
from azurerelay.pooling._pooled_session import PooledSession
from azurerelay.pooling._position_samples import PositionSamples
from azurerelay.pooling._session_profile import PreparedShape, SessionProfile

__all__ = [
    "MAX_RETRY_DELAY_MS",
    "RETRY_DELAY_MS",
    "ConnectionShare",
    "DurationAverage",
    "EndpointPool",
    "EvaluatedCandidate",
    "LagEstimate",
    "LoadEstimate",
    "LoadKnowledge",
    "PooledSession",
    "PositionSamples",
    "PreparedShape",
    "ReadCandidate",
    "ReadPolicy",
    "RequiredPosition",
    "SessionProfile",
    "catch_up_ms",
    "choose_by_recent_answers",
    "choose_endpoint",
    "connected_hosts",
    "connection_share",
    "evaluate_candidates",
    "expected_costs",
    "regional_connection_share",
    "idle_timeout_ms",
    "read_cost_ms",
]
