"""Assigns serving sets as hosts come and go."""

from azurerelay.control._proposer import Proposer
from azurerelay.membership import (
    AssignServingSet,
    ClusterState,
    GroupRecord,
    HostTable,
    choose_serving_set,
)
from azurerelay.timing import TimerService

UNREADY_LIMIT_MS = 3_000.0


class ServingAssigner:
    """Give each group its serving set; move as little as rendezvous hashing does."""

    def __init__(
        self,
        name: str,
        state: ClusterState,
        table: HostTable,
        proposer: Proposer,
        timers: TimerService,
    ) -> None:
        self._name = name
        self._state = state
        self._table = table
        self._proposer = proposer
        self._timers = timers
        self._seen: dict[str, tuple[object, ...]] = {}
        self._unready_since_ms: dict[str, float] = {}

    def assign(self) -> None:
        """Propose a new serving set for every group whose choice has changed."""
        hosts = self._state.hosts_version
        for group in list(self._state.groups.values()):
            size = self._state.policy(group.name).set_size
            basis = (hosts, group.epoch, size)
            if self._seen.get(group.name) != basis:
                self._assign_group(group, size)
                if not self._proposer.is_pending(_key(group)):
                    self._seen[group.name] = basis
            self._check_unready(group)

    def _assign_group(self, group: GroupRecord, size: int) -> None:
        chosen = choose_serving_set(group.name, self._state.hosts.values(), size)
        valid = self._state.valid_members(group)
        if not chosen or chosen == valid == group.serving:
            return
        if set(chosen) == set(valid) == set(group.serving):
            return
        alive = [name for name in valid if name in self._state.hosts]
        is_lost = bool(group.serving) and len(alive) < len(group.serving) // 2 + 1
        gone = [name for name in group.serving if name not in chosen]
        new = [name for name in chosen if name not in valid]
        reason = f"left: {', '.join(gone) or 'none'}; joined: {', '.join(new)}"
        self._propose(group, chosen, is_lost, reason)

    def _check_unready(self, group: GroupRecord) -> None:
        """Give up a registry whose previous holders cannot come back."""
        now_ms = self._timers.now_ms()
        if not self._is_stuck(group):
            self._unready_since_ms.pop(group.name, None)
            return
        since_ms = self._unready_since_ms.setdefault(group.name, now_ms)
        if now_ms - since_ms > UNREADY_LIMIT_MS:
            del self._unready_since_ms[group.name]
            reason = "the previous serving set's registry is lost"
            self._propose(group, group.serving, True, reason)

    def _is_stuck(self, group: GroupRecord) -> bool:
        unready = [
            host for host in group.serving if group.name in self._unready_groups(host)
        ]
        if not unready:
            return False
        sources = [host for host in group.previous_serving if self._is_source(host)]
        return len(sources) < len(group.previous_serving) // 2 + 1

    def _unready_groups(self, host: str) -> frozenset[str]:
        session = self._table.sessions.get(host)
        return session.unready_groups if session else frozenset()

    def _is_source(self, host: str) -> bool:
        return host in self._state.hosts

    def _propose(
        self, group: GroupRecord, hosts: tuple[str, ...], is_lost: bool, reason: str
    ) -> None:
        command = AssignServingSet(
            at_ms=self._timers.wall_ms(),
            actor=self._name,
            group=group.name,
            epoch=group.epoch + 1,
            hosts=hosts,
            is_registry_lost=is_lost,
            reason=reason,
        )
        self._proposer.propose_once(_key(group), command)


def _key(group: GroupRecord) -> str:
    return f"serving/{group.name}"
