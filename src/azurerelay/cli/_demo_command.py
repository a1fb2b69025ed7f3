"""The demo command."""

import typer


def register(app: typer.Typer) -> None:
    """Add the command to the application."""
