"""The read consistency of a route."""

from enum import Enum


class Consistency(Enum):
    """Which acknowledged commits a read must see, from the strictest level down."""

    PRIMARY = "primary"
    """All commits that were acknowledged before the read."""
    OWN_WRITES = "own_writes"
    """The session's own commits, and all that are older than the staleness bound."""
    BOUNDED = "bounded"
    """All commits that are older than the staleness bound."""
