"""A position in one group's log."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class GroupPosition:
    """A confirmed position and the term in which it was confirmed."""

    term: int
    position: int
    group: str
