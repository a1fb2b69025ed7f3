"""The finding that stored bytes do not match their checksum."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CorruptRecord:
    """A damaged record before the tail, with its place."""

    file: str
    offset: int
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: offset {self.offset}: {self.reason}"
