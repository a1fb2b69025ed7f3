"""Cache file of the endpoint directory, read at the next start."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, TypeVar

import msgspec
from absl import logging

from azurerelay.discovery import Announcement, Departure, EndpointDirectory
from azurerelay.storage import Disk, DiskError

T = TypeVar("T")

CACHE_FILE: Final = "directory.cache"
SAVE_INTERVAL_S: Final = 1.0
# An endpoint that leaves waits a second for its answer; a disk that hangs must not cost
# it that answer.
SAVE_TIMEOUT_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class SavedDirectory:
    """The endpoints of a directory, and those that departed recently.

    `former_members` are removed endpoints that may hold commits no other has.
    """

    announcements: tuple[Announcement, ...] = ()
    departures: tuple[Departure, ...] = ()
    former_members: tuple[Announcement, ...] = ()


@dataclass(frozen=True, slots=True)
class _EncodedDirectory:
    """A `SavedDirectory` whose entries are not decoded yet."""

    announcements: tuple[msgspec.Raw, ...] = ()
    departures: tuple[msgspec.Raw, ...] = ()
    former_members: tuple[msgspec.Raw, ...] = ()


# Earlier builds saved the announcements alone.
_DECODER: Final = msgspec.msgpack.Decoder(_EncodedDirectory | tuple[msgspec.Raw, ...])
_ANNOUNCEMENT_DECODER: Final = msgspec.msgpack.Decoder(Announcement)
_DEPARTURE_DECODER: Final = msgspec.msgpack.Decoder(Departure)


class DirectoryCache:
    """Save the endpoint directory to a file whenever it has changed.

    The file is optional: a host that starts without it learns of the endpoints later.
    It is written in a thread, because a disk can block for seconds.
    """

    def __init__(self, disk: Disk, directory: EndpointDirectory) -> None:
        self._disk = disk
        self._directory = directory
        self._task: asyncio.Task[None] | None = None
        self._saved_revision = (-1, -1)
        self._lock = asyncio.Lock()

    def load(self) -> SavedDirectory:
        """Return the saved directory; empty if the file is missing or corrupt.

        Entries that cannot be read are left out.
        """
        try:
            data = self._disk.read(CACHE_FILE)
            saved = _DECODER.decode(data) if data else _EncodedDirectory()
        except (OSError, msgspec.MsgspecError, RecursionError) as error:
            logging.warning("ignoring corrupt file %s: %s", CACHE_FILE, error)
            return SavedDirectory()
        if not isinstance(saved, _EncodedDirectory):
            saved = _EncodedDirectory(saved)
        return SavedDirectory(
            _decode_entries(saved.announcements, _ANNOUNCEMENT_DECODER),
            _decode_entries(saved.departures, _DEPARTURE_DECODER),
            _decode_entries(saved.former_members, _ANNOUNCEMENT_DECODER),
        )

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
        """Save the directory if it has changed; log an error, as the next call retries.

        An error must not end the periodic task.
        """
        async with self._lock:
            former_members = self._directory.former_members
            revision = (self._directory.revision, former_members.revision)
            if revision == self._saved_revision:
                return
            try:
                data = _encode_directory(self._directory)
                await asyncio.to_thread(self._disk.replace, CACHE_FILE, data)
                self._saved_revision = revision
            except DiskError as error:
                logging.warning("could not save the endpoint directory: %s", error)
            except Exception:
                logging.exception("could not save the endpoint directory")


def _encode_directory(directory: EndpointDirectory) -> bytes:
    saved = SavedDirectory(
        directory.announcements,
        directory.departures,
        directory.former_members.announcements,
    )
    try:
        return msgspec.msgpack.encode(saved)
    except Exception as error:
        logging.warning(
            "leaving out the entries of %s that cannot be encoded: %s",
            CACHE_FILE,
            error,
        )
    return msgspec.msgpack.encode(
        SavedDirectory(
            tuple(entry for entry in saved.announcements if _is_encodable(entry)),
            tuple(entry for entry in saved.departures if _is_encodable(entry)),
            tuple(entry for entry in saved.former_members if _is_encodable(entry)),
        )
    )


def _is_encodable(entry: Announcement | Departure) -> bool:
    try:
        msgspec.msgpack.encode(entry)
    except Exception:
        # The caller has logged that entries are left out.
        return False
    return True


def _decode_entries(
    entries: Iterable[msgspec.Raw], decoder: "msgspec.msgpack.Decoder[T]"
) -> tuple[T, ...]:
    decoded, unreadable = [], 0
    for entry in entries:
        try:
            decoded.append(decoder.decode(entry))
        except (msgspec.MsgspecError, RecursionError):
            unreadable += 1
    if unreadable:
        logging.warning("ignoring %d unreadable entries of %s", unreadable, CACHE_FILE)
    return tuple(decoded)
