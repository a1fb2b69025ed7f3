"""Scheduled faults."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial

from azurerelay.embedded import EmbeddedSystem
from azurerelay.endpoints import KnobsCall
from azurerelay.experiments._checker import FreezeInterval
from azurerelay.timing import TimerService


class FaultKind(Enum):
    """The kinds of faults; each is undone after the duration of the fault."""

    KILL_PRIMARY = "kill primary"
    ISOLATE_PRIMARY = "isolate primary"
    CUT_REPLICATION = "cut replication"
    LAG_REPLICA = "lag replica"
    KILL_REPLICA = "kill replica"
    KILL_ENTRY = "kill entry host"
    ISOLATE_ENTRY = "isolate entry host"
    KILL_CONTROL = "kill control host"
    ISOLATE_CONTROL = "isolate control host"
    KILL_LEADER = "kill control leader"
    LOSE_DISK = "lose the disk of control host"
    FREEZE_ENTRY = "freeze entry host"
    FREEZE_CONTROL = "freeze control host"
    LEAVE_PRIMARY = "primary leaves"
    LOSE_MESSAGES = "lose messages"
    SLOW_PROBES = "slow probes"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault to inject.

    `at_ms` counts from the start of the plan. `target_index` selects the target among
    the candidates, modulo their number.
    """

    at_ms: float
    kind: FaultKind
    duration_ms: float
    target_index: int = 0


@dataclass(slots=True)
class _ActiveFault:
    """A fault that is in effect, and how many faults of the plan ask for it."""

    undo: Callable[[], object]
    holders: int = 0


