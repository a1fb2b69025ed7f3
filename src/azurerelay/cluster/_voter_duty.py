"""The leader's care for the voter set."""

from typing import Final

from azurerelay.cluster._voter_plan import next_voters
from azurerelay.consensus import RaftNode
from azurerelay.events import EventLog, VotersChanged
from azurerelay.timing import TimerService

CHECK_MS: Final = 100.0
FORGET_LEARNER_MS: Final = 5_000.0  # one that is gone asks again if it returns


class VoterDuty:
    """Add hosts that have caught up, and replace voters that are lost."""

    def __init__(
        self,
        own_name: str,
        raft: RaftNode,
        disk_losses: int,
        timers: TimerService,
        events: EventLog,
    ) -> None:
        self._own_name = own_name
        self._raft = raft
        self._disk_losses = disk_losses
        self._events = events
        timers.subscribe(CHECK_MS, self._check)

    def _check(self) -> None:
        if not self._raft.is_ready_leader or self._raft.is_changing_voters:
            return
        followers = self._raft.followers()
        for follower in followers:
            if not follower.is_voter and follower.silence_ms > FORGET_LEARNER_MS:
                self._raft.drop_learner(follower.name)
        plan = next_voters(
            self._own_name, self._raft.voters, followers, self._disk_losses
        )
        if plan is None:
            return
        voters, reason = plan
        self._events.record(
            VotersChanged(
                ", ".join(sorted(self._raft.voters)), ", ".join(sorted(voters)), reason
            )
        )
        self._raft.propose_voters(voters)
