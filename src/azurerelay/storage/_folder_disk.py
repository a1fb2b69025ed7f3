"""Disk interface on a folder of the file system."""

import os
from pathlib import Path
from typing import Final

from azurerelay.storage._disk import DiskError

TEMPORARY_SUFFIX: Final = ".tmp"


class FolderDisk:
    """Implement `Disk` in one data folder, which is created if it is missing."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._descriptors: dict[str, int] = {}
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def folder(self) -> Path:
        """The data folder."""
        return self._folder

    def names(self) -> list[str]:
        """Return the names of all files, sorted, without unfinished replacements."""
        return sorted(
            path.name
            for path in self._folder.iterdir()
            if path.is_file() and path.suffix != TEMPORARY_SUFFIX
        )

    def read(self, name: str) -> bytes:
        """Return a file's content, or empty bytes if there is no such file."""
        path = self._folder / name
        return path.read_bytes() if path.exists() else b""

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file, without a sync; raise `DiskError` on failure."""
        try:
            descriptor = self._open(name)
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
        except OSError as error:
            raise DiskError(f"{self._folder / name}: {error.strerror}") from error

    def truncate(self, name: str, length: int) -> None:
        """Truncate a file to a length in bytes and sync it."""
        try:
            descriptor = self._open(name)
            os.ftruncate(descriptor, length)
            os.fsync(descriptor)
        except OSError as error:
            raise DiskError(f"{self._folder / name}: {error.strerror}") from error

    def sync(self, name: str) -> None:
        """Make a file's content durable; raise `DiskError` on failure."""
        try:
            os.fdatasync(self._open(name))
        except OSError as error:
            raise DiskError(f"{self._folder / name}: {error.strerror}") from error

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically, by a rename of a synced temporary file."""
        temporary = self._folder / (name + TEMPORARY_SUFFIX)
        try:
            with temporary.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            self._close(name)
            temporary.replace(self._folder / name)
            self._sync_folder()
        except OSError as error:
            raise DiskError(f"{self._folder / name}: {error.strerror}") from error

    def remove(self, name: str) -> None:
        """Delete a file if it exists and sync the folder."""
        self._close(name)
        (self._folder / name).unlink(missing_ok=True)
        self._sync_folder()

    def close(self) -> None:
        """Close all open file descriptors."""
        for name in list(self._descriptors):
            self._close(name)

    def _open(self, name: str) -> int:
        descriptor = self._descriptors.get(name)
        if descriptor is not None:
            return descriptor
        path = self._folder / name
        is_new = not path.exists()
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._descriptors[name] = os.open(path, flags, 0o600)
        if is_new:
            self._sync_folder()
        return self._descriptors[name]

    def _close(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
