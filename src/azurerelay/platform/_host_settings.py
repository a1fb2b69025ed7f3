"""Parser of the settings file that the platform writes for each process."""

from dataclasses import dataclass
from typing import Final

import msgspec
from result import Err, Ok, Result

from azurerelay.discovery import MAX_DURATION_MS, MAX_PORT, is_name, is_word
from azurerelay.settings import Finding

SETTINGS_VARIABLE: Final = "AZURERELAY_NODE_FILE"


MIN_HEARTBEAT_INTERVAL_MS: Final = 1
MAX_DISK_LOSSES: Final = 1_000
MAX_QUOTA_SLACK: Final = 1e9  # operations
MAX_MEMORY_MB: Final = 1e9
MAX_DESCRIPTORS: Final = 10**9
_MS_PER_S: Final = 1_000
_BYTES_PER_MB: Final = 1_024 * 1_024


class _Listen(msgspec.Struct):
    """Listen addresses; which ones are set depends on the role."""

    frontend: str | None = None
    readiness_address: str | None = None
    control_plane: str | None = None


class _Tolerance(msgspec.Struct):
    """Simultaneous losses to tolerate; `machines` counts machines with a disk."""

    machines: int = 0


class _Bounds(msgspec.Struct):
    """Time limits, and the tolerance of quotas."""

    drain_ms: float = 7_000
    grace_period_s: float = 6
    revoke_when_partitioned: bool = False
    revocation_ms: float = 5_000
    quota_slack: float = 0


class _Limits(msgspec.Struct):
    """What the machine grants the process; None means no limit."""

    memory_mb: float | None = None
    file_descriptors: int | None = None


class _CloudApi(msgspec.Struct):
    """The API that takes promotion orders."""

    address: str


