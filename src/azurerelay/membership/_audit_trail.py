"""The bounded audit trail, of which the older part is kept encoded."""

from collections.abc import Iterable
from typing import Final

import msgspec

from azurerelay.membership._audit_record import AuditRecord

MAX_AUDIT_RECORDS: Final = 20_000
RECENT_RECORDS: Final = 1_000
_DECODER: Final = msgspec.msgpack.Decoder(tuple[AuditRecord, ...])


class AuditTrail:
    """Append records and read them all; the oldest fall out beyond the bound.

    A restart takes over the older part as bytes and decodes it when it is first
    read, so that its time does not grow with the history.
    """

    def __init__(self, older: bytes = b"", recent: Iterable[AuditRecord] = ()) -> None:
        self._older = older
        self._recent = list(recent)

    @property
    def older(self) -> bytes:
        """The encoded older part; empty when there is none."""
        return self._older

    @property
    def recent(self) -> tuple[AuditRecord, ...]:
        """The records after the older part."""
        return tuple(self._recent)

    @property
    def records(self) -> tuple[AuditRecord, ...]:
        """All records, oldest first."""
        older = _DECODER.decode(self._older) if self._older else ()
        return older + self.recent

    def append(self, record: AuditRecord) -> None:
        """Add a record."""
        self._recent.append(record)
        if len(self._recent) >= 2 * RECENT_RECORDS:
            self._fold()

    def _fold(self) -> None:
        """Move all but the newest records to the encoded part."""
        kept = self.records[-MAX_AUDIT_RECORDS:]
        self._older = msgspec.msgpack.encode(kept[:-RECENT_RECORDS])
        self._recent = list(kept[-RECENT_RECORDS:])
