"""Error value of a proposal that this host cannot confirm."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProposalUnconfirmed:
    """The proposal was refused, or leadership was lost before the entry was applied.

    With `is_refused`, the entry was never appended to the log; without it, the entry
    may or may not be committed. `leader` is the leader of the current term, if known.
    """

    is_refused: bool
    leader: str | None
