"""Decoding of the operator's configuration document."""

from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from azurerelay.discovery import MAX_NAME_LENGTH, is_word
from azurerelay.platform._json_object import decode_json_object
from azurerelay.routes import (
    Configuration,
    Consistency,
    Customer,
    DatabaseGroup,
    Route,
)
from azurerelay.settings import Finding

_CONSISTENCIES: Final = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.BOUNDED,
    "read_own_writes": Consistency.OWN_WRITES,
}
DEFAULT_TRANSACTION_IDLE_MS: Final = 3_000  # default in the platform's documentation
MAX_FINDINGS: Final = 50
MAX_NUMBER: Final = 2**63 - 1  # the largest signed 64-bit number
_DEFAULT_PATH_PREFIX: Final = "/"


class _FieldReader:
    """Read typed fields of JSON objects and collect findings."""

    def __init__(self, findings: list[Finding]) -> None:
        self._findings = findings

    def report(self, place: str, problem: str) -> None:
        """Add a finding."""
        self._findings.append(Finding(place, problem))

    def text(self, source: dict[str, Any], key: str, place: str) -> str:
        """Return a non-empty string; report a finding and return "" otherwise."""
        value = source.get(key)
        if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
            self.report(
                f"{place}.{key}",
                f"must be a text that is not empty, up to {MAX_NAME_LENGTH} characters",
            )
            return ""
        return value

    def number(
        self,
        source: dict[str, Any],
        key: str,
        place: str,
        minimum: int,
        default: int | None = None,
    ) -> int:
        """Return an integer from `minimum` to `MAX_NUMBER`.

        Any other value is reported, and `minimum` returned in its place.
        """
        value = source.get(key, default)
        if type(value) is not int or not minimum <= value <= MAX_NUMBER:
            self.report(
                f"{place}.{key}",
                f"must be a whole number from {minimum} to {MAX_NUMBER}",
            )
            return minimum
        return value

    def amount(self, source: dict[str, Any], key: str, place: str) -> float | None:
        """Return a number from 0 to `MAX_NUMBER`; None if the field is missing.

        Any other value is reported, and 0 returned in its place.
        """
        value = source.get(key)
        if value is None:
            return None
        is_number = type(value) in (int, float)
        if not is_number or not 0 <= value <= MAX_NUMBER:
            self.report(f"{place}.{key}", f"must be a number from 0 to {MAX_NUMBER}")
            return 0.0
        return float(value)

    def flag(self, source: dict[str, Any], key: str, place: str) -> bool:
        """Return a boolean, False if the field is missing; report any other value."""
        value = source.get(key, False)
        if type(value) is not bool:
            self.report(f"{place}.{key}", "must be true or false")
            return False
        return value

    def texts(
        self, source: dict[str, Any], key: str, place: str, problem: str
    ) -> tuple[str, ...]:
        """Return a list of words; report `problem` for anything else.

        The findings do not show the values, since those may be secret.
        """
        value = source.get(key, [])
        if not isinstance(value, list):
            self.report(f"{place}.{key}", "must be a list")
            return ()
        words = tuple(word for word in value if isinstance(word, str) and is_word(word))
        if len(words) != len(value):
            self.report(f"{place}.{key}", problem)
        return words

    def objects(self, source: dict[str, Any], key: str) -> list[dict[str, Any]]:
        """Return the objects of a list; report a missing list or other items."""
        value = source.get(key)
        if not isinstance(value, list):
            self.report(f"$.{key}", "must be a list")
            return []
        objects_only = [item for item in value if isinstance(item, dict)]
        if len(objects_only) != len(value):
            self.report(f"$.{key}", "must hold objects only")
        return objects_only


def decode_configuration(
    body: bytes,
) -> Result[Configuration, tuple[Finding, ...]]:
    """Decode and check a document; the error holds up to `MAX_FINDINGS` findings."""
    decoded = decode_json_object(body)
    if isinstance(decoded, Err):
        return Err((Finding("$", decoded.err_value),))
    document = decoded.ok_value
    findings: list[Finding] = []
    reader = _FieldReader(findings)
    route_items = reader.objects(document, "routes")
    version = reader.number(document, "version", "$", 0)
    groups = tuple(
        _parse_group(reader, item, f"$.services[{index}]")
        for index, item in enumerate(reader.objects(document, "services"))
    )
    routes = tuple(
        _parse_route(reader, item, f"$.routes[{index}]")
        for index, item in enumerate(route_items)
    )
    _check_references(reader, route_items, routes, groups)
    customers = _parse_customers(reader, document)
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
    return Ok(Configuration(version, routes, groups, idle_ms, body, customers))


