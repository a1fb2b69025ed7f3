"""Commands that call the operator API of the control hosts."""

import json
import secrets
import time
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import urlencode

import typer

from azurerelay.cli._control_client import ControlClient, ControlResponse
from azurerelay.cli._table import print_table
from azurerelay.events import explain_request

EXIT_FAILED = 1
EXIT_CONFLICT = 5
WATCH_INTERVAL_S = 0.5
MS_PER_S = 1_000

Controls = Annotated[
    list[str],
    typer.Option(
        "--control",
        envvar="AZURERELAY_CONTROL",
        help="Operator API address of a control host (host:port); may be repeated.",
    ),
]
Token = Annotated[
    str, typer.Option("--token", envvar="AZURERELAY_TOKEN", help="Bearer token.")
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
TreePath = Annotated[
    str, typer.Argument(help="Settings path, for example /region/service.")
]
Reason = Annotated[str, typer.Option(help="Reason, recorded in the audit trail.")]
Author = Annotated[str, typer.Option(help="Author, recorded in the audit trail.")]
BasedOn = Annotated[
    int | None,
    typer.Option(help="Settings number that the change is based on; default: current."),
]
ChangeId = Annotated[
    str, typer.Option(help="Reuse it to retry a change whose response was lost.")
]

settings_app = typer.Typer(help="Read and change the settings tree.")
explain_app = typer.Typer(
    help="Explain how the current state or an outcome came about."
)


def register(app: typer.Typer) -> None:
    """Add the commands to the application."""
    app.add_typer(settings_app, name="settings")
    app.add_typer(explain_app, name="explain")
    app.command("status")(status)
    app.command("audit")(audit)


@settings_app.command("show")
def show(
    control: Controls, token: Token, path: TreePath = "", as_json: AsJson = False
) -> None:
    """Show the values set in the settings tree, at one path or at all paths."""
    query = f"?{urlencode({'path': path})}" if path else ""
    body = _get_or_exit(ControlClient(control, token), f"/v1/settings{query}")
    if as_json:
        typer.echo(json.dumps(body))
        return
    rows = [
        (node["path"], item["key"], item["value"])
        for node in body["nodes"]
        for item in node["assignments"]
    ]
    typer.echo(f"settings number {body['number']}")
    print_table(("PATH", "SETTING", "VALUE"), rows)


@settings_app.command("effective")
def effective(
    control: Controls, token: Token, path: TreePath = "/", as_json: AsJson = False
) -> None:
    """Show every setting in force at a path and where its value is set."""
    query = urlencode({"path": path})
    body = _get_or_exit(
        ControlClient(control, token), f"/v1/settings/effective?{query}"
    )
    if as_json:
        typer.echo(json.dumps(body))
        return
    rows = [
        (item["key"], item["value"], item["unit"], item["origin"])
        for item in body["settings"]
    ]
    print_table(("SETTING", "VALUE", "UNIT", "SET AT"), rows)


@settings_app.command("set")
def set_values(
    control: Controls,
    token: Token,
    path: TreePath,
    assignments: Annotated[list[str], typer.Argument(help="KEY=VALUE")],
    reason: Reason,
    author: Author = "",
    based_on: BasedOn = None,
    change_id: ChangeId = "",
) -> None:
    """Set values at a path of the settings tree."""
    values: dict[str, bool | int | str] = {}
    for assignment in assignments:
        key, separator, text = assignment.partition("=")
        if not separator:
            typer.echo(f"{assignment!r} is not KEY=VALUE", err=True)
            raise typer.Exit(EXIT_FAILED)
        values[key] = _parse_value(text)
    body = {"path": path, "set": values, "reason": reason, "author": author}
    _submit_change(ControlClient(control, token), body, based_on, change_id)


@settings_app.command("unset")
def unset_values(
    control: Controls,
    token: Token,
    path: TreePath,
    keys: Annotated[
        list[str], typer.Argument(help="Settings whose values are removed.")
    ],
    reason: Reason,
    author: Author = "",
    based_on: BasedOn = None,
    change_id: ChangeId = "",
) -> None:
    """Remove values at a path, so that they are inherited from the parent path."""
    body = {"path": path, "unset": keys, "reason": reason, "author": author}
    _submit_change(ControlClient(control, token), body, based_on, change_id)


@settings_app.command("history")
def history(control: Controls, token: Token, as_json: AsJson = False) -> None:
    """Show the audit records of settings changes."""
    body = _get_or_exit(ControlClient(control, token), "/v1/audit?path=/")
    _print_audit_records(body["records"], as_json)


@settings_app.command("watch")
def watch(
    control: Controls,
    token: Token,
    seconds: Annotated[int, typer.Option(min=1, help="Timeout in seconds.")] = 30,
) -> None:
    """Wait until the newest settings are in force on all hosts; exit 1 on timeout."""
    client = ControlClient(control, token)
    deadline_s = time.monotonic() + seconds
    while True:
        body = _get_or_exit(client, "/v1/status")
        lagging = [host["name"] for host in body["hosts"] if host["is_lagging"]]
        total = len(body["hosts"])
        number = body["settings_number"]
        typer.echo(
            f"settings number {number} is in force on "
            f"{total - len(lagging)} of {total} hosts"
        )
        if not lagging:
            return
        if time.monotonic() > deadline_s:
            typer.echo(
                f"timed out; hosts with older settings: {', '.join(lagging)}", err=True
            )
            raise typer.Exit(EXIT_FAILED)
        time.sleep(WATCH_INTERVAL_S)


def status(control: Controls, token: Token, as_json: AsJson = False) -> None:
    """Show hosts and groups, and the settings number in force on each host."""
    body = _get_or_exit(ControlClient(control, token), "/v1/status")
    if as_json:
        typer.echo(json.dumps(body))
        return
    typer.echo(f"leader {body['leader']}, settings number {body['settings_number']}")
    print_table(
        ("HOST", "DOMAIN", "SETTINGS", "LEASE", "STATE"),
        [
            (
                host["name"],
                host["failure_domain"],
                f"{host['settings_number']}{' (lags)' if host['is_lagging'] else ''}",
                "held" if host["has_lease"] else "none",
                "draining" if host["is_draining"] else "serving",
            )
            for host in body["hosts"]
        ],
    )
    print_table(
        ("GROUP", "TERM", "PRIMARY", "SERVING HOSTS", "TROUBLE"),
        [
            (
                group["name"],
                group["term"],
                group["primary"] or "none",
                ", ".join(group["serving"]),
                group["trouble"],
            )
            for group in body["groups"]
        ],
    )


def audit(
    control: Controls,
    token: Token,
    path: Annotated[
        str, typer.Option(help="Only records whose path starts with this.")
    ] = "",
    actor: Annotated[
        str, typer.Option(help="Only records whose actor contains this.")
    ] = "",
    minutes: Annotated[
        int, typer.Option(help="Only records of this many past minutes; 0 for all.")
    ] = 0,
    as_json: AsJson = False,
) -> None:
    """Show the audit trail."""
    query: dict[str, object] = {"path": path, "actor": actor}
    if minutes:
        since_s = time.time() - minutes * 60
        query["since_ms"] = int(since_s * MS_PER_S)
    client = ControlClient(control, token)
    _print_audit_records(
        _get_or_exit(client, f"/v1/audit?{urlencode(query)}")["records"], as_json
    )


@explain_app.command("group")
def explain_group(
    control: Controls,
    token: Token,
    name: Annotated[str, typer.Argument(help="Group name.")],
    as_json: AsJson = False,
) -> None:
    """Show the audit records behind a group's primary, serving set and settings."""
    client = ControlClient(control, token)
    query = urlencode({"path": f"groups/{name}"})
    records = _get_or_exit(client, f"/v1/audit?{query}")["records"]
    changes = _get_or_exit(client, "/v1/audit?path=/")["records"]
    inherited = [r for r in changes if _applies_to(r["path"], name)]
    _print_audit_records(sorted(records + inherited, key=lambda r: r["index"]), as_json)


@explain_app.command("request")
def explain_one_request(
    request_id: Annotated[str, typer.Argument(help="Request id of the statement.")],
    logs: Annotated[
        list[Path],
        typer.Argument(
            help="Log files of one or more processes.", exists=True, dir_okay=False
        ),
    ],
) -> None:
    """Show from log files what happened to a request and what may have caused it.

    Log lines of the request are marked with *. The other lines are events at about that
    time on its host and the endpoints it was sent to, promotions, and the event with
    which its host applied the configuration that the request used.
    """
    lines = (line for file in logs for line in _read_lines(file))
    explained = explain_request(request_id, lines)
    if not explained:
        typer.echo(f"none of {len(logs)} log files has request {request_id}", err=True)
        raise typer.Exit(1)
    rows = [
        (
            "*" if line.belongs_to_request else "",
            f"{line.offset_ms:+d} ms",
            line.host,
            line.event,
            line.details,
        )
        for line in explained
    ]
    print_table(("", "TIME", "HOST", "EVENT", "DETAILS"), rows)


def _read_lines(file: Path) -> Iterator[str]:
    with file.open(encoding="utf-8", errors="replace") as stream:
        yield from stream


def _applies_to(path: str, group: str) -> bool:
    """Return whether a path is above the level of groups or ends with the group."""
    segments = [part for part in path.split("/") if part]
    return len(segments) < 3 or segments[-1] == group


def _get_or_exit(client: ControlClient, path: str) -> Any:
    response = client.get(path)
    if not response.is_ok:
        _exit_with_error(response)
    return response.body


def _submit_change(
    client: ControlClient, body: dict[str, Any], based_on: int | None, change_id: str
) -> None:
    if based_on is None:
        based_on = int(_get_or_exit(client, "/v1/settings")["number"])
    body["based_on"] = based_on
    body["change_id"] = change_id or secrets.token_hex(8)
    if not body["author"]:
        del body["author"]
    response = client.post("/v1/settings/changes", body)
    if response.is_ok:
        typer.echo(f"accepted as settings number {response.body['number']}")
        return
    if response.status == 504:
        typer.echo(
            f"outcome unknown; retry with --change-id {body['change_id']}", err=True
        )
    if response.body.get("status") == "conflict":
        typer.echo(
            f"conflict: the settings number is now {response.body['number']}", err=True
        )
        raise typer.Exit(EXIT_CONFLICT)
    _exit_with_error(response)


def _exit_with_error(response: ControlResponse) -> None:
    findings = response.body.get("findings") or []
    for finding in findings:
        typer.echo(f"{finding['place']}: {finding['problem']}", err=True)
    if not findings:
        typer.echo(str(response.body.get("detail", response.body)), err=True)
    raise typer.Exit(EXIT_FAILED)


def _print_audit_records(records: list[dict[str, Any]], as_json: bool) -> None:
    if as_json:
        typer.echo(json.dumps(records))
        return
    for record in records:
        recorded_at = datetime.fromtimestamp(record["at_ms"] / MS_PER_S, UTC)
        timestamp = recorded_at.isoformat(timespec="milliseconds")
        typer.echo(
            f"{timestamp} {record['actor']}: {record['action']} {record['path']}"
        )
        typer.echo(f"    from  {record['before']}")
        typer.echo(f"    to    {record['after']}")
        typer.echo(f"    why   {record['reason']}")


def _parse_value(text: str) -> bool | int | str:
    try:
        return int(text)
    except ValueError:
        return text
