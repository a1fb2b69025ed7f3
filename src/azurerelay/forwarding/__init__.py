"""Requests forwarded to serving hosts, and their answers in numbered chunks."""

from azurerelay.forwarding._chunk_receiver import ChunkReceiver
from azurerelay.forwarding._chunk_sender import ChunkSender
from azurerelay.forwarding._messages import (
    FORWARD_MESSAGES,
    AnswerChunk,
    ChunkCredit,
    ForwardRequest,
)

__all__ = [
    "FORWARD_MESSAGES",
    "AnswerChunk",
    "ChunkCredit",
    "ChunkReceiver",
    "ChunkSender",
    "ForwardRequest",
]
