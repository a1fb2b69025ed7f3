"""The operator's document of routes and groups."""

from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from azurerelay.routes import Configuration, Consistency, DatabaseGroup, Route
from azurerelay.settings import Finding

_CONSISTENCIES: Final = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.BOUNDED,
    "read_own_writes": Consistency.OWN_WRITES,
}
DEFAULT_TRANSACTION_IDLE_MS: Final = 3_000  # as the platform's documents have it
MAX_FINDINGS: Final = 50


class _Reader:
    """Take typed fields out of an object and collect what is wrong."""

    def __init__(self, findings: list[Finding]) -> None:
        self._findings = findings

    def report(self, place: str, problem: str) -> None:
        """Add a finding."""
        self._findings.append(Finding(place, problem))

    def text(self, source: dict[str, Any], key: str, place: str) -> str:
        """Return a text that is not empty."""
        value = source.get(key)
        if not isinstance(value, str) or not value:
            self.report(f"{place}.{key}", "must be a text that is not empty")
            return ""
        return value

    def number(
        self,
        source: dict[str, Any],
        key: str,
        place: str,
        lowest: int,
        default: int | None = None,
    ) -> int:
        """Return a whole number, at least the lowest one allowed."""
        value = source.get(key, default)
        if type(value) is not int or value < lowest:
            self.report(f"{place}.{key}", f"must be a whole number from {lowest} on")
            return lowest
        return value

    def objects(self, source: dict[str, Any], key: str) -> list[dict[str, Any]]:
        """Return a list of objects."""
        value = source.get(key)
        if not isinstance(value, list):
            self.report(f"$.{key}", "must be a list")
            return []
        good = [item for item in value if isinstance(item, dict)]
        if len(good) != len(value):
            self.report(f"$.{key}", "must hold objects only")
        return good


def decode_configuration(
    body: bytes,
) -> Result[Configuration, tuple[Finding, ...]]:
    """Return the configuration in a document, or all that is wrong with it."""
    try:
        document = msgspec.json.decode(body)
    except msgspec.MsgspecError as error:
        return Err((Finding("$", f"cannot be read: {error}"),))
    if not isinstance(document, dict):
        return Err((Finding("$", "must be an object"),))
    findings: list[Finding] = []
    reader = _Reader(findings)
    items = reader.objects(document, "routes")
    version = reader.number(document, "version", "$", 0)
    groups = tuple(
        _group(reader, item, f"$.services[{place}]")
        for place, item in enumerate(reader.objects(document, "services"))
    )
    routes = tuple(
        _route(reader, item, f"$.routes[{place}]") for place, item in enumerate(items)
    )
    _check_references(reader, items, routes, groups)
    limits = document.get("limits", {})
    idle_ms = DEFAULT_TRANSACTION_IDLE_MS
    if isinstance(limits, dict):
        idle_ms = reader.number(
            limits, "transaction_idle_ms", "$.limits", 1, DEFAULT_TRANSACTION_IDLE_MS
        )
    else:
        reader.report("$.limits", "must be an object")
    if findings:
        return Err(tuple(findings[:MAX_FINDINGS]))
    return Ok(Configuration(version, routes, groups, idle_ms, body))


def _route(reader: _Reader, item: dict[str, Any], place: str) -> Route:
    kind = item.get("kind")
    consistency = _CONSISTENCIES.get(kind) if isinstance(kind, str) else None
    if consistency is None:
        reader.report(f"{place}.kind", f"must be one of {', '.join(_CONSISTENCIES)}")
    timeout_ms = reader.number(item, "timeout_ms", place, 1)
    return Route(
        name=reader.text(item, "name", place),
        database=reader.text(item, "host", place),  # callers name it as a database
        group=reader.text(item, "service", place),
        consistency=consistency or Consistency.PRIMARY,
        statement_timeout_ms=timeout_ms,
        target_latency_ms=reader.number(
            item, "target_latency_ms", place, 0, timeout_ms
        ),
        priority=reader.number(item, "priority", place, 0, 0),
        max_staleness_ms=reader.number(item, "max_staleness_ms", place, 0, 0),
        max_attempts=reader.number(item, "max_attempts", place, 0, 1),
    )


def _group(reader: _Reader, item: dict[str, Any], place: str) -> DatabaseGroup:
    return DatabaseGroup(
        reader.text(item, "name", place),
        reader.number(item, "max_connections", place, 0, 1_000),
        reader.number(item, "sync_replicas", place, 0, 0),
    )


def _check_references(
    reader: _Reader,
    items: list[dict[str, Any]],
    routes: tuple[Route, ...],
    groups: tuple[DatabaseGroup, ...],
) -> None:
    known = {group.name for group in groups}
    if len(known) != len(groups):
        reader.report("$.services", "two of them have the same name")
    names: set[str] = set()
    places: set[tuple[str, str]] = set()
    for number, (route, item) in enumerate(zip(routes, items, strict=True)):
        place = f"$.routes[{number}]"
        if route.group not in known:
            reader.report(f"{place}.service", f"no service {route.group!r}")
        key = (route.database, str(item.get("path_prefix", "/")))
        if key in places:
            reader.report(
                place, f"another route has host {key[0]!r}, prefix {key[1]!r}"
            )
        if route.name in names:
            reader.report(f"{place}.name", f"another route is named {route.name!r}")
        places.add(key)
        names.add(route.name)


def encode_findings(findings: tuple[Finding, ...]) -> bytes:
    """Return the body that tells an operator what is wrong."""
    return msgspec.json.encode({"error": [str(finding) for finding in findings]})
