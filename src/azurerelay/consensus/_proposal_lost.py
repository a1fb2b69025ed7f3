"""The finding that a proposal's fate is not known here."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProposalLost:
    """This host does not lead, or stopped leading before the entry was applied.

    `is_refused` tells that the entry was never in the log.
    """

    is_refused: bool
    leader: str | None
