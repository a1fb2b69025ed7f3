"""A problem found when input is validated."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """A problem and the place of the input where it was found.

    The form of the place depends on the input: for example a JSON path in a document
    or a path of the settings tree.
    """

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"
