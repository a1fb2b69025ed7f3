"""Commands that work on local files."""

from pathlib import Path
from typing import Annotated

import typer
from result import Err

from azurerelay.cluster import decompress, is_compressed
from azurerelay.consensus import Journal
from azurerelay.daemons import new_link_keys
from azurerelay.membership import ClusterState
from azurerelay.storage import FolderDisk

EXIT_DAMAGED = 3
KEY_FILE_MODE = 0o600

state_app = typer.Typer(help="Look into a control host's data folder.")
keys_app = typer.Typer(help="Make the keys of the links between processes.")


def register(app: typer.Typer) -> None:
    """Add the commands to the application."""
    app.add_typer(state_app, name="state")
    app.add_typer(keys_app, name="keys")


@state_app.command("inspect")
def inspect(
    folder: Annotated[Path, typer.Argument(help="The data folder.", exists=True)],
) -> None:
    """Say what a data folder holds, changing nothing; exit 3 when it is damaged."""
    loaded = Journal(FolderDisk(folder)).load(repairs=False)
    if isinstance(loaded, Err):
        typer.echo(f"{folder}/{loaded.err_value}", err=True)
        raise typer.Exit(EXIT_DAMAGED)
    found = loaded.ok_value
    log = found.log
    hard = found.hard_state
    role = "voter" if hard.is_voter else "learner"
    typer.echo(f"{role} in term {hard.term}, voted for {hard.voted_for or 'nobody'}")
    if found.snapshot_mark is None:
        typer.echo("no snapshot")
    else:
        mark = found.snapshot_mark
        typer.echo(f"snapshot up to index {mark.index}, {mark.length} bytes")
        _describe_snapshot(found.snapshot)
    typer.echo(f"entries {log.base_index + 1} to {log.last_index}")
    if found.torn_bytes:
        typer.echo(f"torn tail of {found.torn_bytes} bytes, cut at the next start")


def _describe_snapshot(data: bytes) -> None:
    state = ClusterState()
    state.restore(decompress(data) if is_compressed(data) else data)
    if state.configuration is not None:
        typer.echo(
            f"  configuration version {state.configuration.version}, "
            f"{len(state.configuration.routes)} routes"
        )
    typer.echo(
        f"  settings number {state.number}, {len(state.hosts)} hosts, "
        f"{len(state.groups)} groups, {len(state.audit)} audit records"
    )


@keys_app.command("new")
def new_keys(
    file: Annotated[Path, typer.Argument(help="Where to write the key file.")],
) -> None:
    """Write a new key pair; add each host's public key under "trusted" by name."""
    if file.exists():
        typer.echo(f"{file}: exists already and is left as it is", err=True)
        raise typer.Exit(1)
    file.touch(KEY_FILE_MODE)
    file.write_bytes(new_link_keys())
    typer.echo(f"{file}: written")
