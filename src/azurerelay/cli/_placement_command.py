"""The command that asks an entry host where a statement would go now."""

import json
import urllib.request
from http.client import HTTPException
from typing import Annotated, Any, Final
from urllib.parse import urlencode

import typer

from azurerelay.cli._control_client import EXIT_UNREACHABLE, send_request
from azurerelay.cli._operator_commands import EXIT_FAILED, AsJson, explain_app
from azurerelay.cli._table import print_table
from azurerelay.relay import StatementKind

PAGE: Final = "/placement"
HEADER: Final = (
    "ENDPOINT SHARE COST RTT REGION SERVICE CONNECT PENDING LAG POSITION HEARD EXCLUDED"
).split()


def register() -> None:
    """Add the command to the group of `explain` commands."""
    explain_app.command("placement")(explain_placement)


def explain_placement(
    host: Annotated[
        str,
        typer.Option(help="Metrics address of a running entry host (host:port)."),
    ],
    database: Annotated[str, typer.Option(help="Database name of a route.")],
    statement: Annotated[
        StatementKind, typer.Option(help="Kind of statement.")
    ] = StatementKind.READ,
    customer: Annotated[
        str | None, typer.Option(help="Name of a customer; never a key.")
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Show where a statement would go from a host now, and why, without sending it."""
    query = {"database": database, "statement": statement.value}
    if customer is not None:
        query["customer"] = customer
    try:
        request = urllib.request.Request(f"http://{host}{PAGE}?{urlencode(query)}")
        response = send_request(request)
    except (OSError, ValueError, HTTPException) as error:
        typer.echo(f"{host}: no placement page: {error}", err=True)
        raise typer.Exit(EXIT_UNREACHABLE) from None
    if not response.is_ok:
        detail = (
            response.body.get("detail") or "no placement page; is it an entry host?"
        )
        typer.echo(f"{host}: status {response.status}: {detail}", err=True)
        raise typer.Exit(EXIT_FAILED)
    if as_json:
        typer.echo(json.dumps(response.body))
        return
    _print_explanation(response.body)


def _print_explanation(body: dict[str, Any]) -> None:
    way = "recent answers" if body["are_connections_scarce"] else "lowest cost"
    used = [e for e in body["endpoints"] if e["evaluation"]["share"] > 0.0]
    names = ", ".join(e["evaluation"]["candidate"]["name"] for e in used)
    typer.echo(
        f"{body['statement']} on {body['database']} at {body['host']}: "
        f"{body['obstacle'] or 'would go to ' + (names or 'an endpoint not known yet')}"
    )
    typer.echo(
        f"group {body['group']}, consistency {body['consistency']}, reads by {way}, "
        f"configuration {body['configuration_version']} confirmed "
        f"{_ago(body['configuration_age_ms'])}"
    )
    required = body["required"]
    if required is not None:
        assumed = " (assumed: the newest known)" if required["is_assumed"] else ""
        typer.echo(
            f"required position {_position(required['position'])}{assumed}, known for "
            f"{_ms(required['age_ms'])}: {required['source']}"
        )
    _print_quota(body["customer"], body["quota"])
    print_table(HEADER, [_row(endpoint) for endpoint in body["endpoints"]])
    if body["omitted_endpoints"]:
        typer.echo(f"{body['omitted_endpoints']} more endpoints are not listed")


def _print_quota(customer: str, quota: dict[str, Any] | None) -> None:
    if quota is None:
        typer.echo(f"customer {customer or 'none'}: no quota")
        return
    heard = "heard" if quota["is_control_heard"] else "silent"
    fraction = quota["fraction"]
    admitted = (
        f"{quota['local_share_per_s']:.2f}/s of this host's own"
        if fraction is None
        else f"{fraction:.1%} of its operations"
    )
    typer.echo(
        f"customer {customer}: {quota['rate_per_s']:g}/s, burst {quota['burst']:g}; "
        f"admitted: {admitted}; control {heard}, last message "
        f"{_ago(quota['control_silence_ms'])}"
    )


def _row(endpoint: dict[str, Any]) -> tuple[object, ...]:
    evaluation = endpoint["evaluation"]
    candidate = evaluation["candidate"]
    load = candidate["load"]
    service_ms = candidate["service_ms"] - candidate["connect_ms"]
    weight = f"considered at {load['weight']:.0%}" if load["weight"] < 1.0 else ""
    crowded = "crowded" if endpoint["is_crowded"] else ""
    notes = (evaluation["exclusion"], weight, crowded)
    return (
        candidate["name"] + (" (primary)" if candidate["is_primary"] else ""),
        f"{evaluation['share']:.0%}",
        _ms(evaluation["cost_ms"]),
        _ms(candidate["round_trip_ms"]),
        _ms(candidate["cross_region_penalty_ms"]),
        _ms(load["mean_ms"] if load["answers"] else service_ms),
        _ms(candidate["connect_ms"]),
        candidate["pending_statements"],
        _ms(candidate["lag_ms"]),
        f"{_position(candidate['position'])} {_ago(endpoint['position_age_ms'])}",
        _ago(endpoint["outcome_age_ms"]),
        "; ".join(note for note in notes if note),
    )


def _ms(value: float | None) -> str:
    return "-" if value is None else f"{value:.1f} ms"


def _ago(value: float | None) -> str:
    return "never" if value is None else f"{value:.0f} ms ago"


def _position(value: list[int] | None) -> str:
    return "unknown" if value is None else ".".join(map(str, value))
