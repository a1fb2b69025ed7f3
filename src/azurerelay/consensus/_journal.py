"""Durable storage of the replicated log: a journal file and a snapshot file."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from azurerelay.consensus._log import Log
from azurerelay.consensus._messages import Entry, HardState, SnapshotMark
from azurerelay.messages import TaggedCodec
from azurerelay.storage import CorruptRecord, Disk, encode_record, scan_records

JOURNAL_FILE: Final = "journal.bin"
SNAPSHOT_FILE: Final = "snapshot.bin"
_CODEC: Final = TaggedCodec((Entry, HardState, SnapshotMark))


@dataclass(frozen=True, slots=True)
class JournalState:
    """State loaded at startup: term and vote, log, and the snapshot, if any.

    `torn_bytes` is the length of the incomplete tail of the journal.
    """

    hard_state: HardState
    log: Log
    snapshot_mark: SnapshotMark | None
    snapshot: bytes
    torn_bytes: int


class Journal:
    """Write-ahead log of entries, terms and votes, with one snapshot.

    After each snapshot the journal is rewritten without the entries it covers.
    """

    def __init__(self, disk: Disk) -> None:
        self._disk = disk

    def load(
        self, truncate_torn_tail: bool = True
    ) -> Result[JournalState, CorruptRecord]:
        """Read the journal and the snapshot; damage before the tail is an error.

        The incomplete tail that an interrupted write leaves in the journal is
        ignored, and with `truncate_torn_tail` also truncated from the file.
        """
        snapshot = self._load_snapshot()
        if isinstance(snapshot, Err):
            return snapshot
        mark, data = snapshot.ok_value
        content = self._disk.read(JOURNAL_FILE)
        scan = scan_records(JOURNAL_FILE, content)
        if isinstance(scan, Err):
            return scan
        torn_bytes = len(content) - scan.ok_value.valid_bytes
        if torn_bytes and truncate_torn_tail:
            self._disk.truncate(JOURNAL_FILE, scan.ok_value.valid_bytes)
        return _rebuild(scan.ok_value.payloads, mark, data, torn_bytes)

    def append(self, records: Iterable[Entry | HardState]) -> None:
        """Append records to the journal and sync it; raise `DiskError` on failure."""
        data = b"".join(encode_record(_CODEC.encode(record)) for record in records)
        self._disk.append(JOURNAL_FILE, data)
        self._disk.sync(JOURNAL_FILE)

    def save_snapshot(self, mark: SnapshotMark, data: bytes) -> None:
        """Replace the snapshot.

        The journal still holds the entries that the snapshot covers, until `rewrite`
        removes them; `load` skips them.
        """
        content = encode_record(_CODEC.encode(mark)) + encode_record(data)
        self._disk.replace(SNAPSHOT_FILE, content)

    def rewrite(self, hard_state: HardState, entries: Iterable[Entry]) -> None:
        """Replace the journal by term, vote and the entries after the snapshot."""
        records: list[Entry | HardState] = [hard_state, *entries]
        content = b"".join(encode_record(_CODEC.encode(record)) for record in records)
        self._disk.replace(JOURNAL_FILE, content)

    def _load_snapshot(
        self,
    ) -> Result[tuple[SnapshotMark | None, bytes], CorruptRecord]:
        content = self._disk.read(SNAPSHOT_FILE)
        if not content:
            return Ok((None, b""))
        scan = scan_records(SNAPSHOT_FILE, content)
        if isinstance(scan, Err):
            return scan
        payloads = scan.ok_value.payloads
        if len(payloads) != 2:
            return Err(CorruptRecord(SNAPSHOT_FILE, 0, "snapshot is incomplete"))
        mark = _CODEC.decode(payloads[0])
        if isinstance(mark, Err):
            return Err(CorruptRecord(SNAPSHOT_FILE, 0, mark.err_value.reason))
        return Ok((mark.ok_value, payloads[1]))


def _rebuild(
    payloads: tuple[bytes, ...],
    mark: SnapshotMark | None,
    snapshot: bytes,
    torn_bytes: int,
) -> Result[JournalState, CorruptRecord]:
    hard_state = HardState(0, None, False)
    log = Log(mark.index, mark.term) if mark else Log()
    offset = 0
    for payload in payloads:
        decoded = _CODEC.decode(payload)
        if isinstance(decoded, Err):
            reason = decoded.err_value.reason
            return Err(CorruptRecord(JOURNAL_FILE, offset, reason))
        record = decoded.ok_value
        if isinstance(record, HardState):
            hard_state = record
        elif not _replay_entry(log, record):
            reason = f"gap in the log: entry {record.index} after {log.last_index}"
            return Err(CorruptRecord(JOURNAL_FILE, offset, reason))
        offset += len(encode_record(payload))
    return Ok(JournalState(hard_state, log, mark, snapshot, torn_bytes))


def _replay_entry(log: Log, entry: Entry) -> bool:
    """Add a journaled entry to the log; return False if it leaves a gap.

    An entry at an index that the log already holds replaces that one and all after it.
    """
    if entry.index <= log.base_index:
        return True
    if entry.index > log.last_index + 1:
        return False
    if entry.index <= log.last_index:
        log.truncate_from(entry.index)
    log.append([entry])
    return True
