"""The demo command: both workloads in one process, with a primary failure."""

from typing import Annotated

import msgspec
import typer

from azurerelay.embedded import ALERT_DESK, CHILDCARE, SystemShape
from azurerelay.experiments import (
    ALERT_DESK_MIX,
    CHILDCARE_MIX,
    Experiment,
    ExperimentReport,
    Fault,
    FaultKind,
    LoadMix,
)

EXIT_GUARANTEE_VIOLATED = 1
KILL_AT_FRACTION = 0.4
MS_PER_S = 1_000.0
PROGRESS_INTERVAL_S = 5


def register(app: typer.Typer) -> None:
    """Add the command to the application."""
    app.command("demo")(demo)


def demo(
    seconds: Annotated[
        int, typer.Option(min=5, max=600, help="Simulated duration in seconds.")
    ] = 20,
    seed: Annotated[int, typer.Option(help="Random seed.")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Run both workloads in one process on simulated time and check all guarantees.

    Each workload runs on three control hosts, six entry hosts and three groups of three
    endpoints; one primary is killed during the run. Exits with status 1 if a guarantee
    is violated, an endpoint exceeds its connection limit or the system stays degraded.
    """
    reports = [
        _run_experiment(CHILDCARE, CHILDCARE_MIX, seconds, seed, as_json),
        _run_experiment(ALERT_DESK, ALERT_DESK_MIX, seconds, seed, as_json),
    ]
    if as_json:
        typer.echo(msgspec.json.encode(reports).decode())
    if not all(report.has_passed for report in reports):
        raise typer.Exit(EXIT_GUARANTEE_VIOLATED)


def _run_experiment(
    shape: SystemShape, mix: LoadMix, seconds: int, seed: int, as_json: bool
) -> ExperimentReport:
    kill_at_ms = seconds * MS_PER_S * KILL_AT_FRACTION
    fault = Fault(kill_at_ms, FaultKind.KILL_PRIMARY, kill_at_ms / 2)

    def print_progress(remaining_ms: float) -> None:
        elapsed_s = seconds - int(remaining_ms / MS_PER_S)
        if elapsed_s % PROGRESS_INTERVAL_S == 0:
            typer.echo(f"{shape.name}: {elapsed_s} of {seconds} s", err=True)

    experiment = Experiment(
        shape, mix, (fault,), float(seconds), seed, None if as_json else print_progress
    )
    report = experiment.run()
    if not as_json:
        _print_report(report, experiment)
    return report


def _print_report(report: ExperimentReport, experiment: Experiment) -> None:
    rows = (
        ("operations", str(report.operations)),
        ("outcomes", ", ".join(f"{k} {v}" for k, v in report.outcomes.items())),
        ("reads served by replicas", f"{report.replica_share:.1%}"),
        ("staleness violations", _count_violations(report, "staleness")),
        ("lost acknowledged writes", _count_violations(report, "no confirmed write")),
        ("duplicated writes", _count_violations(report, "at most once")),
        ("violations in total", str(len(report.violations))),
        (
            "failover gap",
            ", ".join(f"{gap:.0f} ms" for gap in report.failover_gaps_ms) or "none",
        ),
        (
            "connections per endpoint",
            f"{report.peak_connections} at peak, limit {report.connection_limit}",
        ),
    )
    typer.echo(f"{report.shape}: {report.seconds:.0f} s of simulated time")
    for label, value in rows:
        typer.echo(f"  {label:<30} {value}")
    for line in (*report.faults, *report.violations):
        typer.echo(f"  {line}")
    leader = experiment.system.leader
    if leader is not None:
        typer.echo("  last primary changes in the audit trail:")
        changes = [r for r in leader.state.audit if r.path.endswith("/primary")]
        for record in changes[-2:]:
            typer.echo(f"    {record.action} {record.path}: {record.before} ->")
            typer.echo(f"      {record.after}, because {record.reason}")


def _count_violations(report: ExperimentReport, prefix: str) -> str:
    return str(sum(text.startswith(prefix) for text in report.violations))
