"""Commands that run or check a daemon."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any

import typer
from result import Err, Result

from azurerelay.cli._deployment_file import check_deployment
from azurerelay.control import StartRefusedError
from azurerelay.daemons import (
    Application,
    BadSettingsError,
    ControlSettings,
    EntrySettings,
    ProcessSettings,
    StandinSettings,
    configure_logging,
    control_application,
    entry_application,
    load_settings,
    run_until_signal,
    standin_application,
)
from azurerelay.hosts import is_platform_settings, load_host_settings
from azurerelay.settings import Finding

SettingsFile = Annotated[Path, typer.Argument(help="The JSON settings file.")]

EXIT_BAD_SETTINGS = 2
EXIT_REFUSED = 3


def register(app: typer.Typer) -> None:
    """Add the commands to the application."""
    app.command("entry")(entry)
    app.command("control")(control)
    app.command("standin")(standin)
    app.command("check")(check)


def entry(file: SettingsFile) -> None:
    """Run an entry host until SIGTERM; then drain and stop."""
    _run(file, EntrySettings, entry_application)


def control(file: SettingsFile) -> None:
    """Run a control host until SIGTERM."""
    _run(file, ControlSettings, control_application)


def standin(file: SettingsFile) -> None:
    """Run a stand-in endpoint until SIGTERM."""
    _run(file, StandinSettings, standin_application)


def check(file: SettingsFile) -> None:
    """Check a settings file and print every finding with its JSON path.

    Files of the users' platform and `deploy/system.toml` are checked, too.
    """
    if file.suffix == ".toml":
        _report(file, check_deployment(file), "a valid deployment")
        return
    if is_platform_settings(file):
        _report(file, load_host_settings(file), "valid settings of the platform")
        return
    settings = _load(file)
    typer.echo(f"{file}: a valid settings file of {settings.role} {settings.name}")


def _report(
    file: Path, outcome: Result[object, tuple[Finding, ...]], praise: str
) -> None:
    if isinstance(outcome, Err):
        for finding in outcome.err_value:
            typer.echo(str(finding), err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    typer.echo(f"{file}: {praise}")


def _load(file: Path) -> ProcessSettings:
    loaded = load_settings(file)
    if isinstance(loaded, Err):
        for finding in loaded.err_value:
            typer.echo(str(finding), err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    return loaded.ok_value


def _run(
    file: Path,
    kind: type[ProcessSettings],
    build: Callable[[Any], Awaitable[Application]],
) -> None:
    settings = _load(file)
    if not isinstance(settings, kind):
        typer.echo(f"{file}:$.role: this is a file of {settings.role}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    configure_logging(settings.log_format)
    try:
        status = asyncio.run(run_until_signal(build(settings)))
    except BadSettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from error
    except StartRefusedError as error:
        typer.echo(f"{file}: the data folder is damaged: {error}", err=True)
        raise typer.Exit(EXIT_REFUSED) from error
    raise typer.Exit(status)
