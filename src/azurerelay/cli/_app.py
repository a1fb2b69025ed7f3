"""The Typer application and its commands."""

import typer

from azurerelay.cli import (
    _daemon_commands,
    _demo_command,
    _local_commands,
    _operator_commands,
    _placement_command,
    _quickstart_command,
    _replay_command,
)

app = typer.Typer(
    name="azurerelay",
    help="A database proxy with session consistency.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
_daemon_commands.register(app)
_demo_command.register(app)
_operator_commands.register(app)
_placement_command.register()
_quickstart_command.register(app)
_local_commands.register(app)
_replay_command.register(app)


def main() -> None:
    """Run the command-line application."""
    app()
