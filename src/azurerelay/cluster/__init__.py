"""The control cluster: its membership, its replicated state and failover."""

from azurerelay.cluster._cluster_config import ClusterConfig
from azurerelay.cluster._cluster_node import (
    CONTROL_LINK_CODEC,
    RAFT_CONFIG,
    ClusterNode,
    OrderOutcome,
)
from azurerelay.cluster._messages import CLUSTER_MESSAGES
from azurerelay.cluster._primary_contact import PrimaryContact
from azurerelay.cluster._promotion_controller import PromotionController
from azurerelay.cluster._promotion_policy import (
    CommitHolders,
    GroupHealth,
    Suspicions,
    candidates,
    commit_holders,
    most_advanced,
    promotion_reason,
    required_answers,
)
from azurerelay.cluster._voter_plan import MAX_VOTERS, host_address, next_voters
from azurerelay.cluster._voter_set_controller import VoterSetController

__all__ = [
    "CLUSTER_MESSAGES",
    "CONTROL_LINK_CODEC",
    "MAX_VOTERS",
    "RAFT_CONFIG",
    "ClusterConfig",
    "ClusterNode",
    "CommitHolders",
    "GroupHealth",
    "OrderOutcome",
    "PrimaryContact",
    "PromotionController",
    "Suspicions",
    "VoterSetController",
    "candidates",
    "commit_holders",
    "host_address",
    "most_advanced",
    "next_voters",
    "promotion_reason",
    "required_answers",
]
