"""Statements of callers, commands to endpoints, and the replies to both."""

from azurerelay.statements._caller_reply import CallerError, CallerReply
from azurerelay.statements._commands import (
    BeginTransaction,
    EndpointCommand,
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
    StatusCommand,
    TransactionEffect,
)
from azurerelay.statements._endpoint_reply import (
    NOT_RUN_ERRORS,
    EndpointError,
    EndpointReply,
)
from azurerelay.statements._endpoint_session import (
    ConnectFailed,
    ConnectionLost,
    EndpointConnector,
    EndpointSession,
)
from azurerelay.statements._position import Position
from azurerelay.statements._reply_check import find_mismatch
from azurerelay.statements._reply_queue import ReplyPromise, ReplyQueue
from azurerelay.statements._session_state import SessionState
from azurerelay.statements._statements import (
    Begin,
    Commit,
    Deallocate,
    Execute,
    Prepare,
    Read,
    Rollback,
    SetValue,
    Statement,
    Write,
)

__all__ = [
    "NOT_RUN_ERRORS",
    "Begin",
    "BeginTransaction",
    "CallerError",
    "CallerReply",
    "Commit",
    "ConnectFailed",
    "ConnectionLost",
    "Deallocate",
    "EndpointCommand",
    "EndpointConnector",
    "EndpointError",
    "EndpointReply",
    "EndpointSession",
    "Execute",
    "OpenSession",
    "PauseReceiving",
    "Position",
    "Prepare",
    "PrepareShape",
    "QueryStatus",
    "Read",
    "ReplyPromise",
    "ReplyQueue",
    "ResetSession",
    "ResumeReceiving",
    "Rollback",
    "RollbackTransaction",
    "RunPrepared",
    "RunStatement",
    "SessionState",
    "SetSessionValue",
    "SetValue",
    "Statement",
    "StatusCommand",
    "TransactionEffect",
    "Write",
    "find_mismatch",
]
