"""Cache file of the endpoint directory, read at the next start."""

import asyncio
from typing import Final

import msgspec
from absl import logging

from azurerelay.discovery import Announcement, EndpointDirectory
from azurerelay.storage import Disk, DiskError

CACHE_FILE: Final = "directory.cache"
SAVE_INTERVAL_S: Final = 1.0
_DECODER: Final = msgspec.msgpack.Decoder(tuple[Announcement, ...])


class DirectoryCache:
    """Save the endpoint directory to a file whenever it has changed.

    The file is optional: a host that starts without it learns of the endpoints later.
    It is written in a thread, because a disk can block for seconds.
    """

    def __init__(self, disk: Disk, directory: EndpointDirectory) -> None:
        self._disk = disk
        self._directory = directory
        self._task: asyncio.Task[None] | None = None

    def load(self) -> tuple[Announcement, ...]:
        """Return the saved announcements; none if the file is missing or corrupt."""
        data = self._disk.read(CACHE_FILE)
        if not data:
            return ()
        try:
            return _DECODER.decode(data)
        except msgspec.MsgspecError as error:
            logging.warning("ignoring corrupt file %s: %s", CACHE_FILE, error)
            return ()

    def start(self) -> None:
        """Start saving changes in the background."""
        self._task = asyncio.get_running_loop().create_task(self._save_changes())

    def stop(self) -> None:
        """Stop saving changes."""
        if self._task is not None:
            self._task.cancel()

    async def _save_changes(self) -> None:
        saved_revision = -1
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            revision = self._directory.revision
            if revision == saved_revision:
                continue
            data = msgspec.msgpack.encode(self._directory.announcements)
            try:
                await asyncio.to_thread(self._disk.replace, CACHE_FILE, data)
                saved_revision = revision
            except DiskError as error:
                logging.warning("could not save the endpoint directory: %s", error)
