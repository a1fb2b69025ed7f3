"""Tests that the judgement of closes around planned work counts what the rule says."""

import unittest
from dataclasses import replace

from bench.stop_history import (
    CLOSED,
    AttemptRecord,
    Cause,
    Change,
    Passage,
    PlannedWork,
    Reload,
    StatementRecord,
    Stop,
    find_false_refusals,
    find_repeated_commits,
    judge_closes,
)

STOPS = PlannedWork(60.0, stops=(Stop("entry-1", at_s=10.0, ended_s=14.9),))
WAITING = StatementRecord(
    "r1",
    "entry-1",
    sent_s=12.0,
    ended_s=14.8,
    outcome=CLOSED,
    is_in_transaction=False,
    timeout_s=4.0,
    budget_s=6.0,
)
RUNNING = replace(
    WAITING,
    sent_s=14.7,
    is_in_transaction=True,
    passages=(Passage("i-1", 14.75, started_s=14.76, ended_s=14.9),),
)
SLOW = Passage("i-1", 12.1, started_s=12.2, ended_s=15.1)


def losses(
    *statements: StatementRecord, work: PlannedWork = STOPS
) -> list[tuple[Cause, str]]:
    judgement = judge_closes(statements, work)
    return [(loss.cause, loss.shape) for loss in judgement.losses]


def excuses(statement: StatementRecord, work: PlannedWork = STOPS) -> list[str]:
    judgement = judge_closes([statement], work)
    assert len(judgement.losses) + judgement.excuses.total() == 1
    return list(judgement.excuses)


class StopTest(unittest.TestCase):
    def test_statement_without_an_endpoint_is_lost(self) -> None:
        self.assertEqual(losses(WAITING), [(Cause.STOP, "never passed on")])

    def test_statement_at_an_endpoint_is_lost_however_young(self) -> None:
        shape = "passed on, running, in transaction"
        self.assertEqual(losses(RUNNING), [(Cause.STOP, shape)])

    def test_shapes_tell_how_far_a_statement_had_come(self) -> None:
        waiting = (Passage("i-1", 14.71, ended_s=14.72),)
        done = (Passage("i-1", 14.71, started_s=14.72, ended_s=14.75),)
        single = replace(RUNNING, is_in_transaction=False)
        shapes = [
            shape
            for _, shape in losses(
                replace(single, passages=waiting), replace(single, passages=done)
            )
        ]
        self.assertEqual(shapes, ["passed on, not started", "passed on, had run"])

    def test_answered_statements_are_not_lost(self) -> None:
        self.assertEqual(losses(replace(WAITING, outcome="BUSY")), [])

    def test_statement_that_crossed_the_close_is_excused(self) -> None:
        young = replace(WAITING, sent_s=14.65)
        self.assertEqual(excuses(young), ["crossed the close"])
        late_arrival = (Passage("i-1", 14.9, started_s=14.9),)
        self.assertEqual(
            excuses(replace(young, passages=late_arrival)), ["crossed the close"]
        )

    def test_statement_whose_time_is_over_is_excused(self) -> None:
        for changed in ({"timeout_s": 2.5}, {"budget_s": 2.5}):
            with self.subTest(changed):
                self.assertEqual(
                    excuses(replace(WAITING, **changed)), ["the time was over"]
                )

    def test_statement_of_an_endpoint_that_broke_off_is_excused(self) -> None:
        broken_off = (Passage("i-1", 12.1, started_s=12.2, broken_off_s=14.7),)
        statement = replace(WAITING, passages=broken_off)
        self.assertEqual(excuses(statement), ["the endpoint broke off"])

    def test_endpoint_at_work_until_the_kill_excuses_what_was_sent_soon(self) -> None:
        excuse = ["an endpoint worked until the kill"]
        self.assertEqual(excuses(replace(WAITING, passages=(SLOW,))), excuse)
        self.assertEqual(
            excuses(replace(WAITING, passages=(replace(SLOW, ended_s=None),))), excuse
        )

    def test_slow_endpoint_excuses_nothing_else(self) -> None:
        lost = [(Cause.STOP, "passed on, running")]
        sent_late = replace(WAITING, sent_s=13.1)
        slow_but_late = replace(SLOW, received_s=13.2, started_s=13.3)
        ends_early = replace(SLOW, ended_s=14.95)
        self.assertEqual(losses(replace(sent_late, passages=(slow_but_late,))), lost)
        self.assertEqual(losses(replace(WAITING, passages=(ends_early,))), lost)

    def test_time_in_which_the_observer_was_stalled_does_not_count(self) -> None:
        statement = replace(WAITING, sent_s=14.3)
        stalled = replace(STOPS, stalls=((13.0, 14.7),))
        self.assertEqual(excuses(statement, stalled), ["the observer was stalled"])
        self.assertEqual(len(losses(WAITING, work=stalled)), 1)
        self.assertEqual(len(losses(RUNNING, work=stalled)), 1)

    def test_window_ends_a_second_after_the_grace_period(self) -> None:
        in_time = replace(WAITING, sent_s=16.0, ended_s=17.0)
        too_late = replace(WAITING, sent_s=16.0, ended_s=17.1)
        self.assertEqual(losses(in_time), [(Cause.STOP, "never passed on")])
        self.assertEqual(judge_closes([too_late], STOPS).unplanned, (too_late,))

    def test_stop_of_another_host_is_no_planned_work(self) -> None:
        other = replace(WAITING, host="entry-2")
        self.assertEqual(judge_closes([other], STOPS).unplanned, (other,))


