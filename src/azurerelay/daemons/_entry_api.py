"""The HTTP interface of an entry host towards callers and endpoints."""

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
    input_problem,
    problem_response,
)
from azurerelay.daemons._process_settings import findings_of
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

_NAME: Final = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_ENCODER: Final = msgspec.json.Encoder()


class EntryApi:
    """Turn HTTP requests into decisions and their answers into responses."""

    def __init__(self, node: EntryNode) -> None:
        self._node = node

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the interface."""
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
            findings = findings_of("body", error)
            return _bad_request("the body is not a statement", findings)
        is_write = body.kind == "write"
        operation = Operation.WRITE if is_write else Operation.READ
        return await self._run(request, operation, body)

    async def _begin(self, request: web.Request) -> web.Response:
        return await self._run(request, Operation.BEGIN, None)

    async def _commit(self, request: web.Request) -> web.Response:
        return await self._run(request, Operation.COMMIT, None)

    async def _rollback(self, request: web.Request) -> web.Response:
        return await self._run(request, Operation.ROLLBACK, None)

    async def _run(
        self, request: web.Request, operation: Operation, body: StatementBody | None
    ) -> web.Response:
        token = _token_of(request)
        if isinstance(token, Err):
            return _bad_request("a header or the path is wrong", (token.err_value,))
        built = self._build(request, operation, body, token.ok_value)
        if isinstance(built, Err):
            return _bad_request("a header or the path is wrong", built.err_value)
        caller_request = built.ok_value
        answer = await as_future(self._node.handle(caller_request))
        has_header = SESSION_HEADER in request.headers
        return self._respond(caller_request, answer, token.ok_value, has_header)

    def _build(
        self,
        request: web.Request,
        operation: Operation,
        body: StatementBody | None,
        token: SessionToken,
    ) -> Result[CallerRequest, tuple[Finding, ...]]:
        findings: list[Finding] = []
        headers = request.headers
        group = request.match_info["group"]
        if not _NAME.fullmatch(group):
            findings.append(Finding("path", f"{group[:80]!r} is no name of a group"))
        timeout_ms = _number(headers, TIMEOUT_HEADER, 1, MAX_TIMEOUT_MS, findings)
        staleness_ms = _number(headers, STALENESS_HEADER, 0, MAX_STALENESS_MS, findings)
        key = _text(headers, KEY_HEADER, MAX_KEY_LENGTH, findings)
        caller = _text(headers, CALLER_HEADER, MAX_CALLER_LENGTH, findings)
        transaction = request.match_info.get("transaction")
        is_keyless = key is None and transaction is None and body is not None
        if operation is Operation.WRITE and is_keyless and not body_idempotent(body):
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
                is_idempotent=body_idempotent(body),
                idempotency_key=key,
                transaction=transaction,
                token_term=position.term,
                token_position=position.position,
                max_staleness_ms=staleness_ms,
                is_explained=headers.get(EXPLAIN_HEADER) == "1",
            )
        )

    def _respond(
        self,
        request: CallerRequest,
        answer: CallerAnswer,
        token: SessionToken,
        has_header: bool,
    ) -> web.Response:
        headers = self._headers(request, answer, token, has_header)
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
        is_begun = request.operation is Operation.BEGIN
        return web.Response(
            status=HTTPStatus.CREATED if is_begun else HTTPStatus.OK,
            body=_ENCODER.encode(body),
            headers=headers,
        )

    def _headers(
        self,
        request: CallerRequest,
        answer: CallerAnswer,
        token: SessionToken,
        has_header: bool,
    ) -> dict[str, str]:
        headers = {}
        if answer.position:
            position = GroupPosition(answer.term, answer.position, request.group)
            token = token.merged(position)
        if token.positions:
            text = encode_token(token)
            headers[SESSION_HEADER] = text
            if not has_header:
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
            findings = findings_of("body", error)
            return _bad_request("the body is not an announcement", findings)
        if not _NAME.fullmatch(name):
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


def body_idempotent(body: StatementBody | None) -> bool:
    """Return whether a body says that its statement may be repeated."""
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
    return problem_response(input_problem(HTTPStatus.BAD_REQUEST, title, findings))


def _token_of(request: web.Request) -> Result[SessionToken, Finding]:
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


def _number(
    headers: Mapping[str, str],
    name: str,
    minimum: int,
    maximum: int,
    findings: list[Finding],
) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    is_number = text.isascii() and text.isdecimal() and len(text) <= len(str(maximum))
    if not is_number or not minimum <= int(text) <= maximum:
        problem = f"must be a whole number from {minimum} to {maximum}"
        findings.append(Finding(f"header {name}", problem))
        return None
    return int(text)


def _text(
    headers: Mapping[str, str],
    name: str,
    limit: int,
    findings: list[Finding],
) -> str | None:
    text = headers.get(name)
    if text is None:
        return None
    if not text or len(text) > limit or not text.isprintable():
        problem = f"must be printable text of 1 to {limit} characters"
        findings.append(Finding(f"header {name}", problem))
        return None
    return text
