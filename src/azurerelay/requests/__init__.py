"""Requests of callers and the answers to them."""

from azurerelay.requests._caller_answer import CallerAnswer, ErrorCode, Outcome
from azurerelay.requests._caller_request import CallerRequest, Operation

__all__ = ["CallerAnswer", "CallerRequest", "ErrorCode", "Operation", "Outcome"]
