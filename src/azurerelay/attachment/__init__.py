"""Synchronization between entry hosts and the control hosts they are attached to."""

from azurerelay.attachment._configuration_freshness import ConfigurationFreshness
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
from azurerelay.attachment._suspected_primary_report import (
    SuspectedPrimaryReport,
    merge_suspicions,
)

__all__ = [
    "ATTACHMENT_MESSAGES",
    "ConfigurationFreshness",
    "ControlFollower",
    "ControlHost",
    "Detach",
    "DirectoryMark",
    "DirectoryUpdate",
    "EntryHostTable",
    "PrimarySuspicion",
    "ProvenLeader",
    "SuspectedPrimaryReport",
    "SyncReply",
    "SyncRequest",
    "merge_suspicions",
]
