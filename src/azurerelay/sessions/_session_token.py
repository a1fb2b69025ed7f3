"""The opaque token that gives a session consistent reads on any host."""

import base64
import binascii
import zlib
from dataclasses import dataclass
from functools import lru_cache
from typing import Final

import msgspec
from result import Err, Ok, Result

from azurerelay.sessions._group_position import GroupPosition

TOKEN_VERSION: Final = 1
MAX_TOKEN_BYTES: Final = 4096
MAX_TOKEN_GROUPS: Final = 64
TOKEN_CACHE_SIZE: Final = 4096
_CHECKSUM_BYTES: Final = 4
_DECODER: Final = msgspec.msgpack.Decoder(tuple[int, tuple[tuple[str, int, int], ...]])


@dataclass(frozen=True, slots=True)
class InvalidToken:
    """The error for a token that cannot be decoded."""

    reason: str


@dataclass(frozen=True, slots=True)
class SessionToken:
    """The highest confirmed position that a session has seen in each group.

    `positions` is sorted by use, the most recently used group last.
    """

    positions: tuple[GroupPosition, ...] = ()

    def position(self, group: str) -> GroupPosition:
        """Return the session's position in a group; term and position 0 if none."""
        for position in self.positions:
            if position.group == group:
                return position
        return GroupPosition(0, 0, group)

    def with_position(self, position: GroupPosition) -> "SessionToken":
        """Return a token that also covers a position.

        The position's group becomes the most recently used one. Beyond
        `MAX_TOKEN_GROUPS` the least recently used group is dropped.
        """
        others = tuple(p for p in self.positions if p.group != position.group)
        newest = position.later(self.position(position.group))
        return SessionToken((*others, newest)[-MAX_TOKEN_GROUPS:])


EMPTY_TOKEN: Final = SessionToken()


@lru_cache(TOKEN_CACHE_SIZE)
def encode_token(token: SessionToken) -> str:
    """Return the token as base64url text without padding, for a header.

    The text encodes the version and the positions as MessagePack, followed by a
    CRC-32 checksum.
    """
    positions = [(p.group, p.term, p.position) for p in token.positions]
    body = msgspec.msgpack.encode((TOKEN_VERSION, positions))
    checksum = zlib.crc32(body).to_bytes(_CHECKSUM_BYTES, "big")
    return base64.urlsafe_b64encode(body + checksum).decode().rstrip("=")


@lru_cache(TOKEN_CACHE_SIZE)
def decode_token(text: str) -> Result[SessionToken, InvalidToken]:
    """Return the token that a header's text encodes.

    Text that is too long, does not match its checksum or has another version is an
    error, never an empty token.
    """
    if len(text) > MAX_TOKEN_BYTES:
        return Err(InvalidToken(f"longer than {MAX_TOKEN_BYTES} bytes"))
    try:
        padded = text + "=" * (-len(text) % 4)
        data = base64.b64decode(padded, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return Err(InvalidToken("not base64url text"))
    body = data[:-_CHECKSUM_BYTES]
    if zlib.crc32(body).to_bytes(_CHECKSUM_BYTES, "big") != data[-_CHECKSUM_BYTES:]:
        return Err(InvalidToken("checksum differs"))
    return _decode_body(body)


def _decode_body(body: bytes) -> Result[SessionToken, InvalidToken]:
    try:
        version, positions = _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        return Err(InvalidToken(str(error)))
    if version != TOKEN_VERSION:
        return Err(InvalidToken(f"version {version} is not {TOKEN_VERSION}"))
    if len(positions) > MAX_TOKEN_GROUPS:
        return Err(InvalidToken(f"more than {MAX_TOKEN_GROUPS} groups"))
    if any(term < 0 or position < 0 for _, term, position in positions):
        return Err(InvalidToken("negative position"))
    return Ok(SessionToken(tuple(GroupPosition(t, p, g) for g, t, p in positions)))
