"""Raft consensus: the replicated log of the control hosts.

All I/O goes through the interfaces for links, timers and disks.
"""

from azurerelay.consensus._follower_progress import FollowerProgress
from azurerelay.consensus._journal import Journal, JournalState
from azurerelay.consensus._log import Log
from azurerelay.consensus._messages import (
    CONSENSUS_MESSAGES,
    AppendReply,
    AppendRequest,
    Entry,
    FreshnessProbe,
    FreshnessReply,
    HardState,
    LearnerPromotion,
    SnapshotChunk,
    SnapshotMark,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from azurerelay.consensus._proposal_unconfirmed import ProposalUnconfirmed
from azurerelay.consensus._raft_config import RaftConfig
from azurerelay.consensus._raft_node import RaftNode, Role
from azurerelay.consensus._state_machine import StateMachine

__all__ = [
    "CONSENSUS_MESSAGES",
    "AppendReply",
    "AppendRequest",
    "Entry",
    "FollowerProgress",
    "FreshnessProbe",
    "FreshnessReply",
    "HardState",
    "Journal",
    "JournalState",
    "LearnerPromotion",
    "Log",
    "ProposalUnconfirmed",
    "RaftConfig",
    "RaftNode",
    "Role",
    "SnapshotChunk",
    "SnapshotMark",
    "SnapshotReply",
    "StateMachine",
    "VoteReply",
    "VoteRequest",
]