def _parse_route(reader: _FieldReader, item: dict[str, Any], place: str) -> Route:
    kind = item.get("kind")
    consistency = _CONSISTENCIES.get(kind) if isinstance(kind, str) else None
    if consistency is None:
        reader.report(f"{place}.kind", f"must be one of {', '.join(_CONSISTENCIES)}")
    timeout_ms = reader.number(item, "timeout_ms", place, 1)
    return Route(
        name=reader.text(item, "name", place),
        # Callers connect to the `host` of a route as a database.
        database=reader.text(item, "host", place),
        group=reader.text(item, "service", place),
        consistency=consistency or Consistency.PRIMARY,
        statement_timeout_ms=timeout_ms,
        target_latency_ms=reader.number(
            item, "target_latency_ms", place, 0, timeout_ms
        ),
        priority=reader.number(item, "priority", place, 0, 0),
        max_staleness_ms=reader.number(item, "max_staleness_ms", place, 0, 0),
        max_attempts=reader.number(item, "max_attempts", place, 0, 1),
        is_public=reader.flag(item, "public", place),
    )


def _parse_group(
    reader: _FieldReader, item: dict[str, Any], place: str
) -> DatabaseGroup:
    return DatabaseGroup(
        reader.text(item, "name", place),
        reader.number(item, "max_connections", place, 0, 1_000),
        reader.number(item, "sync_replicas", place, 0, 0),
    )


def _parse_customers(
    reader: _FieldReader, document: dict[str, Any]
) -> tuple[Customer, ...] | None:
    """Return the customers; None if the document has no list of them."""
    if "tenants" not in document:
        return None
    customers: list[Customer] = []
    for number, item in enumerate(reader.objects(document, "tenants")):
        place = f"$.tenants[{number}]"
        name = reader.text(item, "name", place)
        if name and not is_word(name):
            reader.report(f"{place}.name", "must not hold blanks")
        customers.append(
            Customer(
                name,
                reader.texts(item, "api_keys", place, "must hold words only"),
                reader.amount(item, "rate_per_s", place),
                reader.amount(item, "burst", place) or 0.0,
            )
        )
    _check_customers(reader, customers)
    return tuple(customers)


def _check_customers(reader: _FieldReader, customers: list[Customer]) -> None:
    """Report names that are used twice, and keys that two customers share."""
    names: set[str] = set()
    owners: dict[str, int] = {}
    for number, customer in enumerate(customers):
        place = f"$.tenants[{number}]"
        if customer.name in names:
            reader.report(f"{place}.name", f"another one is named {customer.name!r}")
        names.add(customer.name)
        for index, key in enumerate(customer.keys):
            if owners.setdefault(key, number) != number:
                reader.report(
                    f"{place}.api_keys[{index}]",
                    f"$.tenants[{owners[key]}] has the same key",
                )


def _check_references(
    reader: _FieldReader,
    route_items: list[dict[str, Any]],
    routes: tuple[Route, ...],
    groups: tuple[DatabaseGroup, ...],
) -> None:
    group_names = {group.name for group in groups}
    if len(group_names) != len(groups):
        reader.report("$.services", "two of them have the same name")
    route_names: set[str] = set()
    matched_prefixes: set[tuple[str, str]] = set()
    for number, (route, item) in enumerate(zip(routes, route_items, strict=True)):
        place = f"$.routes[{number}]"
        if route.group not in group_names:
            reader.report(f"{place}.service", f"no service {route.group!r}")
        prefix = item.get("path_prefix", _DEFAULT_PATH_PREFIX)
        if not isinstance(prefix, str):
            reader.report(f"{place}.path_prefix", "must be a text")
            continue
        key = (route.database, prefix)
        if key in matched_prefixes:
            reader.report(
                place, f"another route has host {key[0]!r}, prefix {key[1]!r}"
            )
        if route.name in route_names:
            reader.report(f"{place}.name", f"another route is named {route.name!r}")
        matched_prefixes.add(key)
        route_names.add(route.name)


def encode_findings(findings: tuple[Finding, ...]) -> bytes:
    """Return the JSON body of the response that rejects a document."""
    return msgspec.json.encode({"error": [str(finding) for finding in findings]})
