"""A Raft group on simulated time, links and disks."""

import random
from typing import Any

from azurerelay.consensus import Journal, RaftConfig, RaftNode
from azurerelay.storage import MemoryDisk
from azurerelay.timing import ManualTimerService, ScopedTimerService

LATENCY_MS = 2.0


class RecordingStateMachine:
    """A state machine that records the applied payloads."""

    def __init__(self) -> None:
        self.applied: list[bytes] = []

    def apply(self, index: int, payload: bytes) -> int:
        self.applied.append(payload)
        return len(self.applied)

    def snapshot(self) -> bytes:
        return b"\n".join(self.applied)

    def restore(self, data: bytes) -> None:
        self.applied = data.split(b"\n") if data else []


class _Link:
    def __init__(self, rig: "ConsensusRig", name: str) -> None:
        self._rig = rig
        self._name = name

    def send(self, peer: str, message: Any) -> None:
        self._rig.deliver(self._name, peer, message)


class ConsensusRig:
    """A group of Raft nodes that can crash, lose their disks and be isolated.

    Messages take 1 to 3 ms. `loss_rate` is the share of them that is lost, and those
    from and to nodes in `isolated` are dropped. `leaders_by_term` records all leaders.
    """

    def __init__(self, count: int = 3, seed: int = 1, snapshot_entries: int = 1000):
        self.timers = ManualTimerService()
        self.random = random.Random(seed)
        self.names = [f"v{number}" for number in range(1, count + 1)]
        self.disks = {name: MemoryDisk() for name in self.names}
        self.nodes: dict[str, RaftNode] = {}
        self.machines: dict[str, RecordingStateMachine] = {}
        self.scopes: dict[str, ScopedTimerService] = {}
        self.isolated: set[str] = set()
        self.loss_rate = 0.0
        self.config = RaftConfig(snapshot_entries=snapshot_entries, chunk_bytes=64)
        self.leaders_by_term: dict[int, set[str]] = {}
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        scope = ScopedTimerService(self.timers)
        machine = RecordingStateMachine()
        journal = Journal(self.disks[name])
        node = RaftNode(
            name,
            self.names,
            _Link(self, name),
            scope,
            random.Random(self.random.random()),
            journal,
            journal.load().ok_value,
            machine,
            self.config,
        )
        self.nodes[name], self.machines[name], self.scopes[name] = node, machine, scope
        node.add_role_listener(lambda: self._record_leader(node, name))
        node.start()

    def crash(self, name: str, lose_disk: bool = False) -> None:
        self.scopes[name].close()
        del self.nodes[name]
        self.disks[name].crash(self.random)
        if lose_disk:
            self.disks[name] = MemoryDisk()

    def deliver(self, sender: str, receiver: str, message: Any) -> None:
        if self.random.random() < self.loss_rate:
            return
        delay_ms = LATENCY_MS * self.random.uniform(0.5, 1.5)
        self.timers.call_later(
            delay_ms, lambda: self._deliver_now(sender, receiver, message)
        )

    def _deliver_now(self, sender: str, receiver: str, message: Any) -> None:
        node = self.nodes.get(receiver)
        if node is not None and not {sender, receiver} & self.isolated:
            node.on_message(sender, message)

    def _record_leader(self, node: RaftNode, name: str) -> None:
        if node.is_leader:
            self.leaders_by_term.setdefault(node.term, set()).add(name)

    @property
    def leader(self) -> RaftNode | None:
        ready = [
            n
            for name, n in self.nodes.items()
            if n.is_ready_leader and name not in self.isolated
        ]
        return max(ready, key=lambda node: node.term, default=None)

    def wait_for_leader(self) -> RaftNode:
        if not self.timers.advance_until(lambda: self.leader is not None, 10_000):
            raise AssertionError("no leader was elected within 10 s")
        leader = self.leader
        assert leader is not None
        return leader

    def propose(self, payload: bytes) -> bool:
        promise = self.wait_for_leader().propose(payload)
        self.timers.advance_until(lambda: promise.is_done, 5_000)
        return promise.is_done and promise.value.is_ok()

    def name_of(self, node: RaftNode) -> str:
        return next(name for name, other in self.nodes.items() if other is node)

    def applied(self, name: str) -> list[bytes]:
        return self.machines[name].applied
