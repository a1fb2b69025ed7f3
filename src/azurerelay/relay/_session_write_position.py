"""The newest commits of a session, needed for read-your-writes consistency."""

from dataclasses import dataclass

from azurerelay.pooling import PositionSamples
from azurerelay.statements import Position


@dataclass(frozen=True, slots=True)
class _Commit:
    """A commit's position in the log of one group, and when it was acknowledged."""

    position: Position
    acknowledged_ms: float


class SessionWritePosition:
    """The position of the newest commit of a session in the log of each group.

    A database may move to another group and back. Positions of different logs cannot
    be compared, so each is kept with its group and applies to reads of that group only.
    """

    def __init__(self) -> None:
        self._commits: dict[str, _Commit] = {}

    def record(self, group: str, position: Position, now_ms: float) -> None:
        """Record a commit of the session in a group, acknowledged at `now_ms`.

        It replaces an earlier one of the group even if that has a higher position: the
        statements of a session follow each other, so the earlier one was rolled back,
        or the group has got another log.
        """
        self._commits[group] = _Commit(position, now_ms)

    def required_position(
        self, group: str, covering: Position, samples: PositionSamples
    ) -> Position:
        """Return the position that a read of the session must find in a group's log.

        `covering` is the position that covers all commits older than the staleness
        bound, and `samples` are those of the group. If a promotion may have rolled back
        the session's own commit, no log may hold its position any more. The newest
        position of the new primary is required instead, which covers every commit that
        the promotion kept.
        """
        own, newest = self._commits.get(group), samples.newest
        if own is None:
            return covering
        if newest is not None and (
            own.position.term < newest[1].term
            or samples.is_rolled_back(own.position, own.acknowledged_ms)
        ):
            return max(covering, newest[1])
        return max(covering, own.position)
