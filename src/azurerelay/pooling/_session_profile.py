"""What a caller has set on its session."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class SessionProfile:
    """Values and prepared statements, which any connection that serves it needs."""

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, "PreparedShape"] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PreparedShape:
    """A prepared statement under the name that the relay gives it."""

    shape: str
    is_write: bool

    @property
    def shared_name(self) -> str:
        """The same name for the same shape, whichever caller prepared it."""
        return f"{'w' if self.is_write else 'r'}_{self.shape}"
