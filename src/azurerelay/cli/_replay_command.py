"""The replay command."""

from pathlib import Path
from typing import Annotated

import typer
from result import Err

from azurerelay.traces import TraceRunner, read_trace

EXIT_MISMATCH = 1
EXIT_INVALID_TRACE = 2


def register(app: typer.Typer) -> None:
    """Add the command to the application."""
    app.command("replay")(replay)


def replay(
    files: Annotated[list[Path], typer.Argument(help="Trace files (JSON Lines).")],
) -> None:
    """Replay traces on simulated time and print outcomes that are not as expected."""
    status = 0
    for file in files:
        loaded = read_trace(file)
        if isinstance(loaded, Err):
            for finding in loaded.err_value:
                typer.echo(str(finding), err=True)
            raise typer.Exit(EXIT_INVALID_TRACE)
        differences = TraceRunner(loaded.ok_value).run()
        for difference in differences:
            typer.echo(str(difference))
        if differences:
            status = EXIT_MISMATCH
        verdict = "differs" if differences else "holds"
        typer.echo(f"{file}: {verdict}: {loaded.ok_value.header.about}")
    raise typer.Exit(status)
