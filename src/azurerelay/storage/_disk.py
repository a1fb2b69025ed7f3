"""Interface to durable storage."""

from typing import Protocol


class DiskError(Exception):
    """A write or sync failed; data written since the last sync may be lost."""


class Disk(Protocol):
    """The files of one data folder.

    Appended bytes survive a crash only once `sync` has returned; the other changes
    are durable when their method returns.
    """

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return a file's content, or empty bytes if there is no such file."""

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file, without a sync; raise `DiskError` on failure."""

    def truncate(self, name: str, length: int) -> None:
        """Truncate a file to a length in bytes and sync it."""

    def sync(self, name: str) -> None:
        """Make a file's content durable; raise `DiskError` on failure."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically: a crash leaves the old or the new content."""

    def remove(self, name: str) -> None:
        """Delete a file durably; do nothing if it does not exist."""
