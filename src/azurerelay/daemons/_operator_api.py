"""The HTTP API of a control host for operators."""

import asyncio
import hashlib
import hmac
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import Annotated, Any, ClassVar, Final, TypeVar

import msgspec
import pydantic
from aiohttp import web
from aiohttp.typedefs import Handler

from azurerelay.control import ControlNode
from azurerelay.daemons._problem import problem_response, request_problem
from azurerelay.daemons._process_settings import TokenSettings, validation_findings
from azurerelay.daemons._wire_numbers import MAX_INTEGER, NUMBER_CHECK
from azurerelay.membership import ChangeOutcome, ChangeSettings, ChangeStatus
from azurerelay.requests import Outcome
from azurerelay.runtime import as_future
from azurerelay.settings import Assignment, Finding, check_path
from azurerelay.timing import Promise, TimerService

T = TypeVar("T")

DEFAULT_AUDIT_PAGE_SIZE: Final = 1_000
# How long requests in progress may take once the host is to stop; as long as a control
# host waits for its leader.
DRAIN_LIMIT_S: Final = 3.0
_HTTP_STATUS: Final = {
    ChangeStatus.ACCEPTED: HTTPStatus.OK,
    ChangeStatus.CONFLICT: HTTPStatus.CONFLICT,
    ChangeStatus.INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
}


@dataclass(frozen=True, slots=True)
class ChangeBody:
    """A change of one node of the settings tree.

    `based_on` must be the settings number in force; otherwise there is a conflict.
    """

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = pydantic.ConfigDict(
        extra="forbid", strict=True
    )

    change_id: Annotated[str, pydantic.Field(min_length=1, max_length=100)]
    based_on: Annotated[int, pydantic.Field(ge=0, le=MAX_INTEGER)]
    reason: Annotated[str, pydantic.Field(min_length=1, max_length=1_000)]
    path: Annotated[str, pydantic.Field(min_length=1, max_length=200)]
    author: Annotated[str, pydantic.Field(min_length=1, max_length=100)] = ""
    set: dict[str, Annotated[bool | int | str, NUMBER_CHECK]] = field(
        default_factory=dict
    )
    unset: list[str] = field(default_factory=list)


_CHANGE_ADAPTER: Final = pydantic.TypeAdapter(ChangeBody)


