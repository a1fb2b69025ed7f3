"""Messages that carry requests and answers between hosts."""

from dataclasses import dataclass
from typing import Final

from azurerelay.requests import CallerRequest


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A caller's request for a serving host."""

    request_id: int
    request: CallerRequest


@dataclass(frozen=True, slots=True)
class AnswerChunk:
    """Part `number` of an encoded answer; `load` is the sender's requests in work."""

    request_id: int
    number: int
    is_last: bool
    load: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ChunkCredit:
    """Permission to send the chunks below `limit`."""

    request_id: int
    limit: int


FORWARD_MESSAGES: Final = (ForwardRequest, AnswerChunk, ChunkCredit)
