"""Commands that run a process or check a settings file."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any

import typer
from result import Err, Result

from azurerelay.cli._deployment_file import check_deployment
from azurerelay.control import CorruptStateError
from azurerelay.daemons import (
    Application,
    ControlSettings,
    EntrySettings,
    InvalidSettingsError,
    ProcessSettings,
    StandinSettings,
    build_control_application,
    build_entry_application,
    build_standin_application,
    configure_logging,
    load_settings,
    run_until_signal,
)
from azurerelay.hosts import is_platform_settings, load_host_settings
from azurerelay.settings import Finding

SettingsFile = Annotated[Path, typer.Argument(help="The JSON settings file.")]

EXIT_INVALID_SETTINGS = 2
EXIT_START_REFUSED = 3


def register(app: typer.Typer) -> None:
    """Add the commands to the application."""
    app.command("entry")(entry)
    app.command("control")(control)
    app.command("standin")(standin)
    app.command("check")(check)


def entry(file: SettingsFile) -> None:
    """Run an entry host until SIGTERM or SIGINT, then drain and stop it."""
    _run(file, EntrySettings, build_entry_application)


def control(file: SettingsFile) -> None:
    """Run a control host until SIGTERM or SIGINT."""
    _run(file, ControlSettings, build_control_application)


def standin(file: SettingsFile) -> None:
    """Run a simulated database endpoint until SIGTERM or SIGINT."""
    _run(file, StandinSettings, build_standin_application)


def check(file: SettingsFile) -> None:
    """Validate a settings file and print every problem with its JSON path.

    Also validates settings files of the platform and deployment files (suffix .toml),
    such as `deploy/system.toml`. Exits with status 2 if there are problems.
    """
    if file.suffix == ".toml":
        _print_check_result(file, check_deployment(file), "valid deployment file")
        return
    if is_platform_settings(file):
        _print_check_result(file, load_host_settings(file), "valid platform settings")
        return
    settings = _load_or_exit(file)
    typer.echo(f"{file}: valid settings of {settings.role} {settings.name}")


def _print_check_result(
    file: Path, outcome: Result[object, tuple[Finding, ...]], summary: str
) -> None:
    if isinstance(outcome, Err):
        for finding in outcome.err_value:
            typer.echo(str(finding), err=True)
        raise typer.Exit(EXIT_INVALID_SETTINGS)
    typer.echo(f"{file}: {summary}")


def _load_or_exit(file: Path) -> ProcessSettings:
    loaded = load_settings(file)
    if isinstance(loaded, Err):
        for finding in loaded.err_value:
            typer.echo(str(finding), err=True)
        raise typer.Exit(EXIT_INVALID_SETTINGS)
    return loaded.ok_value


def _run(
    file: Path,
    settings_type: type[ProcessSettings],
    build_application: Callable[[Any], Awaitable[Application]],
) -> None:
    settings = _load_or_exit(file)
    if not isinstance(settings, settings_type):
        typer.echo(f"{file}:$.role: the file is for the role {settings.role}", err=True)
        raise typer.Exit(EXIT_INVALID_SETTINGS)
    configure_logging(settings.log_format)
    try:
        status = asyncio.run(run_until_signal(build_application(settings)))
    except InvalidSettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from error
    except CorruptStateError as error:
        typer.echo(f"{file}: the data folder is damaged: {error}", err=True)
        raise typer.Exit(EXIT_START_REFUSED) from error
    raise typer.Exit(status)