class OperatorApi:
    """Serve settings, audit trail and status to operators with bearer tokens."""

    def __init__(
        self,
        node: ControlNode,
        tokens: list[TokenSettings],
        timers: TimerService,
    ) -> None:
        self._node = node
        self._tokens = tokens
        self._timers = timers
        self._calls: set[asyncio.Future[Any]] = set()
        self._has_given_up = False

    @property
    def name(self) -> str:
        """The component's name in log lines."""
        return "operator requests"

    async def start(self) -> None:
        """Do nothing; the HTTP server passes the requests on."""

    async def drain(self) -> None:
        """Wait for the outcomes of requests, and answer those that have none in time.

        A change without an outcome is answered with `unknown`.
        """
        if self._calls:
            await asyncio.wait(self._calls, timeout=DRAIN_LIMIT_S)
        self._has_given_up = True
        for call in tuple(self._calls):
            call.cancel()

    async def stop(self) -> None:
        """Do nothing; the HTTP server closes the connections."""

    async def _outcome(self, promise: Promise[T], without_outcome: T) -> T:
        """Return the outcome of a call of the node, or what stands for none."""
        if self._has_given_up:
            return without_outcome
        call = as_future(promise)
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        await asyncio.wait((call,))
        return without_outcome if call.cancelled() else call.result()

    def _unavailable_response(self) -> web.Response:
        title = "no leader: a majority of the control hosts cannot be reached"
        if self._has_given_up:
            title = "this control host is stopping: ask another one"
        return problem_response(request_problem(HTTPStatus.SERVICE_UNAVAILABLE, title))

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the API."""
        return [
            web.get("/healthz", self._health),
            web.get("/readyz", self._readiness),
            web.get("/v1/settings", self._settings),
            web.get("/v1/settings/effective", self._effective),
            web.post("/v1/settings/changes", self._change),
            web.get("/v1/audit", self._audit),
            web.get("/v1/status", self._status),
        ]

    @web.middleware
    async def authenticate(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Refuse requests without a known bearer token.

        Health and readiness checks and metrics need none.
        """
        if request.path in ("/healthz", "/readyz", "/metrics"):
            return await handler(request)
        operator = self._operator(request.headers.get("Authorization", ""))
        if operator is None:
            problem = request_problem(
                HTTPStatus.UNAUTHORIZED, "a bearer token is needed"
            )
            return problem_response(problem, {"WWW-Authenticate": "Bearer"})
        request["operator"] = operator
        return await handler(request)

    def _operator(self, authorization: str) -> str | None:
        """Return the operator whose token an Authorization header holds, or None.

        All known tokens are compared, each in constant time.
        """
        scheme, _, token = authorization.partition(" ")
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = None
        for known in self._tokens:
            if hmac.compare_digest(known.sha256, digest):
                found = known.name
        return found if scheme.lower() == "bearer" else None

    async def _health(self, request: web.Request) -> web.Response:
        error = self._node.raft.disk_error
        if error is not None:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, text=error)
        return web.Response(text="ok\n")

    async def _readiness(self, request: web.Request) -> web.Response:
        if self._node.raft.leader is None:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            return web.Response(status=status, text="no leader\n")
        return web.Response(text="ready\n")

    async def _settings(self, request: web.Request) -> web.Response:
        if not await self._outcome(self._node.read_barrier(), False):
            return self._unavailable_response()
        path = request.query.get("path")
        nodes = self._node.state.settings.nodes
        selected = [node for node in nodes if path is None or node.path == path]
        return _json_response(
            {"number": self._node.state.settings_number, "nodes": selected}
        )

    async def _effective(self, request: web.Request) -> web.Response:
        path = request.query.get("path", "/")
        finding = check_path(path)
        if finding is not None:
            problem = request_problem(HTTPStatus.BAD_REQUEST, "bad path", (finding,))
            return problem_response(problem)
        if not await self._outcome(self._node.read_barrier(), False):
            return self._unavailable_response()
        state = self._node.state
        settings = state.settings.effective(path)
        return _json_response(
            {"number": state.settings_number, "path": path, "settings": settings}
        )

    async def _change(self, request: web.Request) -> web.Response:
        try:
            body = _CHANGE_ADAPTER.validate_json(await request.read())
        except pydantic.ValidationError as error:
            findings = validation_findings("body", error)
            title = "the body is not a change of settings"
            problem = request_problem(HTTPStatus.BAD_REQUEST, title, findings)
            return problem_response(problem)
        operator = str(request["operator"])
        change = ChangeSettings(
            at_ms=self._timers.wall_clock_ms(),
            actor=f"{body.author} ({operator})" if body.author else operator,
            change_id=body.change_id,
            based_on=body.based_on,
            reason=body.reason,
            path=body.path,
            assignments=tuple(Assignment(k, v) for k, v in body.set.items()),
            unset=tuple(body.unset),
        )
        outcome = await self._outcome(self._node.change_settings(change), None)
        if outcome is None:
            return _unknown_outcome_response()
        return _change_response(outcome)

    async def _audit(self, request: web.Request) -> web.Response:
        if not await self._outcome(self._node.read_barrier(), False):
            return self._unavailable_response()
        query = request.query
        findings: list[Finding] = []
        since_ms = _integer_parameter(query.get("since_ms"), "since_ms", findings)
        limit = _integer_parameter(query.get("limit"), "limit", findings)
        if findings:
            title = "the query is wrong"
            status = HTTPStatus.BAD_REQUEST
            return problem_response(request_problem(status, title, tuple(findings)))
        path = query.get("path", "")
        actor = query.get("actor", "")
        records = [
            record
            for record in self._node.state.audit
            if record.at_ms >= (since_ms or 0)
            and record.path.startswith(path)
            and actor in record.actor
        ]
        return _json_response(
            {"records": records[-(limit or DEFAULT_AUDIT_PAGE_SIZE) :]}
        )

    async def _status(self, request: web.Request) -> web.Response:
        status = await self._outcome(self._node.status(), None)
        return (
            self._unavailable_response() if status is None else _json_response(status)
        )


def _integer_parameter(
    text: str | None, name: str, findings: list[Finding]
) -> int | None:
    if text is None:
        return None
    if not (text.isascii() and text.isdecimal() and len(text) <= 16):
        findings.append(Finding(f"query {name}", "must be a whole number"))
        return None
    return int(text)


def _json_response(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


def _unknown_outcome_response() -> web.Response:
    title = "the change may or may not be accepted: send it again with the same id"
    return problem_response(
        replace(
            request_problem(HTTPStatus.GATEWAY_TIMEOUT, title),
            type="urn:azurerelay:error:unconfirmed",
            outcome=Outcome.UNKNOWN.value,
            is_retry_safe=True,  # a change id that is known gets the same answer
        )
    )


def _change_response(outcome: ChangeOutcome) -> web.Response:
    return web.Response(
        status=_HTTP_STATUS[outcome.status],
        body=msgspec.json.encode(outcome),
        content_type="application/json",
    )
