"""The quickstart command: settings and scripts for a small fleet on loopback."""

import hashlib
import json
import sys
from pathlib import Path
from typing import Annotated, Any, Final

import typer

OPERATOR_TOKEN: Final = "quickstart"
GROUP: Final = "roster"
FAILURE_DOMAINS: Final = ("north", "central", "south")
EXIT_EXISTS: Final = 1


def register(app: typer.Typer) -> None:
    """Add the command to the application."""
    app.command("quickstart")(quickstart)


def quickstart(
    folder: Annotated[Path, typer.Argument(help="Folder to create.")],
) -> None:
    """Write the settings of a fleet on loopback, with scripts to start and stop it.

    The fleet has three control hosts, three entry hosts and three simulated database
    endpoints. The scripts are start.sh and stop.sh.
    """
    if folder.exists():
        typer.echo(f"{folder}: already exists, not overwritten", err=True)
        raise typer.Exit(EXIT_EXISTS)
    folder.mkdir(parents=True)
    roles = {}
    for settings in fleet_settings(folder):
        name = str(settings["name"])
        roles[name] = str(settings["role"])
        text = json.dumps(settings, indent=2) + "\n"
        (folder / f"{name}.json").write_text(text)
    (folder / "start.sh").write_text(_start_script(roles))
    (folder / "stop.sh").write_text(_stop_script(roles))
    typer.echo(f"{folder}: wrote {len(roles)} settings files, start.sh and stop.sh")


def fleet_settings(folder: Path) -> list[dict[str, Any]]:
    """Return the settings of each process of the fleet."""
    control_hosts = [
        {
            "name": f"control-{number}",
            "link": f"127.0.0.1:{7100 + number}",
            "failure_domain": domain,
        }
        for number, domain in enumerate(FAILURE_DOMAINS, start=1)
    ]
    caller_addresses = [f"127.0.0.1:{8080 + number}" for number in range(1, 4)]
    all_settings: list[dict[str, Any]] = []
    for number, domain in enumerate(FAILURE_DOMAINS, start=1):
        common = {"failure_domain": domain, "log_format": "text"}
        all_settings.append(
            {
                "role": "control",
                "name": f"control-{number}",
                "operators": f"127.0.0.1:{7200 + number}",
                "link": f"127.0.0.1:{7100 + number}",
                "data_folder": str(folder / f"control-{number}.data"),
                "voters": control_hosts,
                "tokens": [{"name": "operator", "sha256": _sha256(OPERATOR_TOKEN)}],
                **common,
            }
        )
        all_settings.append(
            {
                "role": "entry",
                "name": f"entry-{number}",
                "callers": caller_addresses[number - 1],
                "link": f"127.0.0.1:{7300 + number}",
                "control_hosts": control_hosts,
                **common,
            }
        )
        all_settings.append(
            {
                "role": "standin",
                "name": f"{GROUP}-{number}",
                "group": GROUP,
                "listen": f"127.0.0.1:{9000 + number}",
                "entry_hosts": caller_addresses,
                **common,
            }
        )
    return all_settings


def _sha256(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def _start_script(roles: dict[str, str]) -> str:
    lines = [
        "#!/bin/sh",
        "# Starts the fleet in the background; logs go to the folder of this script.",
    ]
    lines.append('F="$(dirname "$0")"')
    for name, role in roles.items():
        command = f'"{sys.executable}" -m azurerelay {role} "$F/{name}.json"'
        lines.append(f'{command} 2>"$F/{name}.log" & echo $! >"$F/{name}.pid"')
    return "\n".join(lines) + "\n"


def _stop_script(roles: dict[str, str]) -> str:
    lines = [
        "#!/bin/sh",
        "# Stops the processes started by start.sh, entry hosts first.",
    ]
    lines.append('F="$(dirname "$0")"')
    entries_first = sorted(roles, key=lambda name: roles[name] != "entry")
    lines += [f'kill "$(cat "$F/{name}.pid")" 2>/dev/null' for name in entries_first]
    return "\n".join([*lines, "true"]) + "\n"
