"""Writes the settings of a small fleet on loopback, and scripts for it."""

import hashlib
import json
import sys
from pathlib import Path
from typing import Annotated, Any, Final

import typer

TOKEN: Final = "quickstart"
GROUP: Final = "roster"
DOMAINS: Final = ("north", "central", "south")
EXIT_EXISTS: Final = 1


def register(app: typer.Typer) -> None:
    """Add the command to the application."""
    app.command("quickstart")(quickstart)


def quickstart(
    folder: Annotated[Path, typer.Argument(help="A new folder for the files.")],
) -> None:
    """Write settings for three control hosts, three entry hosts and three stand-ins.

    Also start.sh and stop.sh, which run them on loopback.
    """
    if folder.exists():
        typer.echo(f"{folder}: exists already and is left as it is", err=True)
        raise typer.Exit(EXIT_EXISTS)
    folder.mkdir(parents=True)
    roles = {}
    for settings in all_settings(folder):
        name = str(settings["name"])
        roles[name] = str(settings["role"])
        text = json.dumps(settings, indent=2) + "\n"
        (folder / f"{name}.json").write_text(text)
    (folder / "start.sh").write_text(_start_script(roles))
    (folder / "stop.sh").write_text(_stop_script(roles))
    typer.echo(f"{folder}: {len(roles)} settings files, start.sh and stop.sh")


def all_settings(folder: Path) -> list[dict[str, Any]]:
    """Return the settings of every process of the fleet."""
    controls = [
        {
            "name": f"control-{number}",
            "link": f"127.0.0.1:{7100 + number}",
            "failure_domain": domain,
        }
        for number, domain in enumerate(DOMAINS, start=1)
    ]
    callers = [f"127.0.0.1:{8080 + number}" for number in range(1, 4)]
    found: list[dict[str, Any]] = []
    for number, domain in enumerate(DOMAINS, start=1):
        common = {"failure_domain": domain, "log_format": "text"}
        found.append(
            {
                "role": "control",
                "name": f"control-{number}",
                "operators": f"127.0.0.1:{7200 + number}",
                "link": f"127.0.0.1:{7100 + number}",
                "data_folder": str(folder / f"control-{number}.data"),
                "voters": controls,
                "tokens": [{"name": "operator", "sha256": _sha256(TOKEN)}],
                **common,
            }
        )
        found.append(
            {
                "role": "entry",
                "name": f"entry-{number}",
                "callers": callers[number - 1],
                "link": f"127.0.0.1:{7300 + number}",
                "control_hosts": controls,
                **common,
            }
        )
        found.append(
            {
                "role": "standin",
                "name": f"{GROUP}-{number}",
                "group": GROUP,
                "listen": f"127.0.0.1:{9000 + number}",
                "entry_hosts": callers,
                **common,
            }
        )
    return found


def _sha256(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def _start_script(roles: dict[str, str]) -> str:
    lines = ["#!/bin/sh", "# Starts the fleet in the background; logs are beside it."]
    lines.append('F="$(dirname "$0")"')
    for name, role in roles.items():
        command = f'"{sys.executable}" -m azurerelay {role} "$F/{name}.json"'
        lines.append(f'{command} 2>"$F/{name}.log" & echo $! >"$F/{name}.pid"')
    return "\n".join(lines) + "\n"


def _stop_script(roles: dict[str, str]) -> str:
    lines = ["#!/bin/sh", "# Ends the processes that start.sh has started."]
    lines.append('F="$(dirname "$0")"')
    entries_first = sorted(roles, key=lambda name: roles[name] != "entry")
    lines += [f'kill "$(cat "$F/{name}.pid")" 2>/dev/null' for name in entries_first]
    return "\n".join([*lines, "true"]) + "\n"
