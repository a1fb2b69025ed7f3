"""A position in the replicated log of a group."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class GroupPosition:
    """A confirmed position and the term in which it was confirmed.

    Positions of one group are ordered by term, then position.
    """

    term: int
    position: int
    group: str
