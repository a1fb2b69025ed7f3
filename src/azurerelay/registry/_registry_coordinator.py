"""Decide at a majority of the serving set whether a key may run."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from azurerelay.registry._messages import (
    IntentReply,
    IntentStatus,
    RegistryEntry,
    StoredOutcome,
)


class IntentVerdict(Enum):
    """What may be done with a key."""

    RUN = "run"
    REPLAY = "replay"
    REUSED = "reused"
    IN_FLIGHT = "in_flight"
    GIVEN_UP = "given_up"
    FULL = "full"
    UNDECIDED = "undecided"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class IntentDecision:
    """A verdict, with the recorded outcome when it is to be replayed."""

    verdict: IntentVerdict
    outcome: StoredOutcome | None = None


class RegistryCoordinator:
    """Turn the members' replies into a decision.

    An attempt may run only when a majority has recorded it and none has an outcome.
    Two attempts cannot both have a majority, since a member records one a key.
    """

    def __init__(self, member_count: int) -> None:
        self._majority = member_count // 2 + 1

    @property
    def majority(self) -> int:
        """How many members must record an intent."""
        return self._majority

    def decide(
        self, entry: RegistryEntry, replies: Iterable[IntentReply]
    ) -> IntentDecision:
        """Return what the replies allow; more replies may still change it."""
        received = tuple(replies)
        known = [r.entry for r in received if r.entry is not None]
        if any(other.fingerprint != entry.fingerprint for other in known):
            return IntentDecision(IntentVerdict.REUSED)
        for other in known:
            if other.outcome is not None:
                return IntentDecision(IntentVerdict.REPLAY, other.outcome)
        statuses = [reply.status for reply in received]
        if statuses.count(IntentStatus.RECORDED) >= self._majority:
            return IntentDecision(IntentVerdict.RUN)
        if any(other.is_given_up for other in known):
            return IntentDecision(IntentVerdict.GIVEN_UP)
        if IntentStatus.KNOWN in statuses:
            return IntentDecision(IntentVerdict.IN_FLIGHT)
        if IntentStatus.PREDATES_LOSS in statuses:
            return IntentDecision(IntentVerdict.UNDECIDED)
        if IntentStatus.FULL in statuses:
            return IntentDecision(IntentVerdict.FULL)
        return IntentDecision(IntentVerdict.UNAVAILABLE)
