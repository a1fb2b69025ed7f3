"""The HTTP API of an entry host for callers and endpoints."""

import re
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

import msgspec
import pydantic
from aiohttp import web
from result import Err, Ok, Result

from azurerelay.daemons._caller_bodies import (
    ANNOUNCEMENT_ADAPTER,
    STATEMENT_ADAPTER,
    AnnouncementBody,
    StatementBody,
)
from azurerelay.daemons._http_server import too_large_response
from azurerelay.daemons._problem import (
    answer_problem,
    problem_response,
    request_problem,
)
from azurerelay.daemons._process_settings import validation_findings
from azurerelay.entry import EntryNode
from azurerelay.membership import EndpointAnnouncement, EndpointRecord, Presence
from azurerelay.requests import CallerAnswer, CallerRequest, Operation
from azurerelay.runtime import as_future
from azurerelay.sessions import (
    EMPTY_TOKEN,
    GroupPosition,
    SessionToken,
    decode_token,
    encode_token,
)
from azurerelay.settings import Finding

MAX_KEY_LENGTH: Final = 200
MAX_CALLER_LENGTH: Final = 200
MAX_TIMEOUT_MS: Final = 120_000
MAX_STALENESS_MS: Final = 86_400_000

SESSION_HEADER: Final = "Azurerelay-Session"
SESSION_COOKIE: Final = "azurerelay-session"
KEY_HEADER: Final = "Idempotency-Key"
STALENESS_HEADER: Final = "Azurerelay-Max-Staleness-Ms"
TIMEOUT_HEADER: Final = "Azurerelay-Timeout-Ms"
CALLER_HEADER: Final = "Azurerelay-Caller"
EXPLAIN_HEADER: Final = "Azurerelay-Explain"

_NAME_PATTERN: Final = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_ENCODER: Final = msgspec.json.Encoder()