class _Document(msgspec.Struct):
    """The JSON document; unknown fields are ignored."""

    node_name: str
    serves: list[str]
    ip_address: str
    zone: str  # failure domain of the host
    zones: dict[str, str]  # region of each failure domain
    listen_addresses: _Listen
    internal_port_range: tuple[int, int]
    seeds: list[str]
    bootstrap: bool
    heartbeat_interval_ms: float
    fault_tolerance: _Tolerance = msgspec.field(default_factory=_Tolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    data_directory: str | None = None
    cloud_api: _CloudApi | None = None


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of one host process.

    Addresses are `IP:PORT`. `seed_addresses` are the link addresses of control hosts;
    the link port is the same on all hosts. `regions` maps failure domains to regions,
    and `max_disk_losses` is the number of simultaneous disk losses to tolerate.
    `heartbeat_interval_ms` is the interval at which endpoints send heartbeats. Without
    contact to control, customers' keys are refused after `revocation_limit_ms`, if it
    is set. A customer may exceed its quota by `quota_slack` operations. The process
    keeps within `memory_bytes` and `file_descriptors`, if they are set.
    """

    name: str
    ip_address: str
    failure_domain: str
    regions: dict[str, str]
    link_address: str
    caller_address: str | None
    readiness_address: str | None
    control_address: str | None
    seed_addresses: tuple[str, ...]
    is_bootstrap: bool
    heartbeat_interval_ms: float
    max_disk_losses: int
    grace_period_ms: float
    data_folder: str | None
    promotion_address: str | None
    revocation_limit_ms: float | None = None
    quota_slack: float = 0.0
    memory_bytes: int | None = None
    file_descriptors: int | None = None


def parse_host_settings(
    data: bytes, place: str
) -> Result[HostSettings, tuple[Finding, ...]]:
    """Parse a settings file; findings name `place`, the path of the file."""
    try:
        document = msgspec.json.decode(data, type=_Document)
    except msgspec.MsgspecError as error:
        return Err((Finding(place, str(error)),))
    except RecursionError:
        return Err((Finding(place, "cannot be read: nested too deeply"),))
    problems = _find_problems(document)
    if problems:
        return Err(tuple(Finding(f"{place}: {path}", text) for path, text in problems))
    port = document.internal_port_range[0]
    return Ok(
        HostSettings(
            name=document.node_name,
            ip_address=document.ip_address,
            failure_domain=document.zone,
            regions=document.zones,
            link_address=f"{document.ip_address}:{port}",
            caller_address=document.listen_addresses.frontend,
            readiness_address=document.listen_addresses.readiness_address,
            control_address=document.listen_addresses.control_plane,
            seed_addresses=tuple(
                f"{seed.rpartition(':')[0]}:{port}" for seed in document.seeds
            ),
            is_bootstrap=document.bootstrap,
            heartbeat_interval_ms=document.heartbeat_interval_ms,
            max_disk_losses=document.fault_tolerance.machines,
            grace_period_ms=document.bounds.grace_period_s * _MS_PER_S,
            revocation_limit_ms=(
                document.bounds.revocation_ms
                if document.bounds.revoke_when_partitioned
                else None
            ),
            quota_slack=document.bounds.quota_slack,
            memory_bytes=(
                int(document.limits.memory_mb * _BYTES_PER_MB)
                if document.limits.memory_mb is not None
                else None
            ),
            file_descriptors=document.limits.file_descriptors,
            data_folder=document.data_directory,
            promotion_address=(
                document.cloud_api.address if document.cloud_api else None
            ),
        )
    )


def _find_problems(document: _Document) -> list[tuple[str, str]]:
    """Return the JSON path and the text of each problem with the values."""
    listen = document.listen_addresses
    names = {
        "$.node_name": document.node_name,
        "$.ip_address": document.ip_address,
        "$.zone": document.zone,
    }
    addresses: dict[str, str | None] = {
        "$.listen_addresses.frontend": listen.frontend,
        "$.listen_addresses.readiness_address": listen.readiness_address,
        "$.listen_addresses.control_plane": listen.control_plane,
        "$.cloud_api.address": (
            document.cloud_api.address if document.cloud_api else None
        ),
    }
    addresses |= {f"$.seeds[{n}]": seed for n, seed in enumerate(document.seeds)}
    ranges: dict[str, tuple[float, float, float]] = {
        "$.heartbeat_interval_ms": (
            document.heartbeat_interval_ms,
            MIN_HEARTBEAT_INTERVAL_MS,
            MAX_DURATION_MS,
        ),
        "$.bounds.grace_period_s": (
            document.bounds.grace_period_s,
            0,
            MAX_DURATION_MS / _MS_PER_S,
        ),
        "$.bounds.revocation_ms": (document.bounds.revocation_ms, 0, MAX_DURATION_MS),
        "$.bounds.quota_slack": (document.bounds.quota_slack, 0, MAX_QUOTA_SLACK),
        "$.fault_tolerance.machines": (
            document.fault_tolerance.machines,
            0,
            MAX_DISK_LOSSES,
        ),
    }
    limits = document.limits
    if limits.memory_mb is not None:
        ranges["$.limits.memory_mb"] = (limits.memory_mb, 1, MAX_MEMORY_MB)
    if limits.file_descriptors is not None:
        descriptors = (limits.file_descriptors, 1, MAX_DESCRIPTORS)
        ranges["$.limits.file_descriptors"] = descriptors
    for number, port in enumerate(document.internal_port_range):
        ranges[f"$.internal_port_range[{number}]"] = (port, 1, MAX_PORT)
    return [
        *(
            (p, "must be a printable text")
            for p, text in names.items()
            if not is_name(text)
        ),
        *(
            (path, "must be HOST:PORT")
            for path, address in addresses.items()
            if address is not None and not _is_address(address)
        ),
        *(
            (path, f"must be from {low} to {high}")
            for path, (value, low, high) in ranges.items()
            if not low <= value <= high
        ),
    ]


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    is_port = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    return is_word(host) and is_port and 1 <= int(port) <= MAX_PORT
