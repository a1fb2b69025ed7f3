"""Since when endpoints drain."""

import math
from dataclasses import dataclass
from typing import Final

UNKNOWN_AGE_MS: Final = math.inf


@dataclass(frozen=True, slots=True)
class Drain:
    """How long ago an endpoint was first known to drain, when this was sent.

    `age_ms` is `UNKNOWN_AGE_MS` if the sender has restarted since and only knows that
    the endpoint drains.
    """

    endpoint: str
    incarnation: int
    age_ms: float
