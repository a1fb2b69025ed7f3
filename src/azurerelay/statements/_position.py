"""A place in a group's log."""

from typing import NamedTuple


class Position(NamedTuple):
    """The number of a commit and the term of the primary that made it."""

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"
