import unittest
from pathlib import Path

from result import Err

from azurerelay.traces import TraceRunner, read_trace

TRACES = Path(__file__).resolve().parent / "traces"


class TracesTest(unittest.TestCase):
    def test_every_recorded_trace_has_its_stated_outcomes(self) -> None:
        files = sorted(TRACES.glob("*.jsonl"))
        self.assertGreater(len(files), 8)
        for file in files:
            with self.subTest(file.stem):
                read = read_trace(file)
                self.assertFalse(isinstance(read, Err), read)
                differences = TraceRunner(read.ok_value).run()
                self.assertEqual([str(d) for d in differences], [])

    def test_a_wrong_outcome_is_reported_with_its_line(self) -> None:
        trace = read_trace(TRACES / "childcare-day.jsonl").ok_value
        wrong = [n for n in trace.steps if n.line == 3][0]
        object.__setattr__(wrong.step.expect, "rows", [["somebody else"]])
        differences = TraceRunner(trace).run()
        self.assertEqual(len(differences), 1)
        self.assertIn(
            "childcare-day.jsonl:3: expected [['somebody else']]", str(differences[0])
        )
