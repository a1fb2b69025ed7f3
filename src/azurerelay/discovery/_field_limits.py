"""Limits of the fields of announcements and departures.

Entries come from any program that can reach a control host, and travel to all other
hosts: a number that a message cannot hold, or an address that cannot be connected to,
must not get into a directory.
"""

import re
from typing import Final

MAX_NAME_LENGTH: Final = 1_024  # characters
MAX_SLOTS: Final = 1_000_000
MAX_DURATION_MS: Final = 366 * 24 * 3_600 * 1_000
MAX_UNIX_MS: Final = 253_402_300_799_999  # the end of the year 9999
MAX_SEQUENCE: Final = 2**63 - 1  # the largest signed 64-bit number
MAX_PORT: Final = 65_535
_MAX_OCTET: Final = 255
# The first octet 0 is reserved, and those from 224 on are multicast or reserved.
_HOST_FIRST_OCTETS: Final = range(1, 224)
_ADDRESS: Final = re.compile(
    r"(0|[1-9][0-9]{0,2})\.(0|[1-9][0-9]{0,2})\.(0|[1-9][0-9]{0,2})"
    r"\.(0|[1-9][0-9]{0,2}):([1-9][0-9]{0,4})"
)


def is_name(text: str) -> bool:
    """Return whether a text can be a name: printable, not empty, not too long."""
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable()


def is_word(text: str) -> bool:
    """Return whether a text is a name without blanks, as the line protocol needs it."""
    return is_name(text) and " " not in text


def is_endpoint_address(text: str) -> bool:
    """Return whether a text is `IP:PORT` with the IPv4 address of a single host."""
    match = _ADDRESS.fullmatch(text)
    if match is None:
        return False
    *octets, port = (int(number) for number in match.groups())
    is_host = octets[0] in _HOST_FIRST_OCTETS and max(octets) <= _MAX_OCTET
    return is_host and port <= MAX_PORT
