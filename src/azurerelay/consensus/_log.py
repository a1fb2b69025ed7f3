"""The in-memory log, compacted at its front."""

from collections.abc import Iterable

from azurerelay.consensus._messages import Entry


class Log:
    """Entries after a compaction point; indexes start at one."""

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self._base_index = base_index
        self._base_term = base_term
        self._entries: list[Entry] = []

    @property
    def base_index(self) -> int:
        """The last compacted index."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    def term_at(self, index: int) -> int | None:
        """Return an entry's term; None when it is compacted or absent."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def slice(self, start: int, count: int) -> tuple[Entry, ...]:
        """Return up to `count` entries from index `start` on."""
        offset = start - self._base_index - 1
        return tuple(self._entries[offset : offset + count])

    def last_voters(self, up_to_index: int) -> tuple[int, tuple[str, ...]] | None:
        """Return the newest entry that changes the voters, as index and voters."""
        for entry in reversed(self._entries[: up_to_index - self._base_index]):
            if entry.voters:
                return entry.index, entry.voters
        return None

    def append(self, entries: Iterable[Entry]) -> None:
        """Add entries that follow the last one."""
        self._entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at the index and all after it."""
        del self._entries[index - self._base_index - 1 :]

    def compact(self, index: int, term: int) -> None:
        """Drop all entries up to the index; keep those after it if they match."""
        if self.term_at(index) == term:
            del self._entries[: index - self._base_index]
        else:
            self._entries.clear()
        self._base_index = index
        self._base_term = term
