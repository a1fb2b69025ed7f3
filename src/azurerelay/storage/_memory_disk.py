"""The storage port in memory, with the failures of a real disk."""

import random

from azurerelay.storage._disk import DiskError


class MemoryDisk:
    """Implement `Disk`; `crash` loses every byte that was not synced."""

    def __init__(self) -> None:
        self._written: dict[str, bytes] = {}
        self._synced: dict[str, bytes] = {}
        self._is_full = False

    @property
    def is_full(self) -> bool:
        """Whether writes fail for want of space."""
        return self._is_full

    @is_full.setter
    def is_full(self, is_full: bool) -> None:
        self._is_full = is_full

    def names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(self._written)

    def read(self, name: str) -> bytes:
        """Return a file's content; empty when there is no such file."""
        return self._written.get(name, b"")

    def append(self, name: str, data: bytes) -> None:
        """Add bytes at the end of a file."""
        self._check_space(name)
        self._written[name] = self.read(name) + data

    def truncate(self, name: str, length: int) -> None:
        """Cut a file and sync it."""
        self._written[name] = self.read(name)[:length]
        self.sync(name)

    def sync(self, name: str) -> None:
        """Make a file's content durable."""
        self._check_space(name)
        self._synced[name] = self.read(name)

    def replace(self, name: str, data: bytes) -> None:
        """Replace a whole file durably."""
        self._check_space(name)
        self._written[name] = data
        self._synced[name] = data

    def remove(self, name: str) -> None:
        """Delete a file durably."""
        self._written.pop(name, None)
        self._synced.pop(name, None)

    def corrupt(self, name: str, offset: int) -> None:
        """Flip the bits of one stored byte."""
        data = bytearray(self._written[name])
        data[offset] ^= 0xFF
        self._written[name] = bytes(data)
        self._synced[name] = bytes(data)

    def crash(self, random_source: random.Random | None = None) -> None:
        """Lose what was not synced; with a random source, tear the last write."""
        for name, written in list(self._written.items()):
            synced = self._synced.get(name, b"")
            lost = written[len(synced) :] if written.startswith(synced) else b""
            kept = random_source.randint(0, len(lost)) if random_source else 0
            self._written[name] = synced + lost[:kept]
            self._synced[name] = self._written[name]

    def _check_space(self, name: str) -> None:
        if self._is_full:
            raise DiskError(f"{name}: no space left")
