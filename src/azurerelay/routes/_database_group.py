"""One replicated database, as operators configure it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DatabaseGroup:
    """A group of endpoints and what each of them allows.

    `synchronous_replicas` is how many replicas must have received a commit before
    its endpoint acknowledges it.
    """

    name: str
    connection_limit: int
    synchronous_replicas: int
