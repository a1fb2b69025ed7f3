import unittest
from pathlib import Path

from result import Err

from azurerelay.traces import TraceRunner, read_trace

TRACES = Path(__file__).resolve().parent / "traces"


class TracesTest(unittest.TestCase):
    def test_every_trace_has_the_expected_outcomes(self) -> None:
        files = sorted(TRACES.glob("*.jsonl"))
        self.assertGreater(len(files), 8)
        for file in files:
            with self.subTest(file.stem):
                loaded = read_trace(file)
                self.assertFalse(isinstance(loaded, Err), loaded)
                differences = TraceRunner(loaded.ok_value).run()
                self.assertEqual([str(d) for d in differences], [])

    def test_an_unexpected_outcome_is_reported_with_its_line(self) -> None:
        trace = read_trace(TRACES / "childcare-day.jsonl").ok_value
        altered = [n for n in trace.steps if n.line == 3][0]
        object.__setattr__(altered.step.expect, "rows", [["somebody else"]])
        differences = TraceRunner(trace).run()
        self.assertEqual(len(differences), 1)
        self.assertIn(
            "childcare-day.jsonl:3: expected [['somebody else']]", str(differences[0])
        )
