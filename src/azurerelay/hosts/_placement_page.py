"""The page on which an entry host explains where a statement would go now."""

from collections.abc import Callable
from typing import Final
from urllib.parse import parse_qsl

import msgspec
from result import Err, Ok, Result

from azurerelay.hosts._http_service import HttpRequest, HttpServerResponse
from azurerelay.relay import (
    PlacementError,
    PlacementExplanation,
    PlacementQuery,
    StatementKind,
)

PLACEMENT_PATH: Final = "/placement"
MAX_QUERY_BYTES: Final = 2_048  # several times the longest names
_FIELDS: Final = frozenset({"database", "statement", "customer"})
_STATUS: Final = {
    PlacementError.NO_CONFIGURATION: 503,
    PlacementError.UNKNOWN_DATABASE: 404,
    PlacementError.UNKNOWN_CUSTOMER: 404,
}

ExplainPlacement = Callable[
    [PlacementQuery], Result[PlacementExplanation, PlacementError]
]


def answer_placement(
    request: HttpRequest, explain: ExplainPlacement
) -> HttpServerResponse:
    """Return an explanation as JSON, or an error that repeats nothing of the query.

    The query may hold a key by mistake.
    """
    if request.method != "GET":
        return _error(405, "only GET is allowed")
    query = parse_placement_query(request.query)
    if isinstance(query, Err):
        return _error(400, query.err_value)
    explained = explain(query.ok_value)
    if isinstance(explained, Err):
        return _error(_STATUS[explained.err_value], explained.err_value.value)
    return HttpServerResponse(200, msgspec.json.encode(explained.ok_value))


def parse_placement_query(text: str) -> Result[PlacementQuery, str]:
    """Decode a query string; the error says what is wrong with it."""
    if len(text) > MAX_QUERY_BYTES:
        return Err(f"the query is longer than {MAX_QUERY_BYTES} bytes")
    try:
        pairs = parse_qsl(
            text,
            keep_blank_values=True,
            strict_parsing=True,
            errors="strict",
            max_num_fields=len(_FIELDS),
        )
    except ValueError:
        return Err("the query must have the form database=NAME&statement=read")
    fields = dict(pairs)
    if len(fields) < len(pairs) or not fields.keys() <= _FIELDS:
        return Err("allowed once each: database, statement, customer (a name)")
    if not fields.get("database"):
        return Err("database is missing")
    try:
        statement = StatementKind(fields.get("statement", StatementKind.READ.value))
    except ValueError:
        kinds = ", ".join(kind.value for kind in StatementKind)
        return Err(f"statement must be one of {kinds}")
    return Ok(PlacementQuery(fields["database"], statement, fields.get("customer")))


def _error(status: int, detail: str) -> HttpServerResponse:
    return HttpServerResponse(status, msgspec.json.encode({"detail": detail}))
