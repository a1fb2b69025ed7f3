"""Commands that change the replicated cluster state.

`at_ms` is the Unix time of the proposal, `actor` who proposed it.
"""

from dataclasses import dataclass
from typing import Final

from azurerelay.membership._records import EndpointRecord, HostRecord
from azurerelay.messages import TaggedCodec
from azurerelay.routes import Configuration
from azurerelay.settings import Assignment


@dataclass(frozen=True, slots=True)
class AdmitHost:
    """Add a host, or record its new process, address or drain state."""

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
    """Add an endpoint, or record its new announcement or presence.

    The endpoint joins its group while that has fewer than `expected` members. The
    command is ignored if the endpoint is already recorded in another group.
    """

    at_ms: int
    actor: str
    endpoint: EndpointRecord
    expected: int
    reason: str


@dataclass(frozen=True, slots=True)
class AssignServingSet:
    """Assign a new serving set to a group; ignored unless its epoch is the next one."""

    at_ms: int
    actor: str
    group: str
    epoch: int
    hosts: tuple[str, ...]
    reason: str


@dataclass(frozen=True, slots=True)
class SettleServingSet:
    """Let the serving set of an epoch accept writes with idempotency keys.

    Proposed once a majority of the set has collected the registry of these keys, or
    once the registry is lost. Ignored unless the epoch is the current one and is not
    settled yet.
    """

    at_ms: int
    actor: str
    group: str
    epoch: int
    is_registry_lost: bool
    reason: str


@dataclass(frozen=True, slots=True)
class BeginTerm:
    """Begin a new term of a group, which ends the old one.

    The group has no primary until one is installed for the new term. Ignored unless
    the term is higher than the current one.
    """

    at_ms: int
    actor: str
    group: str
    term: int
    reason: str


@dataclass(frozen=True, slots=True)
class InstallPrimary:
    """Install the promoted primary of a group.

    Ignored unless the term is the current one and has no primary yet.
    """

    at_ms: int
    actor: str
    group: str
    term: int
    endpoint: str
    reason: str


@dataclass(frozen=True, slots=True)
class HoldWrites:
    """Hold or release the writes of a group; ignored unless the term is current."""

    at_ms: int
    actor: str
    group: str
    term: int
    is_held: bool
    reason: str


@dataclass(frozen=True, slots=True)
class RecordRefusal:
    """Record in the audit trail why no primary was promoted."""

    at_ms: int
    actor: str
    group: str
    reason: str


@dataclass(frozen=True, slots=True)
class ChangeSettings:
    """Change one node of the settings tree.

    Refused as a conflict unless `based_on` is the current settings number. If a
    change with the same `change_id` was accepted before, its outcome is returned and
    nothing changes.
    """

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
    """Record in the audit trail that a promotion is requested, and why."""

    at_ms: int
    actor: str
    group: str
    endpoint: str
    fencing_token: int
    reason: str


@dataclass(frozen=True, slots=True)
class OpenPromotion:
    """Record that the platform may promote an endpoint from now on.

    Applied before the order is sent, so that the next leader knows of it.
    """

    at_ms: int
    actor: str
    group: str
    endpoint: str
    reason: str


@dataclass(frozen=True, slots=True)
class ClosePromotions:
    """Record that the platform will promote none but the `remaining` endpoints.

    Ignored if there are no open promotions of the group.
    """

    at_ms: int
    actor: str
    group: str
    remaining: tuple[str, ...]
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
        OpenPromotion,
        ClosePromotions,
    )
)
