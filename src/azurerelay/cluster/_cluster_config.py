"""What a control host must know at its start."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """A control host's place and what the cluster must survive.

    `name` is the link address and the identity of the disk, `ADDRESS#DISK`;
    `initial_voters` is empty but at the very first start of a seed. `disk_losses` is
    how many disks may be lost at once.
    """

    name: str
    failure_domain: str
    holder: str
    seeds: tuple[str, ...]
    initial_voters: tuple[str, ...]
    disk_losses: int
    heartbeat_interval_ms: float
