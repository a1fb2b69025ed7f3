"""Parser of the settings file that the platform writes for each process."""

from dataclasses import dataclass
from typing import Final

import msgspec
from result import Err, Ok, Result

from azurerelay.settings import Finding

SETTINGS_VARIABLE: Final = "AZURERELAY_NODE_FILE"


class _Listen(msgspec.Struct):
    """Listen addresses; which ones are set depends on the role."""

    frontend: str | None = None
    readiness_address: str | None = None
    control_plane: str | None = None


class _Tolerance(msgspec.Struct):
    """Simultaneous losses to tolerate; `machines` counts machines with a disk."""

    machines: int = 0


class _Bounds(msgspec.Struct):
    """Time limits; only `grace_period_s`, for the shutdown of a process, is used."""

    drain_ms: float = 7_000
    grace_period_s: float = 6


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
    data_directory: str | None = None
    cloud_api: _CloudApi | None = None


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of one host process.

    Addresses are `IP:PORT`. `seed_addresses` are the link addresses of control hosts;
    the link port is the same on all hosts. `regions` maps failure domains to regions,
    and `max_disk_losses` is the number of simultaneous disk losses to tolerate.
    `heartbeat_interval_ms` is the interval at which endpoints send heartbeats.
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


def parse_host_settings(
    data: bytes, place: str
) -> Result[HostSettings, tuple[Finding, ...]]:
    """Parse a settings file; findings name `place`, the path of the file."""
    try:
        document = msgspec.json.decode(data, type=_Document)
    except msgspec.MsgspecError as error:
        return Err((Finding(place, str(error)),))
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
            grace_period_ms=document.bounds.grace_period_s * 1_000.0,
            data_folder=document.data_directory,
            promotion_address=(
                document.cloud_api.address if document.cloud_api else None
            ),
        )
    )
