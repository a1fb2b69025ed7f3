"""Who a control host is and who votes."""

from dataclasses import dataclass, field

from azurerelay.consensus import RaftConfig


@dataclass(frozen=True, slots=True)
class ControlConfig:
    """The identity of a control host and the names of all voters."""

    name: str
    voters: tuple[str, ...]
    raft: RaftConfig = field(default_factory=RaftConfig)
