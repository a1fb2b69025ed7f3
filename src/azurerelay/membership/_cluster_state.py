"""Replicated cluster state, built by applying committed commands."""

from collections import OrderedDict
from dataclasses import dataclass, replace
from functools import singledispatchmethod
from typing import Any, Final

import msgspec
from result import Err

from azurerelay.membership._audit_record import AuditRecord
from azurerelay.membership._audit_trail import AuditTrail
from azurerelay.membership._change_outcome import ChangeOutcome, ChangeStatus
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
from azurerelay.membership._records import (
    EndpointRecord,
    GroupRecord,
    HostRecord,
    Presence,
)
from azurerelay.routes import Configuration
from azurerelay.settings import GroupPolicy, SettingsTree, TreeNode

MAX_CHANGE_IDS: Final = 2_000


@dataclass(frozen=True, slots=True)
class _AcceptedChange:
    """Id and outcome of an accepted settings change."""

    change_id: str
    outcome: ChangeOutcome


@dataclass(frozen=True, slots=True)
class _OpenPromotions:
    """The endpoints of a group that the platform may still promote."""

    group: str
    endpoints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _StateImage:
    """Cluster state as encoded in snapshots."""

    number: int
    nodes: tuple[TreeNode, ...]
    hosts: tuple[HostRecord, ...]
    endpoints: tuple[EndpointRecord, ...]
    groups: tuple[GroupRecord, ...]
    changes: tuple[_AcceptedChange, ...]
    audit_older: bytes
    audit_recent: tuple[AuditRecord, ...]
    configuration: Configuration | None = None
    open_promotions: tuple[_OpenPromotions, ...] = ()


