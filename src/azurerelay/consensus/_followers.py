"""Replication progress of all followers, and the quorums computed from it."""

from collections.abc import Callable, Iterable, Iterator

from azurerelay.consensus._peer import Peer


class Followers:
    """The voter set, and the replication progress of each follower by name.

    Learners receive entries but count in no quorum.
    """

    def __init__(self, own_name: str, voters: Iterable[str]) -> None:
        self._own_name = own_name
        self._voters = frozenset(voters)
        others = self._voters - {own_name}
        self._peers = {name: Peer() for name in sorted(others)}

    def __len__(self) -> int:
        return len(self._peers)

    def __contains__(self, name: str) -> bool:
        return name in self._peers

    def __getitem__(self, name: str) -> Peer:
        return self._peers[name]

    def __iter__(self) -> Iterator[str]:
        return iter(self._peers)

    @property
    def quorum(self) -> int:
        """The number of voters, including the leader, that form a majority."""
        return len(self._voters) // 2 + 1

    @property
    def voters(self) -> frozenset[str]:
        """The voter set in force."""
        return self._voters

    def set_voters(self, voters: Iterable[str], next_index: int, now_ms: float) -> None:
        """Replace the voter set; keep the voters that it leaves out as learners."""
        self._voters = frozenset(voters)
        for name in sorted(self._voters - {self._own_name} - self._peers.keys()):
            self._peers[name] = Peer(next_index=next_index, last_contact_ms=now_ms)
        for name, peer in self._peers.items():
            peer.is_learner = name not in self._voters

    def add_learner(self, name: str, next_index: int, now_ms: float) -> None:
        """Start replication to a host that is not a voter."""
        if name not in self._peers and name != self._own_name:
            self._peers[name] = Peer(
                next_index=next_index, last_contact_ms=now_ms, is_learner=True
            )

    def remove_learner(self, name: str) -> None:
        """Stop replication to a host, unless it is a voter."""
        if name not in self._voters:
            self._peers.pop(name, None)

    def items(self) -> Iterable[tuple[str, Peer]]:
        """Return pairs of follower name and progress."""
        return self._peers.items()

    def begin_term(self, next_index: int, now_ms: float) -> None:
        """Reset all progress for a new leader; learners are removed."""
        self._peers = {
            name: Peer(next_index=next_index, last_contact_ms=now_ms)
            for name in sorted(self._voters - {self._own_name})
        }

    def reset_snapshot_offsets(self) -> None:
        """Restart snapshot transfers, because a new snapshot replaces the old one."""
        for peer in self._peers.values():
            if peer.snapshot_offset is not None:
                peer.snapshot_offset = None
                peer.in_flight_since_ms = None

    def has_quorum_contact_since(self, since_ms: float) -> bool:
        """Return whether a majority, with the leader, has replied since a time."""
        heard = sum(
            peer.last_contact_ms >= since_ms and not peer.is_learner
            for peer in self._peers.values()
        )
        return heard + 1 >= self.quorum

    def quorum_contact_ms(self, now_ms: float) -> float:
        """Return the latest time since which a majority has replied."""
        return self._majority_value(now_ms, lambda peer: peer.last_contact_ms)

    def quorum_round(self, own_round: int) -> int:
        """Return the highest round that a majority has acknowledged."""
        return int(self._majority_value(own_round, lambda peer: peer.acked_round))

    def quorum_index(self, own_index: int) -> int:
        """Return the highest log index that a majority has stored."""
        return int(self._majority_value(own_index, lambda peer: peer.match_index))

    def _majority_value(self, own: float, value: Callable[[Peer], float]) -> float:
        """Return the highest value that a majority of the voters has reached.

        `own` is the value of this host, the leader.
        """
        values = [
            0 if peer.is_learner else value(peer)
            for name, peer in self._peers.items()
            if name in self._voters
        ]
        return sorted([*values, own], reverse=True)[self.quorum - 1]