class EntryApi:
    """Translate HTTP requests for an `EntryNode` and its answers into responses."""

    def __init__(self, node: EntryNode) -> None:
        self._node = node

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the API."""
        group = "/v1/groups/{group}"
        transaction = group + "/transactions/{transaction}"
        return [
            web.post(group + "/statements", self._statement),
            web.post(group + "/transactions", self._begin),
            web.post(transaction + "/statements", self._statement),
            web.post(transaction + "/commit", self._commit),
            web.post(transaction + "/rollback", self._rollback),
            web.put("/v1/endpoints/{name}", self._announce),
            web.get("/healthz", self._health),
            web.get("/readyz", self._readiness),
        ]

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readiness(self, request: web.Request) -> web.Response:
        if self._node.is_ready:
            return web.Response(text="ready\n")
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, text="not ready\n")

    async def _statement(self, request: web.Request) -> web.Response:
        try:
            body = STATEMENT_ADAPTER.validate_json(await request.read())
        except web.HTTPRequestEntityTooLarge:
            return too_large_response()
        except pydantic.ValidationError as error:
            findings = validation_findings("body", error)
            return _bad_request("the body is not a statement", findings)
        is_write = body.kind == "write"
        operation = Operation.WRITE if is_write else Operation.READ
        return await self._run_operation(request, operation, body)

    async def _begin(self, request: web.Request) -> web.Response:
        return await self._run_operation(request, Operation.BEGIN, None)

    async def _commit(self, request: web.Request) -> web.Response:
        return await self._run_operation(request, Operation.COMMIT, None)

    async def _rollback(self, request: web.Request) -> web.Response:
        return await self._run_operation(request, Operation.ROLLBACK, None)

    async def _run_operation(
        self, request: web.Request, operation: Operation, body: StatementBody | None
    ) -> web.Response:
        token = _session_token(request)
        if isinstance(token, Err):
            return _bad_request("a header or the path is wrong", (token.err_value,))
        build_result = self._build_request(request, operation, body, token.ok_value)
        if isinstance(build_result, Err):
            return _bad_request("a header or the path is wrong", build_result.err_value)
        caller_request = build_result.ok_value
        answer = await as_future(self._node.handle(caller_request))
        has_session_header = SESSION_HEADER in request.headers
        return self._build_response(
            caller_request, answer, token.ok_value, has_session_header
        )

    def _build_request(
        self,
        request: web.Request,
        operation: Operation,
        body: StatementBody | None,
        token: SessionToken,
    ) -> Result[CallerRequest, tuple[Finding, ...]]:
        findings: list[Finding] = []
        headers = request.headers
        group = request.match_info["group"]
        if not _NAME_PATTERN.fullmatch(group):
            findings.append(Finding("path", f"{group[:80]!r} is no name of a group"))
        timeout_ms = _integer_header(
            headers, TIMEOUT_HEADER, 1, MAX_TIMEOUT_MS, findings
        )
        staleness_ms = _integer_header(
            headers, STALENESS_HEADER, 0, MAX_STALENESS_MS, findings
        )
        key = _text_header(headers, KEY_HEADER, MAX_KEY_LENGTH, findings)
        caller = _text_header(headers, CALLER_HEADER, MAX_CALLER_LENGTH, findings)
        transaction = request.match_info.get("transaction")
        is_keyless = key is None and transaction is None and body is not None
        if operation is Operation.WRITE and is_keyless and not is_body_idempotent(body):
            problem = "a write that is not idempotent needs an Idempotency-Key header"
            findings.append(Finding("body:$.idempotent", problem))
        if findings:
            return Err(tuple(findings))
        if timeout_ms is None:
            timeout_ms = self._node.state.policy(group).timeout_ms
        position = token.position(group)
        return Ok(
            CallerRequest(
                operation=operation,
                group=group,
                timeout_ms=float(timeout_ms),
                caller=caller or request.remote or "",
                statement=body.statement if body else "",
                parameters=tuple(body.parameters) if body else (),
                is_idempotent=is_body_idempotent(body),
                idempotency_key=key,
                transaction=transaction,
                token_term=position.term,
                token_position=position.position,
                max_staleness_ms=staleness_ms,
                is_explained=headers.get(EXPLAIN_HEADER) == "1",
            )
        )

    def _build_response(
        self,
        request: CallerRequest,
        answer: CallerAnswer,
        token: SessionToken,
        has_session_header: bool,
    ) -> web.Response:
        headers = self._response_headers(request, answer, token, has_session_header)
        if not answer.is_done:
            is_resend_safe = request.is_idempotent or bool(request.idempotency_key)
            problem = answer_problem(answer, is_resend_safe)
            return problem_response(problem, headers)
        headers["Content-Type"] = "application/json"
        body: dict[str, object] = {"outcome": answer.outcome.value}
        if request.operation in (Operation.READ, Operation.WRITE):
            body["rows"] = answer.rows
        if request.operation is Operation.BEGIN:
            body["transaction"] = answer.transaction
        if answer.is_replay:
            body["replay"] = True
        if answer.explanation:
            body["explanation"] = answer.explanation
        is_begin = request.operation is Operation.BEGIN
        return web.Response(
            status=HTTPStatus.CREATED if is_begin else HTTPStatus.OK,
            body=_ENCODER.encode(body),
            headers=headers,
        )

    def _response_headers(
        self,
        request: CallerRequest,
        answer: CallerAnswer,
        token: SessionToken,
        has_session_header: bool,
    ) -> dict[str, str]:
        headers = {}
        if answer.position:
            position = GroupPosition(answer.term, answer.position, request.group)
            token = token.with_position(position)
        if token.positions:
            text = encode_token(token)
            headers[SESSION_HEADER] = text
            if not has_session_header:
                headers["Set-Cookie"] = f"{SESSION_COOKIE}={text}; Path=/; HttpOnly"
        if answer.staleness_ms is not None:
            headers["Azurerelay-Staleness-Ms"] = f"{answer.staleness_ms:.0f}"
        if answer.endpoint:
            role = "replica" if answer.is_from_replica else "primary"
            served_by = f"{answer.endpoint}; role={role}; host={answer.host}"
            headers["Azurerelay-Served-By"] = served_by
        return headers

    async def _announce(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        try:
            body = ANNOUNCEMENT_ADAPTER.validate_json(await request.read())
        except web.HTTPRequestEntityTooLarge:
            return too_large_response()
        except pydantic.ValidationError as error:
            findings = validation_findings("body", error)
            return _bad_request("the body is not an announcement", findings)
        if not _NAME_PATTERN.fullmatch(name):
            finding = Finding("path", f"{name[:80]!r} is no name of an endpoint")
            return _bad_request("the path is wrong", (finding,))
        known = self._node.state.endpoints.get(name)
        if known is not None and known.group != body.group:
            finding = Finding("body:$.group", f"{name} belongs to {known.group}")
            return _bad_request(
                "the announcement contradicts an earlier one", (finding,)
            )
        self._node.announce(_announcement(name, body))
        return web.Response(status=HTTPStatus.ACCEPTED)


def is_body_idempotent(body: StatementBody | None) -> bool:
    """Return whether there is a body that marks its statement as idempotent."""
    return body is not None and body.idempotent


def _announcement(name: str, body: AnnouncementBody) -> EndpointAnnouncement:
    endpoint = EndpointRecord(
        name=name,
        group=body.group,
        address=body.address,
        failure_domain=body.failure_domain,
        slots=body.slots,
        connection_limit=body.connection_limit,
        can_fence=body.can_fence,
        presence=Presence.LEAVING if body.leaving else Presence.PRESENT,
    )
    return EndpointAnnouncement(endpoint, body.term, body.position, age_ms=0)


def _bad_request(title: str, findings: tuple[Finding, ...]) -> web.Response:
    return problem_response(request_problem(HTTPStatus.BAD_REQUEST, title, findings))


def _session_token(request: web.Request) -> Result[SessionToken, Finding]:
    """Return the token of the header, or else the cookie, or else an empty one."""
    token = EMPTY_TOKEN
    header = request.headers.get(SESSION_HEADER)
    cookie = None if header is not None else request.cookies.get(SESSION_COOKIE)
    for place, text in ((SESSION_HEADER, header), (SESSION_COOKIE, cookie)):
        if not text:
            continue
        decoded = decode_token(text)
        if isinstance(decoded, Err):
            return Err(Finding(place, f"bad token: {decoded.err_value.reason}"))
        token = decoded.ok_value
    return Ok(token)


def _integer_header(
    headers: Mapping[str, str],
    name: str,
    minimum: int,
    maximum: int,
    findings: list[Finding],
) -> int | None:
    """Return a header as an integer; None if it is absent or invalid.

    An invalid header adds a finding.
    """
    text = headers.get(name)
    if text is None:
        return None
    is_number = text.isascii() and text.isdecimal() and len(text) <= len(str(maximum))
    if not is_number or not minimum <= int(text) <= maximum:
        problem = f"must be a whole number from {minimum} to {maximum}"
        findings.append(Finding(f"header {name}", problem))
        return None
    return int(text)


def _text_header(
    headers: Mapping[str, str],
    name: str,
    max_length: int,
    findings: list[Finding],
) -> str | None:
    """Return a header as text; None if it is absent or invalid.

    An invalid header adds a finding.
    """
    text = headers.get(name)
    if text is None:
        return None
    if not text or len(text) > max_length or not text.isprintable():
        problem = f"must be printable text of 1 to {max_length} characters"
        findings.append(Finding(f"header {name}", problem))
        return None
    return text
