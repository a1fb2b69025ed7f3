"""Tests that the checker reports each kind of violation."""

import unittest
from dataclasses import replace

from azurerelay.experiments import Checker, History, OperationKind, OperationRecord
from azurerelay.requests import Outcome

WRITE = OperationRecord(
    OperationKind.KEYED_WRITE,
    "c",
    "g",
    "m",
    0.0,
    10.0,
    Outcome.DONE,
    term=1,
    position=3,
)
READ = replace(
    WRITE,
    kind=OperationKind.STALE_READ,
    key="m",
    started_ms=5_000.0,
    ended_ms=5_010.0,
    value=1,
    staleness_ms=100.0,
    max_staleness_ms=1_000,
    is_from_replica=True,
)


class CheckerTest(unittest.TestCase):
    def _violated_guarantees(
        self,
        records: list[OperationRecord],
        final_data: dict[str, object],
        installations: tuple[object, ...] = (),
    ) -> set[str]:
        history = History()
        for record in records:
            history.add(record)
        violations = Checker(max_answer_latency_ms=2.0).check(
            history, {"g": final_data}, installations
        )
        return {violation.guarantee for violation in violations}

    def test_a_correct_history_has_no_violations(self) -> None:
        self.assertEqual(self._violated_guarantees([WRITE, READ], {"m": 1}), set())

    def test_each_violated_guarantee_is_reported(self) -> None:
        transaction = replace(WRITE, kind=OperationKind.TRANSACTION)
        session = replace(
            READ, kind=OperationKind.SESSION_READ, token_term=1, token_position=3
        )
        cases = (
            ("no confirmed write is lost", [WRITE], {}),
            ("at most once", [WRITE], {"m": 2}),
            ("not run is true", [replace(WRITE, outcome=Outcome.NOT_RUN)], {"m": 1}),
            ("transactions are whole", [transaction], {"m-a": 1}),
            ("read your writes", [session, replace(session, value=None)], {"m": 1}),
            ("sessions never go back", [replace(session, position=2)], {"m": 1}),
            ("staleness bound", [replace(READ, staleness_ms=2_000.0)], {"m": 1}),
            ("staleness as stated", [WRITE, replace(READ, value=None)], {"m": 1}),
        )
        for guarantee, records, final_data in cases:
            with self.subTest(guarantee):
                self.assertIn(guarantee, self._violated_guarantees(records, final_data))

    def test_a_confirmation_by_a_replaced_primary_is_reported(self) -> None:
        from azurerelay.experiments._checker import Installation

        installations = (Installation("g", 2, at_ms=5.0),)
        self.assertEqual(
            self._violated_guarantees([WRITE], {"m": 1}, installations),
            {"no confirmation by a replaced primary"},
        )
