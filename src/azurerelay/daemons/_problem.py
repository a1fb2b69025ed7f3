"""Error responses with application/problem+json bodies."""

import math
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

import msgspec
from aiohttp import web

from azurerelay.requests import CallerAnswer, ErrorCode, Outcome
from azurerelay.settings import Finding

PROBLEM_CONTENT_TYPE: Final = "application/problem+json"
_MS_PER_S: Final = 1_000

STATUS_BY_CODE: Final = {
    ErrorCode.NO_PRIMARY: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.NO_ROUTE: HTTPStatus.NOT_FOUND,
    ErrorCode.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.REJECTED: HTTPStatus.UNPROCESSABLE_ENTITY,
    ErrorCode.ENDPOINT_LOST: HTTPStatus.BAD_GATEWAY,
    ErrorCode.UNCONFIRMED: HTTPStatus.GATEWAY_TIMEOUT,
    ErrorCode.STALE: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    ErrorCode.KEY_IN_FLIGHT: HTTPStatus.CONFLICT,
    ErrorCode.KEY_UNDECIDED: HTTPStatus.CONFLICT,
    ErrorCode.REGISTRY_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.REGISTRY_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.TRANSACTION_GONE: HTTPStatus.GONE,
    ErrorCode.TRANSACTION_BUSY: HTTPStatus.CONFLICT,
    ErrorCode.DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.NONE: HTTPStatus.GATEWAY_TIMEOUT,
}


@dataclass(frozen=True, slots=True)
class Problem:
    """The body of an error response; `outcome` says if the request was run."""

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    is_retry_safe: bool
    retry_after_ms: int | None = None
    findings: tuple[Finding, ...] = ()
    explanation: tuple[str, ...] = ()


def problem_response(
    problem: Problem, headers: dict[str, str] | None = None
) -> web.Response:
    """Return the response, with a Retry-After header if a delay is given."""
    all_headers = dict(headers or {})
    if problem.retry_after_ms is not None:
        seconds = max(1, math.ceil(problem.retry_after_ms / _MS_PER_S))
        all_headers["Retry-After"] = str(seconds)
    return web.Response(
        status=problem.status,
        body=msgspec.json.encode(problem),
        content_type=PROBLEM_CONTENT_TYPE,
        headers=all_headers,
    )


def answer_problem(answer: CallerAnswer, is_resend_safe: bool) -> Problem:
    """Return the problem for an answer whose outcome is not DONE.

    `is_resend_safe` says that the request may run twice, or is recognized by its
    idempotency key when sent again.
    """
    status = STATUS_BY_CODE[answer.code]
    is_not_run = answer.outcome is Outcome.NOT_RUN
    return Problem(
        type=f"urn:azurerelay:error:{answer.code.value}",
        title=answer.code.value.replace("_", " "),
        status=status,
        detail=answer.detail,
        outcome=answer.outcome.value,
        is_retry_safe=is_not_run or is_resend_safe,
        retry_after_ms=answer.retry_after_ms,
        explanation=answer.explanation,
    )


def request_problem(
    status: int, title: str, findings: tuple[Finding, ...] = ()
) -> Problem:
    """Return the problem for a request that the API rejects; its outcome is NOT_RUN."""
    return Problem(
        type="urn:azurerelay:error:bad_request",
        title=title,
        status=status,
        detail="; ".join(str(finding) for finding in findings) or title,
        outcome=Outcome.NOT_RUN.value,
        is_retry_safe=False,
        findings=findings,
    )
