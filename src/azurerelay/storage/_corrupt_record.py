"""Error value for stored data that cannot be read back."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CorruptRecord:
    """A stored record that is damaged, incomplete or out of sequence.

    `offset` is the byte offset in `file` at which the record starts.
    """

    file: str
    offset: int
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: offset {self.offset}: {self.reason}"
