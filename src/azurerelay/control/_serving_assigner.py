"""Assigns serving sets as hosts come and go."""

from collections.abc import Iterable
from typing import Final

from azurerelay.control._duty_context import DutyContext
from azurerelay.membership import (
    AssignServingSet,
    GroupRecord,
    HostRecord,
    SettleServingSet,
    choose_serving_set,
    weight,
)

UNSETTLED_LIMIT_MS: Final = 3_000.0
GROUPS_PER_CALL: Final = 20


class ServingAssigner:
    """Give each group its serving set; move as little as rendezvous hashing does."""

    def __init__(self, context: DutyContext) -> None:
        self._name = context.name
        self._state = context.state
        self._table = context.table
        self._proposer = context.proposer
        self._timers = context.timers
        self._unsettled: dict[str, tuple[int, float]] = {}
        self._seen: dict[str, tuple[int, int]] = {}
        self._urgent: dict[str, None] = {}
        self._pending: dict[str, None] = {}
        self._hosts_version = -1
        self._known_hosts: dict[str, HostRecord] = {}

    def on_heartbeat(self, groups: Iterable[str]) -> None:
        """Settle the sets of groups that a host no longer reports as unready."""
        for name in groups:
            group = self._state.groups.get(name)
            if group is not None:
                self._settle(group)

    def assign(self) -> None:
        """Propose a new serving set for every group whose choice may have changed.

        A change of hosts concerns the groups that it may enter or has left, and a
        bounded number of groups is looked at in one call.
        """
        changed = self._changed_hosts()
        for group in self._state.groups.values():
            size = self._state.policy(group.name).set_size
            is_new = self._seen.get(group.name) != (group.epoch, size)
            if is_new or any(self._concerns(host, group) for host in changed):
                self._seen[group.name] = (group.epoch, size)
                queue = self._urgent if self._is_broken(group) else self._pending
                queue[group.name] = None
            if group.settled_epoch != group.epoch:
                self._settle(group)
        for name in [*self._urgent, *self._pending][:GROUPS_PER_CALL]:
            self._assign_waiting(name)

    def _assign_waiting(self, name: str) -> None:
        group = self._state.groups[name]
        if not self._proposer.is_pending(_key(group)):
            self._urgent.pop(name, None)
            self._pending.pop(name, None)
            self._assign_group(group, self._state.policy(name).set_size)

    def _is_broken(self, group: GroupRecord) -> bool:
        """Return whether a group has lost a serving host or has none yet."""
        valid = self._state.valid_members(group)
        return not valid or len(valid) < len(group.serving)

    def _changed_hosts(self) -> list[HostRecord]:
        """Return the hosts that came, went or changed since the last call."""
        if self._state.hosts_version == self._hosts_version:
            return []
        self._hosts_version = self._state.hosts_version
        known, current = self._known_hosts, self._state.hosts
        changed = [host for name, host in current.items() if known.get(name) != host]
        changed += [host for name, host in known.items() if name not in current]
        self._known_hosts = dict(current)
        return changed

    def _concerns(self, host: HostRecord, group: GroupRecord) -> bool:
        """Return whether a host is in a group's serving set or may enter it."""
        if host.name in group.serving:
            return True
        if host.is_draining or host.name not in self._state.hosts:
            return False
        members = [self._state.hosts.get(name) for name in group.serving]
        present = [member for member in members if member is not None]
        domains = {member.failure_domain for member in present}
        has_repeated_domain = len(domains) < len(present)
        if len(present) < len(group.serving) or has_repeated_domain:
            return True
        lowest = min((weight(group.name, m.name) for m in present), default=0)
        return weight(group.name, host.name) > lowest

    def _assign_group(self, group: GroupRecord, size: int) -> None:
        chosen = choose_serving_set(group.name, self._state.hosts.values(), size)
        valid = self._state.valid_members(group)
        if not chosen or chosen == valid == group.serving:
            return
        if set(chosen) == set(valid) == set(group.serving):
            return
        gone = [name for name in group.serving if name not in chosen]
        new = [name for name in chosen if name not in valid]
        command = AssignServingSet(
            at_ms=self._timers.wall_ms(),
            actor=self._name,
            group=group.name,
            epoch=group.epoch + 1,
            hosts=chosen,
            reason=f"left: {_listed(gone)}; joined: {_listed(new)}",
        )
        self._proposer.propose_once(_key(group), command)

    def _settle(self, group: GroupRecord) -> None:
        """Settle a set whose majority is complete, or whose sources are lost."""
        if group.settled_epoch == group.epoch:
            return
        ready = [host for host in group.serving if self._is_ready(host, group)]
        is_ready = len(ready) >= len(group.serving) // 2 + 1
        is_lost = not is_ready and self._is_registry_lost(group)
        is_lost = is_lost or (not is_ready and self._is_overdue(group))
        if not is_ready and not is_lost:
            return
        reason = f"the registry is complete on {_listed(ready)}"
        if is_lost:
            left = _listed(self._state.registry_sources(group))
            reason = f"of the registry's holders only these are left: {left}"
        command = SettleServingSet(
            at_ms=self._timers.wall_ms(),
            actor=self._name,
            group=group.name,
            epoch=group.epoch,
            is_registry_lost=is_lost,
            reason=reason,
        )
        self._proposer.propose_once(_key(group), command)

    def _is_overdue(self, group: GroupRecord) -> bool:
        """Return whether a set has stayed incomplete for so long that it will.

        Its sources may be up and yet never have been complete themselves. Giving the
        registry up is safe by then: a host that has not applied this epoch has no
        lease left, and one that has refuses intents of earlier ones.
        """
        now_ms = self._timers.now_ms()
        epoch, since_ms = self._unsettled.get(group.name, (0, 0.0))
        if epoch != group.epoch:
            self._unsettled[group.name] = (group.epoch, now_ms)
            return False
        lease_ms = self._state.settings.root_number("leases.duration_ms")
        return now_ms - since_ms > max(UNSETTLED_LIMIT_MS, 2.0 * lease_ms)

    def _is_ready(self, host: str, group: GroupRecord) -> bool:
        session = self._table.sessions.get(host)
        if session is None or host not in self._state.valid_members(group):
            return False
        has_applied = session.acked_index >= group.set_index
        return has_applied and group.name not in session.unready_groups

    def _is_registry_lost(self, group: GroupRecord) -> bool:
        sources = self._state.registry_sources(group)
        return len(sources) < len(group.settled_serving) // 2 + 1


def _listed(names: Iterable[str]) -> str:
    return ", ".join(names) or "none"


def _key(group: GroupRecord) -> str:
    return f"serving/{group.name}"
