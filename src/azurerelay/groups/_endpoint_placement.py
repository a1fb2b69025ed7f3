"""An endpoint in the explanation of a placement."""

from dataclasses import dataclass

from azurerelay.pooling import EvaluatedCandidate


@dataclass(frozen=True, slots=True)
class EndpointPlacement:
    """An endpoint, and the age of what the host knows of it; None if it knows nothing.

    `outcome_age_ms` is the time since the last answer or failure, `position_age_ms`
    that since the endpoint stated its position. Of one that `is_crowded`, all
    connections are in use or held by other hosts.
    """

    evaluation: EvaluatedCandidate
    outcome_age_ms: float | None
    position_age_ms: float | None
    is_crowded: bool
