"""A replicated database, as operators configure it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DatabaseGroup:
    """A group of endpoints that replicate one database.

    `connection_limit` is how many connections each endpoint accepts from all hosts
    together, and `synchronous_replicas` how many replicas must have received a commit
    before the primary acknowledges it.
    """

    name: str
    connection_limit: int
    synchronous_replicas: int
