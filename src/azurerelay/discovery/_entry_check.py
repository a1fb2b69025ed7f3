"""Checks of entries that other hosts have sent or an earlier build has saved."""

from azurerelay.discovery._announcement import Announcement
from azurerelay.discovery._departure import Departure
from azurerelay.discovery._field_limits import (
    MAX_DURATION_MS,
    MAX_SEQUENCE,
    MAX_SLOTS,
    MAX_UNIX_MS,
    is_endpoint_address,
    is_name,
    is_word,
)


def is_valid_announcement(announcement: Announcement) -> bool:
    """Return whether all fields are within their limits."""
    return (
        is_word(announcement.endpoint)
        and is_word(announcement.group)
        and is_name(announcement.failure_domain)
        and is_endpoint_address(announcement.address)
        and 0 <= announcement.slots <= MAX_SLOTS
        and 0 <= announcement.incarnation <= MAX_UNIX_MS
        and has_valid_progress(announcement)
    )


def has_valid_progress(announcement: Announcement) -> bool:
    """Return whether the fields that change with each heartbeat are within limits."""
    return (
        0 <= announcement.warmup_ms <= MAX_DURATION_MS
        and 0 <= announcement.sequence <= MAX_SEQUENCE
    )


def is_valid_departure(departure: Departure) -> bool:
    """Return whether all fields are within their limits."""
    return is_word(departure.endpoint) and 0 <= departure.incarnation <= MAX_UNIX_MS
