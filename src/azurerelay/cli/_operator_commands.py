"""Commands that talk to a control host."""

import typer


def register(app: typer.Typer) -> None:
    """Add the commands to the application."""
