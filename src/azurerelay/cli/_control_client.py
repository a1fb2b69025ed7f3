"""Requests of the command line to control hosts."""

import json
import urllib.error
import urllib.request
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final

import typer

TIMEOUT_S: Final = 10.0
EXIT_UNREACHABLE = 4


@dataclass(frozen=True, slots=True)
class ControlReply:
    """An HTTP status and the decoded body."""

    status: int
    body: Any

    @property
    def is_ok(self) -> bool:
        """Whether the request was carried out."""
        return self.status == HTTPStatus.OK


class ControlClient:
    """Ask the control hosts in turn until one answers."""

    def __init__(self, addresses: list[str], token: str) -> None:
        self._addresses = addresses
        self._token = token

    def get(self, path: str) -> ControlReply:
        """Return the reply to a GET."""
        return self._ask("GET", path, None)

    def post(self, path: str, body: object) -> ControlReply:
        """Return the reply to a POST; safe to repeat with the same change id."""
        return self._ask("POST", path, json.dumps(body).encode())

    def _ask(self, method: str, path: str, body: bytes | None) -> ControlReply:
        problem = "no control host is given"
        for address in self._addresses:
            request = urllib.request.Request(
                f"http://{address}{path}",
                data=body,
                method=method,
                headers={"Authorization": f"Bearer {self._token}"},
            )
            try:
                reply = _open(request)
            except OSError as error:
                problem = f"{address}: {error}"
                continue
            if reply.status != HTTPStatus.SERVICE_UNAVAILABLE:
                return reply
            problem = f"{address}: {_detail(reply.body)}"
        typer.echo(problem, err=True)
        raise typer.Exit(EXIT_UNREACHABLE)


def _open(request: urllib.request.Request) -> ControlReply:
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            return ControlReply(response.status, json.load(response))
    except urllib.error.HTTPError as error:
        return ControlReply(error.code, _decoded(error.read()))


def _decoded(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        return {"detail": body.decode(errors="replace")}


def _detail(body: Any) -> str:
    return str(body.get("detail", body)) if isinstance(body, dict) else str(body)
