"""Statements of callers, commands to endpoints, and the replies to both."""

from azurerelay.statements._caller_reply import CallerError, CallerReply
from azurerelay.statements._commands import (
    AskStatus,
    DropTransaction,
    EndpointCommand,
    OpenTransaction,
    PrepareShape,
    ResetSession,
    RunPrepared,
    RunText,
    SetSessionValue,
)
from azurerelay.statements._endpoint_reply import (
    NOT_RUN,
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
    "NOT_RUN",
    "AskStatus",
    "Begin",
    "CallerError",
    "CallerReply",
    "Commit",
    "ConnectFailed",
    "ConnectionLost",
    "Deallocate",
    "DropTransaction",
    "EndpointCommand",
    "EndpointConnector",
    "EndpointError",
    "EndpointReply",
    "EndpointSession",
    "Execute",
    "OpenTransaction",
    "Position",
    "Prepare",
    "PrepareShape",
    "Read",
    "ResetSession",
    "Rollback",
    "RunPrepared",
    "RunText",
    "SessionState",
    "SetSessionValue",
    "SetValue",
    "Statement",
    "Write",
]
