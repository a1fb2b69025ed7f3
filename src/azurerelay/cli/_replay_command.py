"""The replay command."""

from pathlib import Path
from typing import Annotated

import typer
from result import Err

from azurerelay.traces import TraceRunner, read_trace

EXIT_DIFFERENT = 1
EXIT_BAD_TRACE = 2


def register(app: typer.Typer) -> None:
    """Add the command to the application."""
    app.command("replay")(replay)


def replay(
    files: Annotated[list[Path], typer.Argument(help="Traces, one JSON a line.")],
) -> None:
    """Replay traces on fake time and say which stated outcome differs."""
    status = 0
    for file in files:
        read = read_trace(file)
        if isinstance(read, Err):
            for finding in read.err_value:
                typer.echo(str(finding), err=True)
            raise typer.Exit(EXIT_BAD_TRACE)
        differences = TraceRunner(read.ok_value).run()
        for difference in differences:
            typer.echo(str(difference))
        if differences:
            status = EXIT_DIFFERENT
        verdict = "differs" if differences else "holds"
        typer.echo(f"{file}: {verdict}: {read.ok_value.header.about}")
    raise typer.Exit(status)
