"""A position in the replicated log of a group."""

from typing import NamedTuple


class Position(NamedTuple):
    """A commit, by its number and the term of the primary that made it."""

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"