class OtherPlannedWorkTest(unittest.TestCase):
    def test_reload_counts_for_statements_sent_soon_after_it(self) -> None:
        work = PlannedWork(60.0, reloads=(Reload("entry-1", 9.5),))
        self.assertEqual(
            losses(WAITING, work=work), [(Cause.RELOAD, "never passed on")]
        )
        late = replace(WAITING, sent_s=12.6)
        self.assertEqual(losses(late, work=work), [])

    def test_change_counts_until_hosts_have_taken_it_up(self) -> None:
        statement = replace(WAITING, sent_s=14.0, ended_s=14.8)
        for acknowledged_s, count in ((10.7, 0), (10.9, 1), (None, 1)):
            with self.subTest(acknowledged_s):
                work = PlannedWork(60.0, changes=(Change(10.0, acknowledged_s),))
                self.assertEqual(len(losses(statement, work=work)), count)

    def test_change_does_not_count_once_most_of_the_time_is_used(self) -> None:
        work = PlannedWork(60.0, changes=(Change(10.0, 12.0),))
        self.assertEqual(len(losses(replace(WAITING, sent_s=12.1), work=work)), 1)
        self.assertEqual(len(losses(replace(WAITING, sent_s=11.9), work=work)), 0)

    def test_change_does_not_count_if_the_host_closes_as_often_else(self) -> None:
        work = PlannedWork(20.0, changes=(Change(10.0, 11.0),))
        beside = replace(WAITING, sent_s=13.0)
        else_ = replace(WAITING, sent_s=2.0, ended_s=3.0)
        self.assertEqual(len(losses(beside, work=work)), 1)
        self.assertEqual(len(losses(beside, else_, work=work)), 0)
        self.assertEqual(len(losses(*[beside] * 4, else_, work=work)), 4)


class CommitsTest(unittest.TestCase):
    def test_refused_attempt_that_is_committed_is_a_false_refusal(self) -> None:
        refused = AttemptRecord("entry-1", 1.0, 2.0, "refused", "r1")
        in_doubt = replace(refused, result="in doubt", commit_request="r2")
        unsent = replace(refused, commit_request=None)
        attempts = [refused, in_doubt, unsent]
        self.assertEqual(find_false_refusals(attempts, {"r1", "r2"}), [refused])
        self.assertEqual(find_false_refusals(attempts, {"r2"}), [])

    def test_request_that_is_twice_in_a_log_is_repeated(self) -> None:
        logs = [["r1", "r2", "r1"], ["r3"]]
        self.assertEqual(find_repeated_commits(logs), ["r1"])


if __name__ == "__main__":
    unittest.main()
