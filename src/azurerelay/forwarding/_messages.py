"""Messages that carry forwarded requests and their answers between hosts."""

from dataclasses import dataclass
from typing import Final

from azurerelay.requests import CallerRequest


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A caller's request, forwarded to a serving host."""

    request_id: int
    request: CallerRequest


@dataclass(frozen=True, slots=True)
class AnswerChunk:
    """One chunk of an encoded answer.

    `number` counts from 0; `load` is the number of requests in progress on the
    serving host.
    """

    request_id: int
    number: int
    is_last: bool
    load: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ChunkCredit:
    """Permission to send the chunks whose number is below `limit`."""

    request_id: int
    limit: int


FORWARD_MESSAGES: Final = (ForwardRequest, AnswerChunk, ChunkCredit)
