"""What a leader knows of all followers together."""

from collections.abc import Callable, Iterable, Iterator

from azurerelay.consensus._peer import Peer


class Followers:
    """Progress by follower; learners count in no quorum."""

    def __init__(self, names: Iterable[str]) -> None:
        self._peers = {name: Peer() for name in sorted(names)}

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
        return (len(self._peers) + 1) // 2 + 1

    def items(self) -> Iterable[tuple[str, Peer]]:
        """Return names and progress."""
        return self._peers.items()

    def begin_term(self, next_index: int, now_ms: float) -> None:
        """Start afresh as a new leader."""
        for name in self._peers:
            self._peers[name] = Peer(next_index=next_index, heard_ms=now_ms)

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

    def quorum_round(self, own_round: int) -> int:
        """Return the newest round that a majority has answered."""
        return self._majority(own_round, lambda peer: peer.acked_round)

    def quorum_index(self, own_index: int) -> int:
        """Return the highest index that a majority has stored."""
        return self._majority(own_index, lambda peer: peer.match_index)

    def _majority(self, own: int, value: Callable[[Peer], int]) -> int:
        values = [
            0 if peer.is_learner else value(peer) for peer in self._peers.values()
        ]
        return sorted([*values, own], reverse=True)[self.quorum - 1]
