"""The leader's replication state for one follower."""

from dataclasses import dataclass
from typing import Final

# A follower that has not replied for this many resend intervals gets empty messages
# only. Links keep messages for a host that is away, and entries would fill the memory.
SILENT_AFTER_RESENDS: Final = 3


@dataclass(slots=True)
class Peer:
    """Replication progress of one follower.

    `match_index` is the last entry known to be stored on the follower, `next_index`
    the next one to send. `acked_round` is the newest broadcast it has answered,
    `last_contact_ms` the time of its last reply, or at first of its addition.
    `in_flight_since_ms` is when entries that it has not acknowledged yet were sent,
    `snapshot_offset` how many bytes of the snapshot it has received; the chunk from
    there on was sent in broadcast `chunk_round`.

    `learner_round` is the round of the first reply after the follower lost its disk;
    replies to earlier rounds are ignored, because they report entries that it no
    longer has. `sent_commit_index` is the commit index last sent to the follower, up
    to the last entry sent with it.
    """

    match_index: int = 0
    next_index: int = 1
    acked_round: int = 0
    last_contact_ms: float = 0.0
    in_flight_since_ms: float | None = None
    snapshot_offset: int | None = None
    chunk_round: int = 0
    is_learner: bool = False
    is_promotion_pending: bool = False
    learner_round: int = 0
    sent_commit_index: int = 0

    def is_waiting(self, now_ms: float, resend_ms: float) -> bool:
        """Return whether what was last sent to the follower is probably under way."""
        since_ms = self.in_flight_since_ms
        return since_ms is not None and now_ms - since_ms < resend_ms

    def is_silent(self, now_ms: float, resend_ms: float) -> bool:
        """Return whether it has not replied for `SILENT_AFTER_RESENDS` intervals."""
        return now_ms - self.last_contact_ms > SILENT_AFTER_RESENDS * resend_ms
