"""The location of a process."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Place:
    """A region and a failure domain in it."""

    region: str
    failure_domain: str
