"""Commands that read or write local files."""

from pathlib import Path
from typing import Annotated

import typer
from result import Err

from azurerelay.consensus import Journal
from azurerelay.daemons import new_link_keys
from azurerelay.membership import ClusterState
from azurerelay.messages import decompress, is_compressed
from azurerelay.storage import FolderDisk

EXIT_DAMAGED = 3
KEY_FILE_MODE = 0o600

state_app = typer.Typer(help="Inspect a control host's data folder.")
keys_app = typer.Typer(help="Generate keys for the links between processes.")


def register(app: typer.Typer) -> None:
    """Add the commands to the application."""
    app.add_typer(state_app, name="state")
    app.add_typer(keys_app, name="keys")


@state_app.command("inspect")
def inspect(
    folder: Annotated[Path, typer.Argument(help="The data folder.", exists=True)],
) -> None:
    """Summarize a data folder without changing it; exit with 3 if it is damaged."""
    loaded = Journal(FolderDisk(folder)).load(truncate_torn_tail=False)
    if isinstance(loaded, Err):
        typer.echo(f"{folder}/{loaded.err_value}", err=True)
        raise typer.Exit(EXIT_DAMAGED)
    journal_state = loaded.ok_value
    log = journal_state.log
    hard_state = journal_state.hard_state
    role = "voter" if hard_state.is_voter else "learner"
    typer.echo(
        f"{role} in term {hard_state.term}, "
        f"voted for {hard_state.voted_for or 'nobody'}"
    )
    if journal_state.snapshot_mark is None:
        typer.echo("no snapshot")
    else:
        mark = journal_state.snapshot_mark
        typer.echo(f"snapshot up to index {mark.index}, {mark.length} bytes")
        _print_snapshot_summary(journal_state.snapshot)
    typer.echo(f"entries {log.base_index + 1} to {log.last_index}")
    if journal_state.torn_bytes:
        typer.echo(
            f"incomplete last record of {journal_state.torn_bytes} bytes, "
            "truncated at the next start"
        )


def _print_snapshot_summary(data: bytes) -> None:
    state = ClusterState()
    state.restore(decompress(data) if is_compressed(data) else data)
    if state.configuration is not None:
        typer.echo(
            f"  configuration version {state.configuration.version}, "
            f"{len(state.configuration.routes)} routes"
        )
    typer.echo(
        f"  settings number {state.settings_number}, {len(state.hosts)} hosts, "
        f"{len(state.groups)} groups, {len(state.audit)} audit records"
    )


@keys_app.command("new")
def new_keys(
    file: Annotated[Path, typer.Argument(help="Path of the new key file.")],
) -> None:
    """Write a new key pair that trusts no other host.

    To let hosts connect, add the public key of each under "trusted", by its name.
    """
    if file.exists():
        typer.echo(f"{file}: already exists, not overwritten", err=True)
        raise typer.Exit(1)
    file.touch(KEY_FILE_MODE)
    file.write_bytes(new_link_keys())
    typer.echo(f"{file}: written")
