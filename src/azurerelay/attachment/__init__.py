"""Synchronization between entry hosts and the control hosts they are attached to."""

from azurerelay.attachment._control_follower import ControlFollower
from azurerelay.attachment._entry_host_table import EntryHostTable
from azurerelay.attachment._messages import (
    ATTACHMENT_MESSAGES,
    ControlHost,
    Detach,
    DirectoryMark,
    DirectoryUpdate,
    PrimarySuspicion,
    ProvenLeader,
    SyncReply,
    SyncRequest,
)

__all__ = [
    "ATTACHMENT_MESSAGES",
    "ControlFollower",
    "ControlHost",
    "Detach",
    "DirectoryMark",
    "DirectoryUpdate",
    "EntryHostTable",
    "PrimarySuspicion",
    "ProvenLeader",
    "SyncReply",
    "SyncRequest",
]