class ClusterState:
    """Settings, hosts, endpoints, groups and the configuration of routes.

    Commands are applied in log order and deterministically, so that all hosts reach
    the same state. With `keeps_audit`, which only control hosts need, the state also
    keeps the audit trail and the outcomes of accepted settings changes.
    """

    def __init__(self, keeps_audit: bool = True) -> None:
        self._keeps_audit = keeps_audit
        self._settings_number = 0
        self._lease_index = 0
        self._hosts_version = 0
        self._settings = SettingsTree()
        self._hosts: dict[str, HostRecord] = {}
        self._endpoints: dict[str, EndpointRecord] = {}
        self._groups: dict[str, GroupRecord] = {}
        self._outcomes_by_change_id: OrderedDict[str, ChangeOutcome] = OrderedDict()
        self._audit = AuditTrail()
        self._policies: dict[str, GroupPolicy] = {}
        self._configuration: Configuration | None = None
        self._open_promotions: dict[str, tuple[str, ...]] = {}

    @property
    def configuration(self) -> Configuration | None:
        """The routes and groups in force; None before the first configuration."""
        return self._configuration

    @property
    def settings_number(self) -> int:
        """The settings number: the count of accepted settings changes."""
        return self._settings_number

    @property
    def settings(self) -> SettingsTree:
        """The settings tree."""
        return self._settings

    @property
    def lease_index(self) -> int:
        """The log index of the last change of a term or serving set.

        A host gets no new lease until it has applied this index.
        """
        return self._lease_index

    @property
    def hosts_version(self) -> int:
        """A counter that grows whenever a host is admitted, changed or removed."""
        return self._hosts_version

    @property
    def hosts(self) -> dict[str, HostRecord]:
        """Hosts by name; callers must not modify it."""
        return self._hosts

    @property
    def endpoints(self) -> dict[str, EndpointRecord]:
        """Endpoints by name; callers must not modify it."""
        return self._endpoints

    @property
    def groups(self) -> dict[str, GroupRecord]:
        """Groups by name; callers must not modify it."""
        return self._groups

    @property
    def audit(self) -> tuple[AuditRecord, ...]:
        """The audit trail, oldest first."""
        return self._audit.records

    def policy(self, group: str) -> GroupPolicy:
        """Return the settings in force for a group."""
        policy = self._policies.get(group)
        if policy is None:
            policy = GroupPolicy.of(self._settings, group)
            self._policies[group] = policy
        return policy

    def open_promotions(self, group: str) -> tuple[str, ...]:
        """Return the endpoints of a group that the platform may still promote."""
        return self._open_promotions.get(group, ())

    def uninterrupted_members(self, group: GroupRecord) -> tuple[str, ...]:
        """Return the hosts of the serving set that have not restarted or been removed.

        A host that has restarted since the set was assigned has lost its in-memory
        registry of idempotency keys.
        """
        return tuple(
            name for name in group.serving if self._is_uninterrupted_member(group, name)
        )

    def registry_sources(self, group: GroupRecord) -> tuple[str, ...]:
        """Return the hosts of the last settled set that still have its registry.

        They have not restarted or been removed since that set was assigned.
        """
        return tuple(
            name
            for name in group.settled_serving
            if self._was_admitted_before(name, group.settled_index)
        )

    def _is_uninterrupted_member(self, group: GroupRecord, host: str) -> bool:
        return self._was_admitted_before(host, group.set_index)

    def _was_admitted_before(self, host: str, index: int) -> bool:
        """Return whether a host's current process was admitted before a log index."""
        record = self._hosts.get(host)
        return record is not None and record.admitted_index < index

    def group_endpoints(self, group: str) -> tuple[EndpointRecord, ...]:
        """Return the endpoints that are members of a group."""
        record = self._groups.get(group)
        if record is None:
            return ()
        return tuple(self._endpoints[name] for name in record.members)

    def apply(self, index: int, payload: bytes) -> Any:
        """Apply one committed command and return its result.

        A command that cannot be decoded changes nothing; the error is returned.
        """
        decoded = COMMAND_CODEC.decode(payload)
        if isinstance(decoded, Err):
            return decoded
        return self._apply(decoded.ok_value, index)

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return self._encode(self._audit, tuple(self._outcomes_by_change_id.items()))

    def snapshot_for_hosts(self) -> bytes:
        """Return the state without audit trail and change ids, encoded."""
        return self._encode(AuditTrail(), ())

    def restore(self, data: bytes) -> None:
        """Replace the whole state by an encoded snapshot."""
        image = msgspec.msgpack.decode(data, type=_StateImage)
        self._settings_number = image.number
        self._settings = SettingsTree(image.nodes)
        self._hosts = {host.name: host for host in image.hosts}
        self._endpoints = {endpoint.name: endpoint for endpoint in image.endpoints}
        self._groups = {group.name: group for group in image.groups}
        self._lease_index = max(
            (max(g.term_index, g.set_index) for g in image.groups), default=0
        )
        self._hosts_version += 1
        self._outcomes_by_change_id = OrderedDict(
            (c.change_id, c.outcome) for c in image.changes
        )
        self._audit = AuditTrail(image.audit_older, image.audit_recent)
        self._policies = {}
        self._configuration = image.configuration
        self._open_promotions = {o.group: o.endpoints for o in image.open_promotions}

    def _encode(
        self,
        audit: AuditTrail,
        changes: tuple[tuple[str, ChangeOutcome], ...],
    ) -> bytes:
        image = _StateImage(
            self._settings_number,
            self._settings.nodes,
            tuple(self._hosts.values()),
            tuple(self._endpoints.values()),
            tuple(self._groups.values()),
            tuple(_AcceptedChange(*change) for change in changes),
            audit.older,
            audit.recent,
            self._configuration,
            tuple(_OpenPromotions(*item) for item in self._open_promotions.items()),
        )
        return msgspec.msgpack.encode(image)

    @singledispatchmethod
    def _apply(self, command: Any, index: int) -> Any:
        raise TypeError(f"no handler for command {type(command).__name__}")

    @_apply.register
    def _(self, command: AdmitHost, index: int) -> None:
        before = self._hosts.get(command.host.name)
        is_same_process = before and before.incarnation == command.host.incarnation
        admitted_index = before.admitted_index if before and is_same_process else index
        host = replace(command.host, admitted_index=admitted_index)
        if before == host:
            return
        self._hosts[host.name] = host
        self._hosts_version += 1
        self._append_audit_record(
            index,
            command,
            "admit host",
            f"hosts/{command.host.name}",
            _describe_host(before),
            _describe_host(command.host),
            "the host sent a heartbeat",
        )

    @_apply.register
    def _(self, command: RemoveHost, index: int) -> None:
        before = self._hosts.pop(command.name, None)
        if before is not None:
            self._hosts_version += 1
            path = f"hosts/{command.name}"
            self._append_audit_record(
                index,
                command,
                "remove host",
                path,
                _describe_host(before),
                "absent",
                command.reason,
            )

    @_apply.register
    def _(self, command: RecordEndpoint, index: int) -> None:
        endpoint = command.endpoint
        before = self._endpoints.get(endpoint.name)
        if before == endpoint or (before and before.group != endpoint.group):
            return
        self._endpoints[endpoint.name] = endpoint
        self._add_to_group(endpoint, command.expected)
        self._append_audit_record(
            index,
            command,
            "record endpoint",
            f"groups/{endpoint.group}/endpoints/{endpoint.name}",
            _describe_endpoint(before),
            _describe_endpoint(endpoint),
            command.reason,
        )

    @_apply.register
    def _(self, command: AssignServingSet, index: int) -> bool:
        before = self._groups.get(command.group)
        if before is None or command.epoch != before.epoch + 1:
            return False
        self._groups[command.group] = replace(
            before,
            epoch=command.epoch,
            serving=command.hosts,
            set_index=index,
        )
        self._lease_index = index
        self._append_audit_record(
            index,
            command,
            "assign serving set",
            f"groups/{command.group}/serving",
            f"epoch {before.epoch}: {', '.join(before.serving) or 'none'}",
            f"epoch {command.epoch}: {', '.join(command.hosts) or 'none'}",
            command.reason,
        )
        return True

    @_apply.register
    def _(self, command: SettleServingSet, index: int) -> bool:
        before = self._groups.get(command.group)
        if before is None or command.epoch != before.epoch:
            return False
        if before.settled_epoch == command.epoch:
            return False
        lost_ms, lost_epoch = before.registry_lost_ms, before.registry_lost_epoch
        if command.is_registry_lost:
            lost_ms, lost_epoch = command.at_ms, command.epoch
        self._groups[command.group] = replace(
            before,
            settled_epoch=before.epoch,
            settled_serving=before.serving,
            settled_index=before.set_index,
            registry_lost_ms=lost_ms,
            registry_lost_epoch=lost_epoch,
        )
        self._append_audit_record(
            index,
            command,
            "lose registry" if command.is_registry_lost else "settle serving set",
            f"groups/{command.group}/serving",
            f"epoch {before.settled_epoch} settled",
            f"epoch {command.epoch} settled",
            command.reason,
        )
        return True

    @_apply.register
    def _(self, command: BeginTerm, index: int) -> bool:
        before = self._groups.get(command.group)
        if before is None or command.term <= before.term:
            return False
        self._groups[command.group] = replace(
            before, term=command.term, primary=None, term_index=index, is_held=False
        )
        self._lease_index = index
        self._append_audit_record(
            index,
            command,
            "begin term",
            f"groups/{command.group}/primary",
            f"term {before.term}: {before.primary or 'none'}",
            f"term {command.term}: none",
            command.reason,
        )
        return True

    @_apply.register
    def _(self, command: InstallPrimary, index: int) -> bool:
        before = self._groups.get(command.group)
        if before is None or command.term != before.term or before.primary:
            return False
        self._groups[command.group] = replace(before, primary=command.endpoint)
        self._append_audit_record(
            index,
            command,
            "install primary",
            f"groups/{command.group}/primary",
            f"term {before.term}: none",
            f"term {command.term}: {command.endpoint}",
            command.reason,
        )
        return True

    @_apply.register
    def _(self, command: HoldWrites, index: int) -> bool:
        before = self._groups.get(command.group)
        if before is None or command.term != before.term:
            return False
        if before.is_held == command.is_held:
            return True
        self._groups[command.group] = replace(
            before, is_held=command.is_held, hold_index=index
        )
        self._append_audit_record(
            index,
            command,
            "hold writes" if command.is_held else "release writes",
            f"groups/{command.group}/primary",
            f"term {before.term}: {before.primary or 'none'}",
            f"term {before.term}: {before.primary or 'none'}",
            command.reason,
        )
        return True

    @_apply.register
    def _(self, command: RecordRefusal, index: int) -> None:
        group = self._groups.get(command.group)
        now = f"term {group.term}: {group.primary or 'none'}" if group else "absent"
        path = f"groups/{command.group}/primary"
        self._append_audit_record(
            index, command, "refuse promotion", path, now, now, command.reason
        )

    @_apply.register
    def _(self, command: ReplaceConfiguration, index: int) -> bool:
        before = self._configuration
        if before is not None and command.configuration.version <= before.version:
            return False
        self._configuration = command.configuration
        self._append_audit_record(
            index,
            command,
            "replace configuration",
            "configuration",
            f"version {before.version}" if before else "absent",
            f"version {command.configuration.version}",
            f"{len(command.configuration.routes)} routes",
        )
        return True

    @_apply.register
    def _(self, command: RecordPromotion, index: int) -> None:
        self._append_audit_record(
            index,
            command,
            "ask for promotion",
            f"groups/{command.group}/primary",
            "",
            f"{command.endpoint} under token {command.fencing_token}",
            command.reason,
        )

    @_apply.register
    def _(self, command: OpenPromotion, index: int) -> None:
        before = self.open_promotions(command.group)
        if command.endpoint not in before:
            self._set_open_promotions(
                command, index, "open promotion", (*before, command.endpoint)
            )

    @_apply.register
    def _(self, command: ClosePromotions, index: int) -> None:
        before = self.open_promotions(command.group)
        remaining = tuple(name for name in before if name in command.remaining)
        if remaining != before:
            self._set_open_promotions(command, index, "close promotion", remaining)

    def _set_open_promotions(
        self,
        command: OpenPromotion | ClosePromotions,
        index: int,
        action: str,
        endpoints: tuple[str, ...],
    ) -> None:
        group = command.group
        before = self._open_promotions.pop(group, ())
        if endpoints:
            self._open_promotions[group] = endpoints
        self._append_audit_record(
            index,
            command,
            action,
            f"groups/{group}/primary",
            ", ".join(before) or "none",
            ", ".join(endpoints) or "none",
            command.reason,
        )

    @_apply.register
    def _(self, command: ChangeSettings, index: int) -> ChangeOutcome:
        known = self._outcomes_by_change_id.get(command.change_id)
        if known is not None:
            return known
        if command.based_on != self._settings_number:
            return ChangeOutcome(ChangeStatus.CONFLICT, self._settings_number)
        findings = self._settings.check(
            command.path, command.assignments, command.unset
        )
        if findings:
            return ChangeOutcome(
                ChangeStatus.INVALID, self._settings_number, 0, findings
            )
        return self._accept_settings_change(command, index)

    def _accept_settings_change(
        self, command: ChangeSettings, index: int
    ) -> ChangeOutcome:
        self._audit_settings_change(command, index)
        self._settings.apply(command.path, command.assignments, command.unset)
        self._policies.clear()
        self._settings_number += 1
        outcome = ChangeOutcome(ChangeStatus.ACCEPTED, self._settings_number, index)
        if self._keeps_audit:
            self._outcomes_by_change_id[command.change_id] = outcome
            while len(self._outcomes_by_change_id) > MAX_CHANGE_IDS:
                self._outcomes_by_change_id.popitem(last=False)
        return outcome

    def _audit_settings_change(self, command: ChangeSettings, index: int) -> None:
        keys = [a.key for a in command.assignments] + list(command.unset)
        after_values = {a.key: a.value for a in command.assignments}
        before = ", ".join(
            f"{key}={self._settings.own_value(command.path, key)}" for key in keys
        )
        after = ", ".join(f"{key}={after_values.get(key)}" for key in keys)
        self._append_audit_record(
            index,
            command,
            f"change settings to number {self._settings_number + 1}",
            command.path,
            before,
            after,
            command.reason,
        )

    def _add_to_group(self, endpoint: EndpointRecord, expected: int) -> None:
        """Add an endpoint to its group unless that has `expected` members already."""
        group = self._groups.get(endpoint.group, GroupRecord(endpoint.group))
        if endpoint.name not in group.members and len(group.members) < expected:
            group = replace(group, members=(*group.members, endpoint.name))
        self._groups[endpoint.group] = group

    def _append_audit_record(
        self,
        index: int,
        command: Any,
        action: str,
        path: str,
        before: str,
        after: str,
        reason: str,
    ) -> None:
        if not self._keeps_audit:
            return
        self._audit.append(
            AuditRecord(
                index,
                command.at_ms,
                command.actor,
                action,
                path,
                before,
                after,
                reason,
            )
        )


def _describe_host(host: HostRecord | None) -> str:
    if host is None:
        return "absent"
    state = "draining" if host.is_draining else "serving"
    return f"{state} at {host.address} in {host.failure_domain}"


def _describe_endpoint(endpoint: EndpointRecord | None) -> str:
    if endpoint is None:
        return "absent"
    presence = Presence(endpoint.presence).value
    return f"{presence} at {endpoint.address} in {endpoint.failure_domain}"
