"""The directory of endpoints in a file, for the next start."""

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
    """Save the directory after changes; nothing depends on the file being there.

    It is written by a thread, since a disk may hang for seconds.
    """

    def __init__(self, disk: Disk, directory: EndpointDirectory) -> None:
        self._disk = disk
        self._directory = directory
        self._task: asyncio.Task[None] | None = None

    def load(self) -> tuple[Announcement, ...]:
        """Return what was saved last."""
        data = self._disk.read(CACHE_FILE)
        if not data:
            return ()
        try:
            return _DECODER.decode(data)
        except msgspec.MsgspecError as error:
            logging.warning("%s cannot be read, and is ignored: %s", CACHE_FILE, error)
            return ()

    def start(self) -> None:
        """Begin to save."""
        self._task = asyncio.get_running_loop().create_task(self._save_changes())

    def stop(self) -> None:
        """Cease to save."""
        if self._task is not None:
            self._task.cancel()

    async def _save_changes(self) -> None:
        saved = -1
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            revision = self._directory.revision
            if revision == saved:
                continue
            data = msgspec.msgpack.encode(self._directory.announcements)
            try:
                await asyncio.to_thread(self._disk.replace, CACHE_FILE, data)
                saved = revision
            except DiskError as error:
                logging.warning("the directory was not saved: %s", error)
