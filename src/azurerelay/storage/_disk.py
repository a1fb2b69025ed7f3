"""The storage port."""

from typing import Protocol


class DiskError(Exception):
    """A write or a sync failed; what was written since the last sync may be lost."""


class Disk(Protocol):
    """Files of one data folder; bytes last only once `sync` has returned."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return a file's content; empty when there is no such file."""

    def append(self, name: str, data: bytes) -> None:
        """Add bytes at the end of a file; raise `DiskError` on failure."""

    def truncate(self, name: str, length: int) -> None:
        """Cut a file to a length in bytes, and sync it."""

    def sync(self, name: str) -> None:
        """Make a file's content durable; raise `DiskError` on failure."""

    def replace(self, name: str, data: bytes) -> None:
        """Write a whole file so that after a crash it is the old or the new one."""

    def remove(self, name: str) -> None:
        """Delete a file durably; does nothing when there is none."""
