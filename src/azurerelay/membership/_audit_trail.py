"""Bounded audit trail whose older records are kept encoded."""

from collections.abc import Iterable
from typing import Final

import msgspec

from azurerelay.membership._audit_record import AuditRecord

MAX_AUDIT_RECORDS: Final = 20_000
RECENT_RECORDS: Final = 1_000
_DECODER: Final = msgspec.msgpack.Decoder(tuple[AuditRecord, ...])


class AuditTrail:
    """Audit records, oldest first.

    The newest records are kept as objects, the older ones as encoded bytes. A restart
    loads the encoded part without decoding it, so that the time to start does not
    grow with the length of the trail. Records beyond `MAX_AUDIT_RECORDS` are dropped,
    oldest first, each time that the older part is encoded again.
    """

    def __init__(self, older: bytes = b"", recent: Iterable[AuditRecord] = ()) -> None:
        self._older = older
        self._recent = list(recent)

    @property
    def older(self) -> bytes:
        """The encoded older records; empty if there are none."""
        return self._older

    @property
    def recent(self) -> tuple[AuditRecord, ...]:
        """The newest records, which are not encoded."""
        return tuple(self._recent)

    @property
    def records(self) -> tuple[AuditRecord, ...]:
        """All records, oldest first; decodes the older ones."""
        older = _DECODER.decode(self._older) if self._older else ()
        return older + self.recent

    def append(self, record: AuditRecord) -> None:
        """Append a record."""
        self._recent.append(record)
        if len(self._recent) >= 2 * RECENT_RECORDS:
            self._archive()

    def _archive(self) -> None:
        """Encode all but the newest records, and drop the oldest beyond the maximum."""
        kept = self.records[-MAX_AUDIT_RECORDS:]
        self._older = msgspec.msgpack.encode(kept[:-RECENT_RECORDS])
        self._recent = list(kept[-RECENT_RECORDS:])
