"""What a leader knows of all followers together."""

from collections.abc import Callable, Iterable, Iterator

from azurerelay.consensus._peer import Peer


class Followers:
    """Progress by follower; learners count in no quorum."""

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
        """How many voters, the leader included, are a majority."""
        return len(self._voters) // 2 + 1

    @property
    def voters(self) -> frozenset[str]:
        """The voter set that counts now."""
        return self._voters

    def set_voters(self, voters: Iterable[str], next_index: int, now_ms: float) -> None:
        """Count another voter set; who is no longer in it is kept as a learner."""
        self._voters = frozenset(voters)
        for name in sorted(self._voters - {self._own_name} - self._peers.keys()):
            self._peers[name] = Peer(next_index=next_index, heard_ms=now_ms)
        for name, peer in self._peers.items():
            peer.is_learner = name not in self._voters

    def add_learner(self, name: str, next_index: int, now_ms: float) -> None:
        """Replicate to a host that is no voter."""
        if name not in self._peers and name != self._own_name:
            self._peers[name] = Peer(
                next_index=next_index, heard_ms=now_ms, is_learner=True
            )

    def drop_learner(self, name: str) -> None:
        """Stop to replicate to a host, unless it is a voter."""
        if name not in self._voters:
            self._peers.pop(name, None)

    def items(self) -> Iterable[tuple[str, Peer]]:
        """Return names and progress."""
        return self._peers.items()

    def begin_term(self, next_index: int, now_ms: float) -> None:
        """Start afresh as a new leader, without learners."""
        self._peers = {
            name: Peer(next_index=next_index, heard_ms=now_ms)
            for name in sorted(self._voters - {self._own_name})
        }

    def forget_snapshots(self) -> None:
        """Send a new snapshot from its beginning."""
        for peer in self._peers.values():
            peer.snapshot_offset = None

    def has_quorum_since(self, horizon_ms: float) -> bool:
        """Return whether a majority has been heard since a time."""
        heard = sum(
            peer.heard_ms >= horizon_ms and not peer.is_learner
            for peer in self._peers.values()
        )
        return heard + 1 >= self.quorum

    def quorum_heard_ms(self, now_ms: float) -> float:
        """Return the newest time since which a majority has been heard."""
        return self._majority(now_ms, lambda peer: peer.heard_ms)

    def quorum_round(self, own_round: int) -> int:
        """Return the newest round that a majority has answered."""
        return int(self._majority(own_round, lambda peer: peer.acked_round))

    def quorum_index(self, own_index: int) -> int:
        """Return the highest index that a majority has stored."""
        return int(self._majority(own_index, lambda peer: peer.match_index))

    def _majority(self, own: float, value: Callable[[Peer], float]) -> float:
        """Return the highest value that a majority of the voters has reached."""
        values = [
            0 if peer.is_learner else value(peer)
            for name, peer in self._peers.items()
            if name in self._voters
        ]
        return sorted([*values, own], reverse=True)[self.quorum - 1]
