"""Traces of requests, faults and expected outcomes, replayed on simulated time."""

from azurerelay.traces._trace import Trace, read_trace
from azurerelay.traces._trace_runner import Difference, TraceRunner
from azurerelay.traces._trace_steps import (
    ChangeStep,
    CheckStep,
    Expectation,
    FaultStep,
    HeaderStep,
    RequestStep,
)

__all__ = [
    "ChangeStep",
    "CheckStep",
    "Difference",
    "Expectation",
    "FaultStep",
    "HeaderStep",
    "RequestStep",
    "Trace",
    "TraceRunner",
    "read_trace",
]
