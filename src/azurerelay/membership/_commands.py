"""Commands of the replicated cluster state."""

from dataclasses import dataclass
from typing import Final

from azurerelay.membership._records import EndpointRecord, HostRecord
from azurerelay.messages import TaggedCodec
from azurerelay.routes import Configuration
from azurerelay.settings import Assignment


@dataclass(frozen=True, slots=True)
class AdmitHost:
    """Add a host, or record its new address or drain mark."""

    at_ms: int
    actor: str
    host: HostRecord


@dataclass(frozen=True, slots=True)
class RemoveHost:
    """Remove a host whose leases have all expired."""

    at_ms: int
    actor: str
    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class RecordEndpoint:
    """Add an endpoint or record its new announcement or presence."""

    at_ms: int
    actor: str
    endpoint: EndpointRecord
    expected: int
    reason: str


@dataclass(frozen=True, slots=True)
class AssignServingSet:
    """Give a group a new serving set; ignored unless the epoch is the next."""

    at_ms: int
    actor: str
    group: str
    epoch: int
    hosts: tuple[str, ...]
    reason: str


@dataclass(frozen=True, slots=True)
class SettleServingSet:
    """Let the serving set of an epoch take keyed writes.

    A majority of it has collected the registry, or the registry is lost.
    """

    at_ms: int
    actor: str
    group: str
    epoch: int
    is_registry_lost: bool
    reason: str


@dataclass(frozen=True, slots=True)
class BeginTerm:
    """End a group's term: no primary until one is installed for the new term."""

    at_ms: int
    actor: str
    group: str
    term: int
    reason: str


@dataclass(frozen=True, slots=True)
class InstallPrimary:
    """Name the promoted primary; ignored unless the term is the current one."""

    at_ms: int
    actor: str
    group: str
    term: int
    endpoint: str
    reason: str


@dataclass(frozen=True, slots=True)
class HoldWrites:
    """Hold a group's writes, or let them go on, within one term."""

    at_ms: int
    actor: str
    group: str
    term: int
    is_held: bool
    reason: str


@dataclass(frozen=True, slots=True)
class RecordRefusal:
    """Note in the audit trail why no primary was promoted."""

    at_ms: int
    actor: str
    group: str
    reason: str


@dataclass(frozen=True, slots=True)
class ChangeSettings:
    """Change one node of the settings tree, based on a settings number."""

    at_ms: int
    actor: str
    change_id: str
    based_on: int
    reason: str
    path: str
    assignments: tuple[Assignment, ...]
    unset: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """Replace all routes and groups; ignored unless the version is higher."""

    at_ms: int
    actor: str
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class RecordPromotion:
    """Note in the audit trail that a promotion is asked for, and why."""

    at_ms: int
    actor: str
    group: str
    endpoint: str
    fencing_token: int
    reason: str


COMMAND_CODEC: Final = TaggedCodec(
    (
        AdmitHost,
        RemoveHost,
        RecordEndpoint,
        AssignServingSet,
        SettleServingSet,
        BeginTerm,
        InstallPrimary,
        HoldWrites,
        RecordRefusal,
        ChangeSettings,
        ReplaceConfiguration,
        RecordPromotion,
    )
)
