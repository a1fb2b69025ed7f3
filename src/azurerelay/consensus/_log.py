"""The in-memory part of the replicated log."""

from collections.abc import Iterable

from azurerelay.consensus._messages import Entry


class Log:
    """The log entries after the last compacted one; indexes start at one.

    Entries up to `base_index` are compacted: a snapshot covers them.
    """

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self._base_index = base_index
        self._base_term = base_term
        self._entries: list[Entry] = []

    @property
    def base_index(self) -> int:
        """The index of the last compacted entry; zero if there is none."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """The index of the last entry, compacted or not."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, compacted or not."""
        return self._entries[-1].term if self._entries else self._base_term

    def term_at(self, index: int) -> int | None:
        """Return the term at an index; None if it is below `base_index` or absent."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def slice(self, start: int, count: int) -> tuple[Entry, ...]:
        """Return up to `count` entries, the first at index `start`."""
        offset = start - self._base_index - 1
        return tuple(self._entries[offset : offset + count])

    def last_voters(self, up_to_index: int) -> tuple[int, tuple[str, ...]] | None:
        """Return index and voters of the last voter change up to an index.

        None if no entry in memory changes the voters.
        """
        for entry in reversed(self._entries[: up_to_index - self._base_index]):
            if entry.voters:
                return entry.index, entry.voters
        return None

    def append(self, entries: Iterable[Entry]) -> None:
        """Add entries; the first must directly follow the last one."""
        self._entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at an index and all entries after it."""
        del self._entries[index - self._base_index - 1 :]

    def compact(self, index: int, term: int) -> None:
        """Remove all entries up to an index that a snapshot covers.

        Entries after it are kept only if the log holds that index in the same term;
        otherwise they conflict with the snapshot.
        """
        if self.term_at(index) == term:
            del self._entries[: index - self._base_index]
        else:
            self._entries.clear()
        self._base_index = index
        self._base_term = term
