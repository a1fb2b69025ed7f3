"""Durable storage: a small disk interface and checksummed records on top of it."""

from azurerelay.storage._corrupt_record import CorruptRecord
from azurerelay.storage._disk import Disk, DiskError
from azurerelay.storage._folder_disk import FolderDisk
from azurerelay.storage._memory_disk import MemoryDisk
from azurerelay.storage._records import RecordScan, encode_record, scan_records

__all__ = [
    "CorruptRecord",
    "Disk",
    "DiskError",
    "FolderDisk",
    "MemoryDisk",
    "RecordScan",
    "encode_record",
    "scan_records",
]
