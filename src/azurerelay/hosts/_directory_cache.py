"""Cache file of the endpoint directory, read at the next start."""

import asyncio
from dataclasses import dataclass
from typing import Final

import msgspec
from absl import logging

from azurerelay.discovery import Announcement, Departure, EndpointDirectory
from azurerelay.storage import Disk, DiskError

CACHE_FILE: Final = "directory.cache"
SAVE_INTERVAL_S: Final = 1.0
# An endpoint that leaves waits a second for its answer; a disk that hangs must not cost
# it that answer.
SAVE_TIMEOUT_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class SavedDirectory:
    """The endpoints of a directory, and those that departed recently."""

    announcements: tuple[Announcement, ...] = ()
    departures: tuple[Departure, ...] = ()


# Earlier builds saved the announcements alone.
_DECODER: Final = msgspec.msgpack.Decoder(SavedDirectory | tuple[Announcement, ...])


class DirectoryCache:
    """Save the endpoint directory to a file whenever it has changed.

    The file is optional: a host that starts without it learns of the endpoints later.
    It is written in a thread, because a disk can block for seconds.
    """

    def __init__(self, disk: Disk, directory: EndpointDirectory) -> None:
        self._disk = disk
        self._directory = directory
        self._task: asyncio.Task[None] | None = None
        self._saved_revision = -1
        self._lock = asyncio.Lock()

    def load(self) -> SavedDirectory:
        """Return the saved directory; empty if the file is missing or corrupt."""
        data = self._disk.read(CACHE_FILE)
        if not data:
            return SavedDirectory()
        try:
            saved = _DECODER.decode(data)
        except msgspec.MsgspecError as error:
            logging.warning("ignoring corrupt file %s: %s", CACHE_FILE, error)
            return SavedDirectory()
        return saved if isinstance(saved, SavedDirectory) else SavedDirectory(saved)

    def start(self) -> None:
        """Start saving changes in the background."""
        self._task = asyncio.get_running_loop().create_task(self._save_periodically())

    def stop(self) -> None:
        """Stop saving changes."""
        if self._task is not None:
            self._task.cancel()

    async def save_soon(self) -> None:
        """Save a change now; return once it is durable or `SAVE_TIMEOUT_S` is over.

        Called before an endpoint is told that its departure is known: all control hosts
        may lose power right after that, and must not list the endpoint again.
        """
        save = asyncio.ensure_future(self._save())
        await asyncio.wait((save,), timeout=SAVE_TIMEOUT_S)

    async def _save_periodically(self) -> None:
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            await self._save()

    async def _save(self) -> None:
        async with self._lock:
            revision = self._directory.revision
            if revision == self._saved_revision:
                return
            saved = SavedDirectory(
                self._directory.announcements, self._directory.departures
            )
            data = msgspec.msgpack.encode(saved)
            try:
                await asyncio.to_thread(self._disk.replace, CACHE_FILE, data)
                self._saved_revision = revision
            except DiskError as error:
                logging.warning("could not save the endpoint directory: %s", error)
