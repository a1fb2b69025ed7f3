"""What the reads of a route must see."""

from enum import Enum


class Consistency(Enum):
    """Which acknowledged commits a read must see, from strict to loose."""

    PRIMARY = "primary"
    """All that were acknowledged before the read."""
    OWN_WRITES = "own_writes"
    """Those of the same session, and all that are older than the bound."""
    BOUNDED = "bounded"
    """All that are older than the bound."""
