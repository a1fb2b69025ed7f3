"""The leader's and a host's state at growing sizes, up to the target, in memory.

No network: the cluster state is filled by its own commands, then the leader's
periodic work, snapshots and a change of hosts are timed on it.
"""

import time
import tracemalloc
from typing import Any

from azurerelay.control import LeaderDuties
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

TICKS = 8
WARM_UP_SECONDS = 12
ROUNDS = 5


class QuietRaft:
    """A leader's log that commits nothing, so that only the decisions cost time."""

    leading_since_ms = 0.0

    def confirm_leadership(self, is_urgent: bool = True) -> Promise[bool]:
        """Confirm at once."""
        return Promise.of(True)

    def propose(self, payload: bytes) -> Promise[Any]:
        """Never resolve."""
        return Promise()


class NoPort:
    """An endpoint port that is not used."""


def fill(hosts: int, groups: int) -> ClusterState:
    """Build the state of a fleet through its own commands."""
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
        chosen = choose_serving_set(name, state.hosts.values(), 3)
        apply(AssignServingSet(0, "bench", name, 1, chosen, "bench"))
        apply(SettleServingSet(0, "bench", name, 1, False, "bench"))
        apply(BeginTerm(0, "bench", name, 1, "bench"))
        apply(InstallPrimary(0, "bench", name, 1, f"{name}-0", "bench"))
        path = f"/region-{number % 2}/service-{number % 40}/{name}"
        assignment = Assignment("reads.max_staleness_ms", 1_000 + number)
        change = ChangeSettings(
            0, "bench", f"c{number}", state.number, "bench", path, (assignment,), ()
        )
        apply(change)
    return state


def measure(hosts: int, groups: int) -> dict[str, float]:
    """Return sizes in bytes and times in milliseconds for one size of fleet."""
    tracemalloc.start()
    state = fill(hosts, groups)
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    timers = ManualTimerService()
    duties = LeaderDuties("c", QuietRaft(), state, NoPort(), timers)  # type: ignore[arg-type]
    beats = all_heartbeats(state)
    first_ms = timed_ms(lambda: duties.on_heartbeats(beats).send(None))
    for _ in range(WARM_UP_SECONDS):
        timed_ms(lambda: duties.on_heartbeats(beats).send(None), 1)
        timers.advance(1_000)
    timed_ms(lambda: duties.on_heartbeats(beats).send(None), 1)
    tick_ms = timed_ms(lambda: timers.advance(100), TICKS)
    snapshot = state.snapshot_for_hosts()
    removed = list(state.hosts.values())[1:]
    state.apply(10**6, COMMAND_CODEC.encode(RemoveHost(0, "bench", "entry-1", "")))
    lost_ms = timed_ms(lambda: timers.advance(100), 1)
    return {
        "host_lost_tick_ms": lost_ms,
        "hosts": hosts,
        "groups": groups,
        "state_bytes": state_bytes,
        "snapshot_bytes": len(snapshot),
        "tick_ms": tick_ms,
        "heartbeat_us": first_ms / hosts * 1_000,
        "snapshot_ms": timed_ms(state.snapshot),
        "restore_ms": timed_ms(lambda: ClusterState().restore(snapshot)),
        "choose_ms": timed_ms(lambda: choose_serving_set("group-1", removed, 3)),
    }


def all_heartbeats(state: ClusterState) -> tuple[HostHeartbeat, ...]:
    """Return a heartbeat of each host; together they announce every endpoint."""
    names = list(state.hosts)
    announced: dict[str, list[EndpointAnnouncement]] = {name: [] for name in names}
    for number, endpoint in enumerate(state.endpoints.values()):
        announcement = EndpointAnnouncement(endpoint, 1, 1, 0)
        announced[names[number % len(names)]].append(announcement)
    return tuple(heartbeat(state, name, tuple(announced[name])) for name in names)


def heartbeat(
    state: ClusterState, name: str, announced: tuple[EndpointAnnouncement, ...]
) -> HostHeartbeat:
    """Return an ordinary heartbeat of a host that is up to date."""
    host = state.hosts[name]
    return HostHeartbeat(
        name,
        host.address,
        host.failure_domain,
        1,
        1,
        state.lease_index,
        state.number,
        False,
        (),
        (),
        announced,
    )


def timed_ms(call: Any, rounds: int = ROUNDS) -> float:
    """Return the mean time of a call, the fastest half of the rounds counted."""
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