class FaultPlan:
    """Inject faults into an embedded system and undo each after its duration.

    Of faults of one kind on one target that overlap, the last to end is undone.
    """

    def __init__(
        self, system: EmbeddedSystem, timers: TimerService, faults: tuple[Fault, ...]
    ) -> None:
        self._system = system
        self._timers = timers
        self._faults = faults
        self._log: list[tuple[float, str]] = []
        self._freeze_intervals: list[FreezeInterval] = []
        self._active: dict[tuple[FaultKind, str], _ActiveFault] = {}

    @property
    def log(self) -> tuple[tuple[float, str], ...]:
        """The times in milliseconds and texts of faults that began or ended.

        Faults that found no target are left out, and so are ends by `end_all`.
        """
        return tuple(self._log)

    @property
    def freeze_intervals(self) -> tuple[FreezeInterval, ...]:
        """The intervals in which hosts were frozen, recorded when they end."""
        return tuple(self._freeze_intervals)

    def start(self) -> None:
        """Schedule all faults from now on."""
        for fault in self._faults:
            self._timers.call_later(fault.at_ms, partial(self._start_fault, fault))

    def end_all(self) -> None:
        """Undo all faults that are still active."""
        active = list(self._active.values())
        self._active.clear()
        for fault in active:
            fault.undo()

    def _start_fault(self, fault: Fault) -> None:
        applied = self._apply(fault)
        if applied is None:
            return
        target, undo = applied
        self._log.append((self._timers.now_ms(), f"{fault.kind.value}: {target}"))
        key = (fault.kind, target)
        active = self._active.setdefault(key, _ActiveFault(undo))
        active.holders += 1
        self._timers.call_later(fault.duration_ms, partial(self._release, key, active))

    def _release(self, key: tuple[FaultKind, str], active: _ActiveFault) -> None:
        """End one fault of the plan; undo it unless others still ask for it."""
        active.holders -= 1
        if active.holders or self._active.get(key) is not active:
            return
        del self._active[key]
        active.undo()
        self._log.append((self._timers.now_ms(), f"end of {key[1]}"))

    def _apply(self, fault: Fault) -> tuple[str, Callable[[], object]] | None:
        match fault.kind:
            case FaultKind.KILL_PRIMARY | FaultKind.KILL_REPLICA:
                return self._kill_endpoint(self._choose_endpoint(fault))
            case FaultKind.ISOLATE_PRIMARY:
                return self._set_knob(fault, "is_isolated", True, False)
            case FaultKind.CUT_REPLICATION:
                return self._cut_replication(fault)
            case FaultKind.LAG_REPLICA:
                lag_ms = self._system.shape.lag_ms
                return self._set_knob(fault, "lag_ms", 3_600_000.0, lag_ms)
            case FaultKind.SLOW_PROBES:
                return self._set_knob(fault, "status_delay_ms", 150.0, 0.0)
            case FaultKind.KILL_ENTRY:
                return self._kill_entry(fault)
            case FaultKind.ISOLATE_ENTRY:
                names = sorted(self._system.entries)
                return self._isolate(names, fault)
            case FaultKind.KILL_CONTROL | FaultKind.KILL_LEADER:
                return self._kill_control(fault)
            case FaultKind.LOSE_DISK:
                return self._lose_disk(fault)
            case FaultKind.FREEZE_ENTRY:
                return self._freeze(sorted(self._system.entries), fault)
            case FaultKind.FREEZE_CONTROL:
                return self._freeze(sorted(self._system.controls), fault)
            case FaultKind.LEAVE_PRIMARY:
                return self._set_knob(fault, "is_leaving", True, False)
            case FaultKind.ISOLATE_CONTROL:
                return self._isolate(sorted(self._system.controls), fault)
            case FaultKind.LOSE_MESSAGES:
                self._system.network.set_loss(0.05)
                return "5 % of messages", lambda: self._system.network.set_loss(0.0)

    def _choose_endpoint(self, fault: Fault) -> str | None:
        groups = self._system.shape.groups
        group = groups[fault.target_index % len(groups)]
        primary = self._system.primary(group)
        targets_primary = fault.kind in (
            FaultKind.KILL_PRIMARY,
            FaultKind.ISOLATE_PRIMARY,
            FaultKind.CUT_REPLICATION,
            FaultKind.SLOW_PROBES,
            FaultKind.LEAVE_PRIMARY,
        )
        if targets_primary or primary is None:
            return primary
        names = [n for n in self._system.standins if n.startswith(f"{group}-")]
        others = sorted(set(names) - {primary})
        return others[fault.target_index % len(others)]

    def _kill_endpoint(
        self, name: str | None
    ) -> tuple[str, Callable[[], object]] | None:
        if name is None or not self._system.is_endpoint_up(name):
            return None
        self._system.kill_endpoint(name)
        return name, lambda: self._system.restart_endpoint(name)

    def _set_knob(
        self, fault: Fault, knob: str, value: object, restored: object
    ) -> tuple[str, Callable[[], object]] | None:
        name = self._choose_endpoint(fault)
        if name is None:
            return None
        standin = self._system.standins[name]
        standin.request(KnobsCall(**{knob: value}))  # type: ignore[arg-type]
        undo = KnobsCall(**{knob: restored})  # type: ignore[arg-type]
        return name, lambda: standin.request(undo)

    def _cut_replication(self, fault: Fault) -> tuple[str, Callable[[], object]] | None:
        name = self._choose_endpoint(fault)
        if name is None:
            return None
        group = self._system.standins[name].config.group
        others = [
            standin.config.address
            for standin in self._system.standins.values()
            if standin.config.group == group and standin.config.name != name
        ]
        address = self._system.standins[name].config.address
        for other in others:
            self._system.network.cut(address, other)
        return name, lambda: self._system.network.heal(address)

    def _kill_entry(self, fault: Fault) -> tuple[str, Callable[[], object]] | None:
        names = sorted(self._system.entries)
        if len(names) < 2:
            return None
        name = names[fault.target_index % len(names)]
        self._system.kill_entry(name)
        return name, lambda: self._system.start_entry(name)

    def _kill_control(self, fault: Fault) -> tuple[str, Callable[[], object]] | None:
        names = sorted(self._system.controls)
        if not names:
            return None
        name = names[fault.target_index % len(names)]
        leader = self._system.leader
        if fault.kind is FaultKind.KILL_LEADER and leader is not None:
            name = leader.name
        self._system.kill_control(name)
        return name, lambda: self._system.start_control(name)

    def _lose_disk(self, fault: Fault) -> tuple[str, Callable[[], object]] | None:
        """Lose one disk if all control hosts are running and none is a learner."""
        controls = self._system.controls
        are_all_running = len(controls) == self._system.shape.control_hosts
        if not are_all_running or any(
            node.raft.is_learner for node in controls.values()
        ):
            return None
        applied = self._kill_control(fault)
        if applied is not None:
            self._system.lose_disk(applied[0])
        return applied

    def _freeze(
        self, names: list[str], fault: Fault
    ) -> tuple[str, Callable[[], object]] | None:
        if not names:
            return None
        name = names[fault.target_index % len(names)]
        started_ms = self._timers.now_ms()
        self._system.freeze(name)

        def thaw() -> None:
            self._freeze_intervals.append(
                FreezeInterval(started_ms, self._timers.now_ms())
            )
            self._system.thaw(name)

        return name, thaw

    def _isolate(
        self, names: list[str], fault: Fault
    ) -> tuple[str, Callable[[], object]] | None:
        if not names:
            return None
        name = names[fault.target_index % len(names)]
        self._system.network.isolate(name)
        return name, lambda: self._system.network.heal(name)


def random_faults(
    random_source: random.Random, duration_ms: float, count: int
) -> tuple[Fault, ...]:
    """Return faults of random kinds, times and durations; they may overlap."""
    kinds = list(FaultKind)
    return tuple(
        Fault(
            at_ms=random_source.uniform(0.05, 0.8) * duration_ms,
            kind=random_source.choice(kinds),
            duration_ms=random_source.choice((300.0, 1_500.0, 4_000.0)),
            target_index=random_source.randrange(1_000),
        )
        for _ in range(count)
    )
