"""Replicated cluster state: hosts, endpoints, groups, serving sets and settings."""

from azurerelay.membership._audit_record import AuditRecord
from azurerelay.membership._change_outcome import ChangeOutcome, ChangeStatus
from azurerelay.membership._cluster_state import ClusterState
from azurerelay.membership._commands import (
    COMMAND_CODEC,
    AdmitHost,
    AssignServingSet,
    BeginTerm,
    ChangeSettings,
    ClosePromotions,
    HoldWrites,
    InstallPrimary,
    OpenPromotion,
    RecordEndpoint,
    RecordPromotion,
    RecordRefusal,
    RemoveHost,
    ReplaceConfiguration,
    SettleServingSet,
)
from azurerelay.membership._control_session import ControlSession, HostIdentity
from azurerelay.membership._host_table import HostSession, HostTable
from azurerelay.membership._link_messages import (
    CONTROL_MESSAGES,
    EndpointAnnouncement,
    HeartbeatReply,
    HostHeartbeat,
    RelayedHeartbeats,
    RelayedReplies,
    StateDelta,
    StateSnapshot,
    Suspicion,
)
from azurerelay.membership._records import (
    EndpointRecord,
    GroupRecord,
    HostRecord,
    Presence,
)
from azurerelay.membership._serving_assignment import (
    choose_serving_set,
    rendezvous_weight,
)

__all__ = [
    "COMMAND_CODEC",
    "CONTROL_MESSAGES",
    "AdmitHost",
    "AssignServingSet",
    "AuditRecord",
    "BeginTerm",
    "ChangeOutcome",
    "ChangeSettings",
    "ChangeStatus",
    "ClosePromotions",
    "ClusterState",
    "ControlSession",
    "EndpointAnnouncement",
    "EndpointRecord",
    "GroupRecord",
    "HeartbeatReply",
    "HoldWrites",
    "HostHeartbeat",
    "HostIdentity",
    "HostRecord",
    "HostSession",
    "HostTable",
    "InstallPrimary",
    "OpenPromotion",
    "Presence",
    "RecordEndpoint",
    "RecordPromotion",
    "RecordRefusal",
    "RelayedHeartbeats",
    "RelayedReplies",
    "RemoveHost",
    "ReplaceConfiguration",
    "SettleServingSet",
    "StateDelta",
    "StateSnapshot",
    "Suspicion",
    "choose_serving_set",
    "rendezvous_weight",
]
