"""Random runs of three voters under faults.

The faults are crashes that lose unsynced writes, lost disks, lost messages and an
isolated voter.

No term may have two leaders, all voters must apply the same entries in the same
order, and no confirmed entry may be lost.
"""

import unittest

from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.strategies import integers, sampled_from

from tests.consensus_rig import ConsensusRig
from tests.property_settings import property_settings

NAMES = ("v1", "v2", "v3")


class ConsensusMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.rig = ConsensusRig(snapshot_entries=7)
        self.count = 0
        self.promises = []
        self.confirmed: list[bytes] = []
        self.history: list[bytes] = []

    @rule(duration_ms=integers(1, 800))
    def advance(self, duration_ms: int) -> None:
        self.rig.timers.advance(duration_ms)
        self._collect_confirmed()

    @rule(name=sampled_from(NAMES))
    def propose(self, name: str) -> None:
        node = self.rig.nodes.get(name)
        if node is not None and node.is_leader:
            self.count += 1
            payload = b"%d" % self.count
            self.promises.append((payload, node.propose(payload)))

    @precondition(lambda self: len(self.rig.nodes) == 3)
    @rule(name=sampled_from(NAMES))
    def crash(self, name: str) -> None:
        self.rig.crash(name)

    @precondition(
        lambda self: len(self.rig.nodes) == 3
        and not any(n.is_learner for n in self.rig.nodes.values())
    )
    @rule(name=sampled_from(NAMES))
    def lose_disk(self, name: str) -> None:
        self.rig.crash(name, lose_disk=True)

    @rule()
    def restart(self) -> None:
        for name in NAMES:
            if name not in self.rig.nodes:
                self.rig.start(name)

    @rule(name=sampled_from(NAMES))
    def cut_off(self, name: str) -> None:
        self.rig.isolated = {name}

    @rule()
    def heal(self) -> None:
        self.rig.isolated = set()

    @rule(loss_rate=sampled_from((0.0, 0.1, 0.4)))
    def lose_messages(self, loss_rate: float) -> None:
        self.rig.loss_rate = loss_rate

    def _collect_confirmed(self) -> None:
        for payload, promise in self.promises:
            if promise.is_done and promise.value.is_ok():
                self.confirmed.append(payload)
        self.promises = [p for p in self.promises if not p[1].is_done]

    @invariant()
    def at_most_one_leader_per_term(self) -> None:
        for term, leaders in self.rig.leaders_by_term.items():
            assert len(leaders) == 1, f"term {term} has leaders {leaders}"

    @invariant()
    def applied_entries_agree(self) -> None:
        for name in self.rig.nodes:
            applied = self.rig.applied(name)
            shared = min(len(applied), len(self.history))
            assert applied[:shared] == self.history[:shared]
            if len(applied) > len(self.history):
                self.history = list(applied)

    def teardown(self) -> None:
        self.rig.loss_rate = 0.0
        self.rig.isolated = set()
        self.restart()
        self._collect_confirmed()
        self.rig.wait_for_leader()
        self.rig.timers.advance(3_000)
        self._collect_confirmed()
        for name in NAMES:
            missing = [p for p in self.confirmed if p not in self.rig.applied(name)]
            assert not missing, f"{name} lost confirmed entries {missing}"
        self.applied_entries_agree()


ConsensusMachine.TestCase.settings = property_settings(40)
ConsensusPropertiesTest = ConsensusMachine.TestCase

if __name__ == "__main__":
    unittest.main()
