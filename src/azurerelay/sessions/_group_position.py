"""A position in the replicated log of a group."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GroupPosition:
    """A confirmed position and the term in which it was confirmed.

    Positions of one group are ordered by term, then position. Those of different groups
    belong to different logs and have no order.
    """

    term: int
    position: int
    group: str

    def later(self, other: "GroupPosition") -> "GroupPosition":
        """Return the later of two positions; raise ValueError if the groups differ."""
        if other.group != self.group:
            raise ValueError(f"positions of {self.group} and {other.group}")
        is_later = (other.term, other.position) > (self.term, self.position)
        return other if is_later else self
