"""Runs the command-line interface for `python -m azurerelay`."""

from azurerelay.cli import main

if __name__ == "__main__":
    main()
