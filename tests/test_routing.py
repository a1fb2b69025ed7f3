import unittest

from hypothesis import given, settings
from hypothesis.strategies import integers, lists, tuples

from azurerelay.endpoints import EndpointAnswer, EndpointRole
from azurerelay.membership import EndpointRecord
from azurerelay.routing import (
    EndpointView,
    PositionTracker,
    ReadConstraints,
    ReadRouter,
    RouteCandidate,
    SampleHistory,
    Verdict,
)


def _endpoint(name: str) -> EndpointRecord:
    return EndpointRecord(name, "g", f"address-{name}", "d", 3, 45)


def _answer(
    position: int,
    term: int = 1,
    synced_term: int | None = None,
    log_term: int | None = None,
    role: EndpointRole = EndpointRole.REPLICA,
) -> EndpointAnswer:
    synced = term if synced_term is None else synced_term
    return EndpointAnswer(
        term, position, synced if log_term is None else log_term, synced, role
    )


def _tracker(quorum: int = 2) -> PositionTracker:
    tracker = PositionTracker()
    tracker.configure(1, "p", quorum, [_endpoint(n) for n in ("p", "r1", "r2")])
    return tracker


class PositionTrackerTest(unittest.TestCase):
    def test_a_majority_with_the_primary_confirms(self) -> None:
        tracker = _tracker()
        waiting = tracker.confirmation(7)
        tracker.record_answer("p", _answer(7, role=EndpointRole.PRIMARY), 0, 1)
        self.assertFalse(waiting.is_done)
        tracker.record_answer("r1", _answer(7), 0, 1)
        self.assertTrue(waiting.value)

    def test_a_fenced_primary_counts_once(self) -> None:
        tracker = _tracker()
        tracker.record_answer("p", _answer(49, role=EndpointRole.PRIMARY), 0, 1)
        tracker.record_answer("p", _answer(49, term=2, synced_term=1), 2, 3)
        self.assertEqual(tracker.confirmed_position, 0)

    def test_an_endpoint_of_another_term_confirms_nothing(self) -> None:
        tracker = _tracker()
        tracker.record_answer("p", _answer(7, role=EndpointRole.PRIMARY), 0, 1)
        tracker.record_answer("r1", _answer(9, term=1, synced_term=0), 0, 1)
        tracker.record_answer("r2", _answer(9, term=1, synced_term=1, log_term=0), 0, 1)
        self.assertEqual(tracker.confirmed_position, 0)

    def test_a_new_term_fails_pending_confirmations(self) -> None:
        tracker = _tracker()
        waiting = tracker.confirmation(7)
        tracker.configure(2, None, 2, [_endpoint(n) for n in ("p", "r1", "r2")])
        self.assertFalse(waiting.value)

    def test_a_late_answer_does_not_replace_a_newer_one(self) -> None:
        view = EndpointView("r", "d")
        view.record(_answer(9), sent_ms=10, now_ms=12)
        view.record(_answer(5), sent_ms=8, now_ms=13)
        self.assertEqual(view.position, 9)

    @settings(derandomize=True, database=None, max_examples=200)
    @given(lists(tuples(integers(0, 2), integers(0, 50)), max_size=40))
    def test_a_confirmed_position_is_held_by_a_majority(
        self, answers: list[tuple[int, int]]
    ) -> None:
        tracker = _tracker()
        held = {"p": 0, "r1": 0, "r2": 0}
        for number, (index, position) in enumerate(answers):
            name = ("p", "r1", "r2")[index]
            position = max(position, held[name])
            held[name] = position
            held["p"] = max(held.values())
            role = EndpointRole.PRIMARY if name == "p" else EndpointRole.REPLICA
            tracker.record_answer(name, _answer(position, role=role), number, number)
            self.assertLessEqual(tracker.confirmed_position, sorted(held.values())[1])


class SampleHistoryTest(unittest.TestCase):
    def test_staleness_is_the_time_since_the_primary_was_at_a_position(
        self,
    ) -> None:
        history = SampleHistory()
        for sent_ms, position in ((0, 5), (100, 5), (200, 9), (300, 12)):
            history.add(sent_ms, position)
        cases = (
            (4, None),
            (5, 300.0),
            (8, 300.0),
            (9, 200.0),
            (12, 100.0),
            (99, 100.0),
        )
        for position, expected in cases:
            with self.subTest(position):
                self.assertEqual(history.staleness_ms(position, 400.0), expected)

    def test_history_is_bounded_and_dropped_positions_are_unknown(self) -> None:
        history = SampleHistory()
        for number in range(10_000):
            history.add(float(number), number)
        self.assertIsNone(history.staleness_ms(10, 10_000.0))
        self.assertEqual(history.staleness_ms(9_999, 10_000.0), 1.0)


class ReadRouterTest(unittest.TestCase):
    def _verdict(
        self,
        view: EndpointView,
        staleness_ms: float | None = 10.0,
        term: int = 1,
        position: int = 0,
        is_serving: bool = True,
    ) -> Verdict:
        router = ReadRouter(_tracker(), probe_misses=3)
        constraints = ReadConstraints(term, position, 100)
        return router.endpoint_verdict(view, is_serving, constraints, staleness_ms)

    def test_each_reason_to_reject_a_replica(self) -> None:
        view = EndpointView("r1", "d")
        self.assertIs(self._verdict(view), Verdict.UNHEALTHY)
        view.record(_answer(9), 0, 1)
        self.assertIs(self._verdict(view), Verdict.ELIGIBLE)
        self.assertIs(self._verdict(view, is_serving=False), Verdict.NOT_SERVING)
        self.assertIs(self._verdict(view, position=10), Verdict.BEHIND_SESSION)
        self.assertIs(self._verdict(view, term=2), Verdict.BEHIND_SESSION)
        self.assertIs(self._verdict(view, staleness_ms=None), Verdict.LAG_UNKNOWN)
        self.assertIs(self._verdict(view, staleness_ms=101.0), Verdict.TOO_STALE)
        view.misses = 3
        self.assertIs(self._verdict(view), Verdict.UNHEALTHY)
        view.misses = 0
        view.record(_answer(9, term=2, synced_term=2), 2, 3)
        self.assertIs(self._verdict(view), Verdict.NOT_SYNCED)

    def test_the_fastest_eligible_replica_is_chosen(self) -> None:
        router = ReadRouter(_tracker(), probe_misses=3)
        chosen = router.choose(
            [
                RouteCandidate("fast but stale", Verdict.TOO_STALE, 1.0, None),
                RouteCandidate("slow", Verdict.ELIGIBLE, 9.0, 5.0),
                RouteCandidate("good", Verdict.ELIGIBLE, 3.0, 5.0),
            ]
        )
        self.assertEqual(chosen.name if chosen else "", "good")
