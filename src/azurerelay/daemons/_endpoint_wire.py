"""The JSON encoding of endpoint calls, answers and failures."""

from typing import Final

import msgspec
from result import Err, Ok

from azurerelay.daemons._wire_numbers import MAX_INTEGER
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
    """Return the result in a response; a LOST failure if it cannot be decoded.

    Also if it holds a term or a position that cannot be passed on to other hosts.
    """
    try:
        if status == STATUS_OK:
            answer = _ANSWER_DECODER.decode(body)
            numbers = (
                answer.term,
                answer.position,
                answer.log_term,
                answer.synced_term,
                answer.transaction or 0,
            )
            if min(numbers) < 0 or max(numbers) > MAX_INTEGER:
                detail = "unreadable answer: a number is out of range"
                return Err(EndpointFailure(FailureKind.LOST, detail))
            return Ok(answer)
        if status == STATUS_REFUSED:
            return Err(_FAILURE_DECODER.decode(body))
    except (msgspec.MsgspecError, RecursionError) as error:
        return Err(EndpointFailure(FailureKind.LOST, f"unreadable answer: {error}"))
    return Err(EndpointFailure(FailureKind.LOST, f"unexpected status {status}"))
