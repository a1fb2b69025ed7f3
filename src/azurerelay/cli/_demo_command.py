"""The demo command: both workloads embedded, with a primary killed on the way."""

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

EXIT_BROKEN_PROMISE = 1
KILL_AT_SHARE = 0.4
MS_PER_S = 1_000.0
PROGRESS_S = 5


def register(app: typer.Typer) -> None:
    """Add the command to the application."""
    app.command("demo")(demo)


def demo(
    seconds: Annotated[int, typer.Option(min=5, max=600, help="Fake seconds.")] = 20,
    seed: Annotated[int, typer.Option(help="The seed of all randomness.")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Run both workloads embedded on fake time and check every promise.

    Three control hosts, six entry hosts, three groups of three endpoints; a primary
    is killed on the way. Exit status 1 when a promise is broken.
    """
    reports = [
        _run(CHILDCARE, CHILDCARE_MIX, seconds, seed, as_json),
        _run(ALERT_DESK, ALERT_DESK_MIX, seconds, seed, as_json),
    ]
    if as_json:
        typer.echo(msgspec.json.encode(reports).decode())
    if not all(report.is_kept for report in reports):
        raise typer.Exit(EXIT_BROKEN_PROMISE)


def _run(
    shape: SystemShape, mix: LoadMix, seconds: int, seed: int, as_json: bool
) -> ExperimentReport:
    kill_at_ms = seconds * MS_PER_S * KILL_AT_SHARE
    kill = Fault(kill_at_ms, FaultKind.KILL_PRIMARY, kill_at_ms / 2)

    def show(remaining_ms: float) -> None:
        done = seconds - int(remaining_ms / MS_PER_S)
        if done % PROGRESS_S == 0:
            typer.echo(f"{shape.name}: {done} of {seconds} s", err=True)

    experiment = Experiment(
        shape, mix, (kill,), float(seconds), seed, None if as_json else show
    )
    report = experiment.run()
    if not as_json:
        _print(report, experiment)
    return report


def _print(report: ExperimentReport, experiment: Experiment) -> None:
    rows = (
        ("operations", str(report.operations)),
        ("outcomes", ", ".join(f"{k} {v}" for k, v in report.outcomes.items())),
        ("reads served by replicas", f"{report.replica_share:.1%}"),
        ("stale reads beyond the bound", _count(report, "staleness")),
        ("lost acknowledged writes", _count(report, "no confirmed write")),
        ("doubled writes", _count(report, "at most once")),
        ("all broken promises", str(len(report.violations))),
        (
            "failover gap",
            ", ".join(f"{gap:.0f} ms" for gap in report.failover_gaps_ms) or "none",
        ),
        (
            "connections of an endpoint",
            f"{report.peak_connections} at most, limit {report.connection_limit}",
        ),
    )
    typer.echo(f"{report.shape}: {report.seconds:.0f} s of fake time")
    for label, value in rows:
        typer.echo(f"  {label:<30} {value}")
    for line in (*report.faults, *report.violations):
        typer.echo(f"  {line}")
    leader = experiment.system.leader
    if leader is not None:
        typer.echo("  audit trail of the failover:")
        changes = [r for r in leader.state.audit if r.path.endswith("/primary")]
        for record in changes[-2:]:
            typer.echo(f"    {record.action} {record.path}: {record.before} ->")
            typer.echo(f"      {record.after}, because {record.reason}")


def _count(report: ExperimentReport, prefix: str) -> str:
    return str(sum(text.startswith(prefix) for text in report.violations))
