"""A problem found in an input, with its place."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """What is wrong at a place; the place is a JSON path or a tree path."""

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"
