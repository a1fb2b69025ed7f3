"""Size and processing time of the cluster state for fleets of a given size.

Runs in memory without a network: builds the cluster state from its own commands, then
measures the leader's periodic work, snapshots and the removal of a host.
bench/capacity.py calls this with growing sizes, up to the target size.
"""

import time
import tracemalloc
from typing import Any

from azurerelay.control import LeaderController
from azurerelay.membership import (
    COMMAND_CODEC,
    AdmitHost,
    AssignServingSet,
    BeginTerm,
    ChangeSettings,
    ClusterState,
    EndpointAnnouncement,
    EndpointRecord,
    HostHeartbeat,
    HostRecord,
    InstallPrimary,
    RecordEndpoint,
    RemoveHost,
    SettleServingSet,
    choose_serving_set,
)
from azurerelay.settings import Assignment
from azurerelay.timing import ManualTimerService, Promise

TICK_ROUNDS = 8
WARM_UP_S = 12
ROUNDS = 5


class StubRaft:
    """A Raft stub that commits nothing, so that only decisions are measured."""

    leading_since_ms = 0.0

    def confirm_leadership(self, is_urgent: bool = True) -> Promise[bool]:
        """Return a promise that is already resolved to True."""
        return Promise.of(True)

    def propose(self, payload: bytes) -> Promise[Any]:
        """Return a promise that never resolves."""
        return Promise()


class StubPort:
    """An endpoint port that is never called."""


def build_state(hosts: int, groups: int) -> ClusterState:
    """Return the state of a fleet, built by applying the commands of its log."""
    state = ClusterState()
    index = 0

    def apply(command: Any) -> None:
        nonlocal index
        index += 1
        state.apply(index, COMMAND_CODEC.encode(command))

    for number in range(hosts):
        domain = f"domain-{number % 6}"
        host = HostRecord(f"entry-{number}", f"10.0.0.1:{number}", domain, 1)
        apply(AdmitHost(0, "bench", host))
    for number in range(groups):
        name = f"group-{number}"
        for member in range(3):
            endpoint = EndpointRecord(
                f"{name}-{member}", name, f"10.1.0.1:{number}", "domain-1", 3, 45
            )
            apply(RecordEndpoint(0, "bench", endpoint, 3, "bench"))
        serving_set = choose_serving_set(name, state.hosts.values(), 3)
        apply(AssignServingSet(0, "bench", name, 1, serving_set, "bench"))
        apply(SettleServingSet(0, "bench", name, 1, False, "bench"))
        apply(BeginTerm(0, "bench", name, 1, "bench"))
        apply(InstallPrimary(0, "bench", name, 1, f"{name}-0", "bench"))
        path = f"/region-{number % 2}/service-{number % 40}/{name}"
        assignment = Assignment("reads.max_staleness_ms", 1_000 + number)
        change = ChangeSettings(
            0,
            "bench",
            f"c{number}",
            state.settings_number,
            "bench",
            path,
            (assignment,),
            (),
        )
        apply(change)
    return state


def measure(hosts: int, groups: int) -> dict[str, float]:
    """Return sizes in bytes, and times in the unit that each key names."""
    tracemalloc.start()
    state = build_state(hosts, groups)
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    timers = ManualTimerService()
    controller = LeaderController("c", StubRaft(), state, StubPort(), timers)  # type: ignore[arg-type]
    heartbeats = all_heartbeats(state)
    heartbeats_ms = mean_fastest_ms(
        lambda: controller.on_heartbeats(heartbeats).send(None)
    )
    for _ in range(WARM_UP_S):
        mean_fastest_ms(lambda: controller.on_heartbeats(heartbeats).send(None), 1)
        timers.advance(1_000)
    mean_fastest_ms(lambda: controller.on_heartbeats(heartbeats).send(None), 1)
    tick_ms = mean_fastest_ms(lambda: timers.advance(100), TICK_ROUNDS)
    snapshot = state.snapshot_for_hosts()
    candidate_hosts = list(state.hosts.values())[1:]
    state.apply(10**6, COMMAND_CODEC.encode(RemoveHost(0, "bench", "entry-1", "")))
    host_removed_tick_ms = mean_fastest_ms(lambda: timers.advance(100), 1)
    return {
        "host_lost_tick_ms": host_removed_tick_ms,
        "hosts": hosts,
        "groups": groups,
        "state_bytes": state_bytes,
        "snapshot_bytes": len(snapshot),
        "tick_ms": tick_ms,
        "heartbeat_us": heartbeats_ms / hosts * 1_000,
        "snapshot_ms": mean_fastest_ms(state.snapshot),
        "restore_ms": mean_fastest_ms(lambda: ClusterState().restore(snapshot)),
        "choose_ms": mean_fastest_ms(
            lambda: choose_serving_set("group-1", candidate_hosts, 3)
        ),
    }


def all_heartbeats(state: ClusterState) -> tuple[HostHeartbeat, ...]:
    """Return a heartbeat of each host; each endpoint is announced by one of them."""
    names = list(state.hosts)
    announced: dict[str, list[EndpointAnnouncement]] = {name: [] for name in names}
    for number, endpoint in enumerate(state.endpoints.values()):
        announcement = EndpointAnnouncement(endpoint, 1, 1, 0)
        announced[names[number % len(names)]].append(announcement)
    return tuple(heartbeat(state, name, tuple(announced[name])) for name in names)


def heartbeat(
    state: ClusterState, name: str, announced: tuple[EndpointAnnouncement, ...]
) -> HostHeartbeat:
    """Return the heartbeat of a host that has applied the latest state."""
    host = state.hosts[name]
    return HostHeartbeat(
        name,
        host.address,
        host.failure_domain,
        1,
        1,
        state.lease_index,
        state.settings_number,
        False,
        (),
        (),
        announced,
    )


def mean_fastest_ms(call: Any, rounds: int = ROUNDS) -> float:
    """Return the mean duration in ms of the fastest half of `rounds` calls.

    `call` may advance a coroutine with `send(None)`, which raises `StopIteration` when
    the coroutine returns without waiting.
    """
    times = []
    for _ in range(rounds):
        started = time.perf_counter()
        try:
            call()
        except StopIteration:
            pass
        times.append((time.perf_counter() - started) * 1_000)
    fastest = sorted(times)[: max(1, rounds // 2)]
    return sum(fastest) / len(fastest)
