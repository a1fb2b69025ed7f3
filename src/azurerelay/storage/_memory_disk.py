"""Disk interface in memory, with simulated disk failures."""

import random

from azurerelay.storage._disk import DiskError


class MemoryDisk:
    """Implement `Disk` in memory; `crash` discards data that was not synced."""

    def __init__(self) -> None:
        self._written: dict[str, bytes] = {}
        self._synced: dict[str, bytes] = {}
        self._is_full = False

    @property
    def is_full(self) -> bool:
        """Whether writes and syncs fail as on a full disk."""
        return self._is_full

    @is_full.setter
    def is_full(self, is_full: bool) -> None:
        self._is_full = is_full

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self._written)

    def read(self, name: str) -> bytes:
        """Return a file's content, or empty bytes if there is no such file."""
        return self._written.get(name, b"")

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file, without a sync; raise `DiskError` on failure."""
        self._check_space(name)
        self._written[name] = self.read(name) + data

    def truncate(self, name: str, length: int) -> None:
        """Truncate a file to a length in bytes and sync it."""
        self._written[name] = self.read(name)[:length]
        self.sync(name)

    def sync(self, name: str) -> None:
        """Make a file's content durable; raise `DiskError` on failure."""
        self._check_space(name)
        self._synced[name] = self.read(name)

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content atomically and durably."""
        self._check_space(name)
        self._written[name] = data
        self._synced[name] = data

    def remove(self, name: str) -> None:
        """Delete a file durably; do nothing if it does not exist."""
        self._written.pop(name, None)
        self._synced.pop(name, None)

    def corrupt(self, name: str, offset: int) -> None:
        """Invert all bits of one stored byte."""
        data = bytearray(self._written[name])
        data[offset] ^= 0xFF
        self._written[name] = bytes(data)
        self._synced[name] = bytes(data)

    def crash(self, random_source: random.Random | None = None) -> None:
        """Discard all bytes that were not synced.

        With a random source, keep a random prefix of them, as a torn write does.
        """
        for name, written in list(self._written.items()):
            synced = self._synced.get(name, b"")
            lost = written[len(synced) :] if written.startswith(synced) else b""
            kept = random_source.randint(0, len(lost)) if random_source else 0
            self._written[name] = synced + lost[:kept]
            self._synced[name] = self._written[name]

    def _check_space(self, name: str) -> None:
        if self._is_full:
            raise DiskError(f"{name}: no space left")
