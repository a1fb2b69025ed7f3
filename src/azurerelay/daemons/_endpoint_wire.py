"""The JSON encoding of endpoint calls, answers and failures."""

from typing import Final

import msgspec
from result import Err, Ok

from azurerelay.endpoints import (
    BeginCall,
    CallResult,
    CommitCall,
    ConnectCall,
    EndpointAnswer,
    EndpointCall,
    EndpointFailure,
    FailureKind,
    FenceCall,
    FollowCall,
    KnobsCall,
    PromoteCall,
    PullCall,
    RollbackCall,
    StatementCall,
    StatusCall,
)

CALL_PATHS: Final = {
    ConnectCall: "connect",
    StatementCall: "statement",
    BeginCall: "begin",
    CommitCall: "commit",
    RollbackCall: "rollback",
    StatusCall: "status",
    FenceCall: "fence",
    PromoteCall: "promote",
    FollowCall: "follow",
    PullCall: "pull",
    KnobsCall: "knobs",
}
CALL_DECODERS: Final[dict[str, msgspec.json.Decoder[EndpointCall]]] = {
    path: msgspec.json.Decoder(call) for call, path in CALL_PATHS.items()
}
_ENCODER: Final = msgspec.json.Encoder()
_ANSWER_DECODER: Final = msgspec.json.Decoder(EndpointAnswer)
_FAILURE_DECODER: Final = msgspec.json.Decoder(EndpointFailure)

STATUS_OK: Final = 200
STATUS_REFUSED: Final = 409


def encode_call(call: EndpointCall) -> bytes:
    """Return the JSON body of a call."""
    return _ENCODER.encode(call)


def encode_result(outcome: CallResult) -> tuple[int, bytes]:
    """Return the HTTP status and the JSON body of a call's result."""
    if isinstance(outcome, Ok):
        return STATUS_OK, _ENCODER.encode(outcome.ok_value)
    return STATUS_REFUSED, _ENCODER.encode(outcome.err_value)


def decode_result(status: int, body: bytes) -> CallResult:
    """Return the result in a response; a LOST failure if it cannot be decoded."""
    try:
        if status == STATUS_OK:
            return Ok(_ANSWER_DECODER.decode(body))
        if status == STATUS_REFUSED:
            return Err(_FAILURE_DECODER.decode(body))
    except msgspec.MsgspecError as error:
        return Err(EndpointFailure(FailureKind.LOST, f"unreadable answer: {error}"))
    return Err(EndpointFailure(FailureKind.LOST, f"unexpected status {status}"))
