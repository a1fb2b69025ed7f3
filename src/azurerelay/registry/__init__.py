"""At-most-once keyed writes: intents recorded at a majority of the serving set."""

from azurerelay.registry._idempotency_registry import IdempotencyRegistry
from azurerelay.registry._messages import (
    REGISTRY_MESSAGES,
    AbortNotice,
    CollectReply,
    CollectRequest,
    IntentReply,
    IntentRequest,
    IntentStatus,
    OutcomeReply,
    OutcomeRequest,
    RegistryEntry,
    StoredOutcome,
)
from azurerelay.registry._registry_coordinator import (
    IntentDecision,
    IntentVerdict,
    RegistryCoordinator,
)

__all__ = [
    "REGISTRY_MESSAGES",
    "AbortNotice",
    "CollectReply",
    "CollectRequest",
    "IdempotencyRegistry",
    "IntentDecision",
    "IntentReply",
    "IntentRequest",
    "IntentStatus",
    "IntentVerdict",
    "OutcomeReply",
    "OutcomeRequest",
    "RegistryCoordinator",
    "RegistryEntry",
    "StoredOutcome",
]
