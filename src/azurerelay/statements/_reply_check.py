"""Whether a reply can be the one to a command.

Replies carry no request ID, so a connection matches them to commands by their order
alone. If a reply is lost or sent twice, those behind it are matched to the wrong
commands. Most of them can be told by what they state.
"""

from functools import singledispatch
from typing import Any

from azurerelay.statements._commands import (
    BeginTransaction,
    OpenSession,
    PauseReceiving,
    PrepareShape,
    QueryStatus,
    ResetSession,
    ResumeReceiving,
    RollbackTransaction,
    RunPrepared,
    RunStatement,
    SetSessionValue,
    TransactionEffect,
)
from azurerelay.statements._endpoint_reply import EndpointError, EndpointReply
from azurerelay.statements._session_state import SessionState


def find_mismatch(
    command: Any, state_before: SessionState, reply: EndpointReply
) -> str | None:
    """Return why a reply cannot be the one to a command, None if it can be.

    `state_before` is the state of the session before the command. Only a BEGIN that
    succeeds opens a transaction.
    """
    if not reply.is_success:
        return _find_error_mismatch(command, state_before, reply)
    return _find_success_mismatch(command, state_before, reply)


def _find_error_mismatch(
    command: Any, state_before: SessionState, reply: EndpointReply
) -> str | None:
    if isinstance(command, RollbackTransaction):
        # An endpoint may call a ROLLBACK outside a transaction malformed.
        if reply.error is not EndpointError.OTHER:
            return f"a ROLLBACK was refused: {reply.error_text}"
        return _find_state_mismatch(SessionState.IDLE, reply)
    if (state_before, reply.state) == (SessionState.IDLE, SessionState.IN_TRANSACTION):
        return "a refused command has opened a transaction"
    return None


@singledispatch
def _find_success_mismatch(
    command: Any, state_before: SessionState, reply: EndpointReply
) -> str | None:
    raise TypeError(f"unknown endpoint command: {type(command).__name__}")


@_find_success_mismatch.register
def _(
    command: BeginTransaction, state_before: SessionState, reply: EndpointReply
) -> str | None:
    return _find_row(reply) or _find_state_mismatch(SessionState.IN_TRANSACTION, reply)


@_find_success_mismatch.register
def _(
    command: OpenSession | RollbackTransaction,
    state_before: SessionState,
    reply: EndpointReply,
) -> str | None:
    return _find_row(reply) or _find_state_mismatch(SessionState.IDLE, reply)


@_find_success_mismatch.register
def _(
    command: SetSessionValue | PrepareShape | ResetSession,
    state_before: SessionState,
    reply: EndpointReply,
) -> str | None:
    return _find_row(reply) or _find_state_mismatch(state_before, reply)


@_find_success_mismatch.register
def _(
    command: QueryStatus | PauseReceiving | ResumeReceiving,
    state_before: SessionState,
    reply: EndpointReply,
) -> str | None:
    if not reply.rows:
        return "a status reply without a row"
    return _find_state_mismatch(state_before, reply)


@_find_success_mismatch.register
def _(
    command: RunPrepared, state_before: SessionState, reply: EndpointReply
) -> str | None:
    return _find_missing_signature(reply) or _find_state_mismatch(state_before, reply)


@_find_success_mismatch.register
def _(
    command: RunStatement, state_before: SessionState, reply: EndpointReply
) -> str | None:
    if command.effect is TransactionEffect.BEGINS:
        return _find_success_mismatch(BeginTransaction(), state_before, reply)
    expected = state_before
    if command.effect is TransactionEffect.ENDS:
        expected = SessionState.IDLE
    return _find_missing_signature(reply) or _find_state_mismatch(expected, reply)


def _find_row(reply: EndpointReply) -> str | None:
    return "rows in a reply to a command without rows" if reply.rows else None


def _find_missing_signature(reply: EndpointReply) -> str | None:
    return None if reply.signature else "a statement's reply without a signature"


def _find_state_mismatch(expected: SessionState, reply: EndpointReply) -> str | None:
    if reply.state is expected:
        return None
    return f"the state is {reply.state.value}, expected {expected.value}"
