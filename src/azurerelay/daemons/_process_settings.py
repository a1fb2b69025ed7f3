"""Models and validation of the daemons' settings files."""

import re
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, ClassVar, Final, Literal, TypeVar

import pydantic
from result import Err, Ok, Result

from azurerelay.settings import Finding

_ADDRESS_PATTERN: Final = re.compile(
    r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}"
)
MAX_PORT: Final = 65_535

_STRICT_CONFIG = pydantic.ConfigDict(extra="forbid", strict=True, frozen=True)


def _check_address(value: str) -> str:
    is_address = _ADDRESS_PATTERN.fullmatch(value) is not None
    if not is_address or int(value.rpartition(":")[2]) > MAX_PORT:
        raise ValueError("must be an IP number and a port, such as 10.0.0.1:7001")
    return value


Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Address = Annotated[str, pydantic.AfterValidator(_check_address)]
DelayMs = Annotated[float, pydantic.Field(ge=0, le=1_000)]
Sha256Hex = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """The name, link address and failure domain of a control host."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT_CONFIG

    name: Name
    link: Address
    failure_domain: Name


@dataclass(frozen=True, slots=True)
class TokenSettings:
    """An operator's name and the SHA-256 of their bearer token in hexadecimal."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT_CONFIG

    name: Name
    sha256: Sha256Hex


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """The settings of an entry host.

    `between_domains_ms` delays messages to other failure domains, to simulate the
    network in benchmarks on a single machine. It is zero in a real deployment.
    """

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT_CONFIG

    role: Literal["entry"]
    name: Name
    failure_domain: Name
    callers: Address
    link: Address
    control_hosts: Annotated[list[PeerSettings], pydantic.Field(min_length=1)]
    link_keys: str | None = None
    between_domains_ms: DelayMs = 0.0
    drain_s: Annotated[int, pydantic.Field(ge=1, le=3_600)] = 30
    log_format: Literal["json", "text"] = "json"


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """The settings of a control host; `voters` lists all of them, this one included."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT_CONFIG

    role: Literal["control"]
    name: Name
    failure_domain: Name
    operators: Address
    link: Address
    data_folder: Annotated[str, pydantic.Field(min_length=1)]
    voters: Annotated[list[PeerSettings], pydantic.Field(min_length=1, max_length=7)]
    tokens: Annotated[list[TokenSettings], pydantic.Field(min_length=1)]
    link_keys: str | None = None
    between_domains_ms: DelayMs = 0.0
    log_format: Literal["json", "text"] = "json"


@dataclass(frozen=True, slots=True)
class StandinSettings:
    """The settings of a stand-in endpoint.

    `entry_hosts` are the addresses at which entry hosts serve callers.
    """

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT_CONFIG

    role: Literal["standin"]
    name: Name
    group: Name
    failure_domain: Name
    listen: Address
    entry_hosts: Annotated[list[Address], pydantic.Field(min_length=1)]
    slots: Annotated[int, pydantic.Field(ge=1, le=1_000)] = 3
    connection_limit: Annotated[int, pydantic.Field(ge=1, le=10_000)] = 45
    connect_ms: Annotated[float, pydantic.Field(ge=0, le=10_000)] = 12.0
    service_ms: Annotated[float, pydantic.Field(ge=0, le=10_000)] = 1.0
    lag_ms: Annotated[float, pydantic.Field(ge=0, le=86_400_000)] = 5.0
    round_trip_ms: DelayMs = 0.0
    log_format: Literal["json", "text"] = "json"


ProcessSettings = EntrySettings | ControlSettings | StandinSettings

S = TypeVar("S", bound=ProcessSettings)

_ADAPTER: Final[pydantic.TypeAdapter[ProcessSettings]] = pydantic.TypeAdapter(
    Annotated[ProcessSettings, pydantic.Field(discriminator="role")]
)


def load_settings(file: Path) -> Result[ProcessSettings, tuple[Finding, ...]]:
    """Read a settings file; return all findings with JSON paths if it is invalid."""
    try:
        data = file.read_bytes()
    except OSError as error:
        return Err((Finding(str(file), error.strerror or "cannot be read"),))
    try:
        settings = _ADAPTER.validate_json(data)
    except pydantic.ValidationError as error:
        return Err(validation_findings(str(file), error))
    findings = tuple(_consistency_findings(str(file), settings))
    return Err(findings) if findings else Ok(settings)


def validation_findings(
    source: str, error: pydantic.ValidationError
) -> tuple[Finding, ...]:
    """Return a finding for each validation error, with its JSON path in the source."""
    return tuple(
        Finding(f"{source}:{_json_path(problem['loc'])}", problem["msg"])
        for problem in error.errors(include_url=False)
    )


def _json_path(location: tuple[Any, ...]) -> str:
    """Return a validation error's location as a JSON path.

    Pydantic puts the tag of the union, which is the role, first; it is left out.
    """
    path = "$"
    for part in location:
        if part in ("entry", "control", "standin") and path == "$":
            continue
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path


def _consistency_findings(source: str, settings: ProcessSettings) -> list[Finding]:
    """Return the violations of rules that involve more than one field."""
    findings: list[Finding] = []
    if isinstance(settings, ControlSettings):
        own = [v for v in settings.voters if v.name == settings.name]
        if not own:
            problem = f"this host, {settings.name}, is not among the voters"
            findings.append(Finding(f"{source}:$.voters", problem))
        elif own[0].link != settings.link:
            problem = f"{own[0].link} differs from this host's link {settings.link}"
            findings.append(Finding(f"{source}:$.voters", problem))
        findings.extend(
            _duplicate_names(source, "voters", [v.name for v in settings.voters])
        )
        findings.extend(
            _duplicate_names(source, "tokens", [t.name for t in settings.tokens])
        )
    if isinstance(settings, EntrySettings):
        names = [peer.name for peer in settings.control_hosts]
        findings.extend(_duplicate_names(source, "control_hosts", names))
        if settings.callers == settings.link:
            problem = "is the same address as $.callers"
            findings.append(Finding(f"{source}:$.link", problem))
    return findings


def _duplicate_names(source: str, field: str, names: list[str]) -> list[Finding]:
    return [
        Finding(f"{source}:$.{field}[{index}].name", f"{name!r} is named twice")
        for index, name in enumerate(names)
        if name in names[:index]
    ]
