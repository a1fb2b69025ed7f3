"""Start-up configuration of a control host."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """The identity of a control host and the failures the cluster must tolerate.

    `name` has the form `ADDRESS#DISK`: the link address and the identity of the disk.
    `issuer` identifies this host in promotion orders and in the audit trail. `seeds`
    are link addresses of control hosts. `initial_voters` lists the names of all seeds
    on a seed that still has the disk of its very first start, and is empty on any
    other host. `max_disk_losses` is the number of disks that may be lost at the same
    time. `heartbeat_interval_ms` is the interval between the heartbeats of an endpoint.
    A customer may exceed its quota by `quota_slack` operations.
    """

    name: str
    failure_domain: str
    issuer: str
    seeds: tuple[str, ...]
    initial_voters: tuple[str, ...]
    max_disk_losses: int
    heartbeat_interval_ms: float
    quota_slack: float = 0.0
