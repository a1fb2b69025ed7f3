"""The configuration of a control host."""

from dataclasses import dataclass, field

from azurerelay.consensus import RaftConfig


@dataclass(frozen=True, slots=True)
class ControlConfig:
    """A control host's own name, the names of all voters and the Raft timing."""

    name: str
    voters: tuple[str, ...]
    raft: RaftConfig = field(default_factory=RaftConfig)
