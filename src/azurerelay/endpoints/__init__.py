"""Interface to database endpoints: calls, answers, failures and the port."""

from azurerelay.endpoints._calls import (
    BeginCall,
    CommitCall,
    ConnectCall,
    EndpointCall,
    FenceCall,
    FollowCall,
    KnobsCall,
    PromoteCall,
    PullCall,
    RollbackCall,
    StatementCall,
    StatusCall,
)
from azurerelay.endpoints._endpoint_answer import (
    EndpointAnswer,
    EndpointRole,
    LogEntry,
    Row,
    Scalar,
    Statement,
)
from azurerelay.endpoints._endpoint_failure import EndpointFailure, FailureKind
from azurerelay.endpoints._endpoint_port import (
    CallResult,
    EndpointConnection,
    EndpointPort,
)

__all__ = [
    "BeginCall",
    "CallResult",
    "CommitCall",
    "ConnectCall",
    "EndpointAnswer",
    "EndpointCall",
    "EndpointConnection",
    "EndpointFailure",
    "EndpointPort",
    "EndpointRole",
    "FailureKind",
    "FenceCall",
    "FollowCall",
    "KnobsCall",
    "LogEntry",
    "PromoteCall",
    "PullCall",
    "RollbackCall",
    "Row",
    "Scalar",
    "Statement",
    "StatementCall",
    "StatusCall",
]
