"""HTTP client for the operator API of the control hosts."""

import json
import urllib.error
import urllib.request
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final

import typer

REQUEST_TIMEOUT_S: Final = 10.0
EXIT_UNREACHABLE = 4


@dataclass(frozen=True, slots=True)
class ControlResponse:
    """An HTTP status and the decoded JSON body."""

    status: int
    body: Any

    @property
    def is_ok(self) -> bool:
        """Whether the status is 200."""
        return self.status == HTTPStatus.OK


class ControlClient:
    """Send requests to the control hosts in turn until one is available.

    A control host counts as unavailable if it cannot be reached or answers with
    status 503. If all are unavailable, the command prints the last error and exits.
    """

    def __init__(self, addresses: list[str], token: str) -> None:
        self._addresses = addresses
        self._token = token

    def get(self, path: str) -> ControlResponse:
        """Send a GET request and return the response."""
        return self._send("GET", path, None)

    def post(self, path: str, body: object) -> ControlResponse:
        """Send a POST request and return the response.

        A request that fails at one control host is sent to the next one, so the body
        must be safe to send twice, for example because it has a change id.
        """
        return self._send("POST", path, json.dumps(body).encode())

    def _send(self, method: str, path: str, body: bytes | None) -> ControlResponse:
        error_message = "no control host address given"
        for address in self._addresses:
            request = urllib.request.Request(
                f"http://{address}{path}",
                data=body,
                method=method,
                headers={"Authorization": f"Bearer {self._token}"},
            )
            try:
                response = send_request(request)
            except OSError as error:
                error_message = f"{address}: {error}"
                continue
            if response.status != HTTPStatus.SERVICE_UNAVAILABLE:
                return response
            error_message = f"{address}: {_error_detail(response.body)}"
        typer.echo(error_message, err=True)
        raise typer.Exit(EXIT_UNREACHABLE)


def send_request(request: urllib.request.Request) -> ControlResponse:
    """Send a request; return the response whatever its status is."""
    try:
        with urllib.request.urlopen(request, timeout=REQUEST_TIMEOUT_S) as response:
            return ControlResponse(response.status, json.load(response))
    except urllib.error.HTTPError as error:
        return ControlResponse(error.code, _decode_body(error.read()))


def _decode_body(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        return {"detail": body.decode(errors="replace")}


def _error_detail(body: Any) -> str:
    return str(body.get("detail", body)) if isinstance(body, dict) else str(body)
