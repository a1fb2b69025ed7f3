"""Maintenance of the voter set by the leader."""

from typing import Final

from azurerelay.cluster._voter_plan import next_voters
from azurerelay.consensus import RaftNode
from azurerelay.events import EventLog, VotersChanged
from azurerelay.timing import TimerService

CHECK_INTERVAL_MS: Final = 100.0
# A learner that is removed asks to join again when it comes back.
LEARNER_TIMEOUT_MS: Final = 5_000.0


class VoterSetController:
    """Adds learners that have caught up and removes lost voters, one at a time."""

    def __init__(
        self,
        own_name: str,
        raft: RaftNode,
        max_disk_losses: int,
        timers: TimerService,
        events: EventLog,
    ) -> None:
        self._own_name = own_name
        self._raft = raft
        self._max_disk_losses = max_disk_losses
        self._events = events
        timers.call_every(CHECK_INTERVAL_MS, self._check)

    def _check(self) -> None:
        if not self._raft.is_ready_leader or self._raft.has_pending_voter_change:
            return
        followers = self._raft.followers()
        for follower in followers:
            if not follower.is_voter and follower.silence_ms > LEARNER_TIMEOUT_MS:
                self._raft.remove_learner(follower.name)
        change = next_voters(
            self._own_name, self._raft.voters, followers, self._max_disk_losses
        )
        if change is None:
            return
        voters, reason = change
        self._events.record(
            VotersChanged(
                ", ".join(sorted(self._raft.voters)), ", ".join(sorted(voters)), reason
            )
        )
        self._raft.propose_voters(voters)
