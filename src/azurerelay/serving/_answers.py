"""Builds the answers of a serving host."""

import math

from azurerelay.endpoints import EndpointFailure, FailureKind
from azurerelay.limits import Shed
from azurerelay.requests import CallerAnswer, ErrorCode, Outcome

# When a caller may retry a request that was refused without an estimated wait, for
# example during a failover.
DEFAULT_RETRY_AFTER_MS = 200


def not_run(
    code: ErrorCode, detail: str, retry_after_ms: int | None = None
) -> CallerAnswer:
    """Return the answer to a request that has not run."""
    return CallerAnswer(Outcome.NOT_RUN, code, detail, retry_after_ms=retry_after_ms)


def unknown(code: ErrorCode, detail: str) -> CallerAnswer:
    """Return the answer to a request that may or may not have run."""
    return CallerAnswer(Outcome.UNKNOWN, code, detail)


def shed_answer(shed: Shed, endpoint: str) -> CallerAnswer:
    """Return the answer to a request that admission control has shed."""
    retry_after_ms = math.ceil(shed.retry_after_ms)
    detail = f"{endpoint}: {shed.reason.value}"
    return not_run(ErrorCode.OVERLOADED, detail, retry_after_ms)


def failure_answer(failure: EndpointFailure) -> CallerAnswer:
    """Return the answer to a request whose endpoint call failed."""
    if failure.kind is FailureKind.REFUSED_STATEMENT:
        return not_run(ErrorCode.REJECTED, failure.detail)
    if failure.kind is FailureKind.REFUSED_TRANSACTION:
        return not_run(ErrorCode.TRANSACTION_GONE, failure.detail)
    if failure.kind in (FailureKind.REFUSED_TERM, FailureKind.REFUSED_ROLE):
        detail = failure.detail
        return not_run(ErrorCode.NO_PRIMARY, detail, DEFAULT_RETRY_AFTER_MS)
    if failure.guarantees_not_run:
        detail = failure.detail
        return not_run(ErrorCode.ENDPOINT_LOST, detail, DEFAULT_RETRY_AFTER_MS)
    return unknown(ErrorCode.ENDPOINT_LOST, failure.detail)
