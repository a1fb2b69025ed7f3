"""Assigns serving sets and marks them as settled."""

from collections.abc import Iterable
from typing import Final

from azurerelay.control._leader_context import LeaderContext
from azurerelay.membership import (
    AssignServingSet,
    GroupRecord,
    HostRecord,
    SettleServingSet,
    choose_serving_set,
    rendezvous_weight,
)

MIN_UNSETTLED_TIMEOUT_MS: Final = 3_000.0
MAX_GROUPS_PER_CALL: Final = 20


class ServingAssigner:
    """Assign each group its serving set by rendezvous hashing.

    A change of hosts therefore moves few groups. A new serving set is settled, and
    then takes keyed writes, once a majority of it has a complete registry of
    idempotency keys.
    """

    def __init__(self, context: LeaderContext) -> None:
        self._name = context.name
        self._state = context.state
        self._table = context.table
        self._proposer = context.proposer
        self._timers = context.timers
        self._unsettled_since: dict[str, tuple[int, float]] = {}
        self._checked: dict[str, tuple[int, int]] = {}
        self._urgent_groups: dict[str, None] = {}
        self._pending_groups: dict[str, None] = {}
        self._hosts_version = -1
        self._known_hosts: dict[str, HostRecord] = {}

    def on_heartbeat(self, groups: Iterable[str]) -> None:
        """Settle the serving sets of these groups where that is possible now.

        `groups` are those that the sender reported as unready before this heartbeat.
        """
        for name in groups:
            group = self._state.groups.get(name)
            if group is not None:
                self._settle(group)

    def assign(self) -> None:
        """Propose new serving sets for groups whose set may have changed.

        These are groups with a new epoch or set size, and groups whose set a changed
        host belongs to or may join. One call handles at most `MAX_GROUPS_PER_CALL`
        of them, those that have lost a serving host first; the rest stay queued.
        """
        changed = self._changed_hosts()
        for group in self._state.groups.values():
            size = self._state.policy(group.name).set_size
            is_new = self._checked.get(group.name) != (group.epoch, size)
            if is_new or any(self._may_affect(host, group) for host in changed):
                self._checked[group.name] = (group.epoch, size)
                queue = (
                    self._urgent_groups
                    if self._is_degraded(group)
                    else self._pending_groups
                )
                queue[group.name] = None
            if group.settled_epoch != group.epoch:
                self._settle(group)
        for name in [*self._urgent_groups, *self._pending_groups][:MAX_GROUPS_PER_CALL]:
            self._assign_queued(name)

    def _assign_queued(self, name: str) -> None:
        """Reassign a queued group; it stays queued while a proposal is pending."""
        group = self._state.groups[name]
        if not self._proposer.is_pending(_proposal_key(group)):
            self._urgent_groups.pop(name, None)
            self._pending_groups.pop(name, None)
            self._assign_group(group, self._state.policy(name).set_size)

    def _is_degraded(self, group: GroupRecord) -> bool:
        """Return whether a group has lost a serving host or has none."""
        uninterrupted = self._state.uninterrupted_members(group)
        return not uninterrupted or len(uninterrupted) < len(group.serving)

    def _changed_hosts(self) -> list[HostRecord]:
        """Return the hosts added, removed or changed since the last call."""
        if self._state.hosts_version == self._hosts_version:
            return []
        self._hosts_version = self._state.hosts_version
        known, current = self._known_hosts, self._state.hosts
        changed = [host for name, host in current.items() if known.get(name) != host]
        changed += [host for name, host in known.items() if name not in current]
        self._known_hosts = dict(current)
        return changed

    def _may_affect(self, host: HostRecord, group: GroupRecord) -> bool:
        """Return whether a host is in a group's serving set or may join it.

        It may join if the set is incomplete, if two members share a failure domain,
        or if its rendezvous weight exceeds the lowest of the members.
        """
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
        lowest_weight = min(
            (rendezvous_weight(group.name, member.name) for member in present),
            default=0,
        )
        return rendezvous_weight(group.name, host.name) > lowest_weight

    def _assign_group(self, group: GroupRecord, size: int) -> None:
        chosen = choose_serving_set(group.name, self._state.hosts.values(), size)
        uninterrupted = self._state.uninterrupted_members(group)
        if not chosen or chosen == uninterrupted == group.serving:
            return
        if set(chosen) == set(uninterrupted) == set(group.serving):
            return
        removed = [name for name in group.serving if name not in chosen]
        added = [name for name in chosen if name not in uninterrupted]
        command = AssignServingSet(
            at_ms=self._timers.wall_clock_ms(),
            actor=self._name,
            group=group.name,
            epoch=group.epoch + 1,
            hosts=chosen,
            reason=f"left: {_join_names(removed)}; joined: {_join_names(added)}",
        )
        self._proposer.propose_once(_proposal_key(group), command)

    def _settle(self, group: GroupRecord) -> None:
        """Propose to settle a serving set if it can be settled now.

        That is if the registry is complete on a majority of its hosts, or if it is
        lost: too few hosts of the settled set still have it, or the set has been
        incomplete for too long.
        """
        if group.settled_epoch == group.epoch:
            return
        ready = [host for host in group.serving if self._is_ready(host, group)]
        is_ready = len(ready) >= len(group.serving) // 2 + 1
        is_lost = not is_ready and self._is_registry_lost(group)
        is_lost = is_lost or (not is_ready and self._is_overdue(group))
        if not is_ready and not is_lost:
            return
        reason = f"the registry is complete on {_join_names(ready)}"
        if is_lost:
            sources = _join_names(self._state.registry_sources(group))
            reason = f"of the registry's holders only these are left: {sources}"
        command = SettleServingSet(
            at_ms=self._timers.wall_clock_ms(),
            actor=self._name,
            group=group.name,
            epoch=group.epoch,
            is_registry_lost=is_lost,
            reason=reason,
        )
        self._proposer.propose_once(_proposal_key(group), command)

    def _is_overdue(self, group: GroupRecord) -> bool:
        """Return whether a set has been unsettled for too long to wait further.

        The hosts that it collects the registry from may be up and yet never have had
        a complete registry themselves. By then it is safe to declare the registry
        lost: a host that has not applied this epoch holds no lease any more, and a
        host that has applied it refuses intents of earlier epochs.
        """
        now_ms = self._timers.now_ms()
        epoch, since_ms = self._unsettled_since.get(group.name, (0, 0.0))
        if epoch != group.epoch:
            self._unsettled_since[group.name] = (group.epoch, now_ms)
            return False
        lease_ms = self._state.settings.root_number("leases.duration_ms")
        return now_ms - since_ms > max(MIN_UNSETTLED_TIMEOUT_MS, 2.0 * lease_ms)

    def _is_ready(self, host: str, group: GroupRecord) -> bool:
        """Return whether a serving host reports the group's registry as complete."""
        session = self._table.sessions.get(host)
        if session is None or host not in self._state.uninterrupted_members(group):
            return False
        has_applied = session.acked_index >= group.set_index
        return has_applied and group.name not in session.unready_groups

    def _is_registry_lost(self, group: GroupRecord) -> bool:
        """Return whether the settled set has lost the registry.

        That is if fewer than a majority of its hosts have kept their memory.
        """
        sources = self._state.registry_sources(group)
        return len(sources) < len(group.settled_serving) // 2 + 1


def _join_names(names: Iterable[str]) -> str:
    return ", ".join(names) or "none"


def _proposal_key(group: GroupRecord) -> str:
    return f"serving/{group.name}"
