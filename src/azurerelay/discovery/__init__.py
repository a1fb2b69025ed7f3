"""The directory of endpoints, built from their heartbeats."""

from azurerelay.discovery._announcement import Announcement
from azurerelay.discovery._departure import Departure
from azurerelay.discovery._directory_changes import DirectoryChanges
from azurerelay.discovery._drain import UNKNOWN_AGE_MS, Drain
from azurerelay.discovery._endpoint_directory import EndpointDirectory
from azurerelay.discovery._field_limits import (
    MAX_DURATION_MS,
    MAX_NAME_LENGTH,
    MAX_PORT,
    MAX_SEQUENCE,
    MAX_SLOTS,
    MAX_UNIX_MS,
    is_endpoint_address,
    is_name,
    is_word,
)

__all__ = [
    "MAX_DURATION_MS",
    "MAX_NAME_LENGTH",
    "MAX_PORT",
    "MAX_SEQUENCE",
    "MAX_SLOTS",
    "MAX_UNIX_MS",
    "UNKNOWN_AGE_MS",
    "Announcement",
    "Departure",
    "DirectoryChanges",
    "Drain",
    "EndpointDirectory",
    "is_endpoint_address",
    "is_name",
    "is_word",
]
