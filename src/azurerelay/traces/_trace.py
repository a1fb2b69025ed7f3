"""Trace files and their reader."""

from dataclasses import dataclass
from pathlib import Path

import pydantic
from result import Err, Ok, Result

from azurerelay.settings import Finding
from azurerelay.traces._trace_steps import (
    STEP_ADAPTER,
    ChangeStep,
    CheckStep,
    FaultStep,
    HeaderStep,
    RequestStep,
)

TimedStep = RequestStep | FaultStep | ChangeStep | CheckStep


@dataclass(frozen=True, slots=True)
class NumberedStep:
    """A step and its line number in the file, from 1."""

    line: int
    step: TimedStep


@dataclass(frozen=True, slots=True)
class Trace:
    """The header of a trace file and its other steps, in file order."""

    source: str
    header: HeaderStep
    steps: tuple[NumberedStep, ...]


def read_trace(file: Path) -> Result[Trace, tuple[Finding, ...]]:
    """Read a trace file in JSON Lines format; return all findings if it is invalid."""
    findings: list[Finding] = []
    header: HeaderStep | None = None
    steps: list[NumberedStep] = []
    try:
        lines = file.read_text().splitlines()
    except OSError as error:
        return Err((Finding(str(file), error.strerror or "cannot be read"),))
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            step = STEP_ADAPTER.validate_json(line)
        except pydantic.ValidationError as error:
            findings.extend(_line_findings(f"{file}:{number}", error))
            continue
        if isinstance(step, HeaderStep):
            header = step
        else:
            steps.append(NumberedStep(number, step))
    if header is None:
        findings.append(Finding(f"{file}:1", "the trace has no header line"))
    if findings or header is None:
        return Err(tuple(findings))
    return Ok(Trace(str(file), header, tuple(steps)))


def _line_findings(place: str, error: pydantic.ValidationError) -> list[Finding]:
    return [
        Finding(f"{place}: {'.'.join(map(str, problem['loc']))}", problem["msg"])
        for problem in error.errors(include_url=False)
    ]
