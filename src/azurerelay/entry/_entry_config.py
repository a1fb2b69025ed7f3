"""Who an entry host is and which control hosts it knows."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EntryConfig:
    """The identity of an entry host; control hosts of its own domain come first."""

    name: str
    address: str
    failure_domain: str
    control_hosts: tuple[str, ...]
    incarnation: int
