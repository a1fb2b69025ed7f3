"""Identity of an entry host and the control hosts that it may use."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EntryConfig:
    """Identity of an entry host.

    `address` is the address of its link. `control_hosts` are names in the order in
    which they are tried, those of the host's own failure domain first.
    `incarnation` differs for each start of the process.
    """

    name: str
    address: str
    failure_domain: str
    control_hosts: tuple[str, ...]
    incarnation: int
