"""Session tokens, which hold the log positions that a session has seen."""

from azurerelay.sessions._group_position import GroupPosition
from azurerelay.sessions._session_token import (
    EMPTY_TOKEN,
    InvalidToken,
    SessionToken,
    decode_token,
    encode_token,
)

__all__ = [
    "EMPTY_TOKEN",
    "GroupPosition",
    "InvalidToken",
    "SessionToken",
    "decode_token",
    "encode_token",
]
