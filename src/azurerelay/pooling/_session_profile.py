"""The session state of a caller."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class SessionProfile:
    """A caller's session values and prepared statements, needed to serve it."""

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, "PreparedShape"] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PreparedShape:
    """A prepared statement: its shape and whether it writes."""

    shape: str
    is_write: bool

    @property
    def shared_name(self) -> str:
        """The name at endpoints; all callers that prepare the statement share it."""
        return f"{'w' if self.is_write else 'r'}_{self.shape}"
