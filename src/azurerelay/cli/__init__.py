"""Command-line interface."""

from azurerelay.cli._app import main

__all__ = ["main"]
