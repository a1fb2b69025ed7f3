"""Decides from a serving set's replies whether a keyed write may run."""

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
    """Whether a keyed write may run and, if not, why."""

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
    """A verdict, and the recorded outcome if the verdict is REPLAY."""

    verdict: IntentVerdict
    outcome: StoredOutcome | None = None


class RegistryCoordinator:
    """Turn the members' replies to an intent into a decision.

    An attempt may run only if a majority of members has recorded it and no reply
    holds an outcome. Two attempts cannot both reach a majority, since a member
    records one attempt per key.
    """

    def __init__(self, member_count: int) -> None:
        self._majority = member_count // 2 + 1

    @property
    def majority(self) -> int:
        """The number of members that must record an intent before it may run."""
        return self._majority

    def decide(
        self, entry: RegistryEntry, replies: Iterable[IntentReply]
    ) -> IntentDecision:
        """Return the decision on the replies so far; later replies may change it."""
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
