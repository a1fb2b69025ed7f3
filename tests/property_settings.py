"""Settings that the property tests of state machines share."""

import os

from hypothesis import HealthCheck, Phase, settings


def property_settings(default_examples: int) -> settings:
    """Return settings that draw the same examples in every run.

    The environment variable `AZURERELAY_EXAMPLES` overrides the number of examples.
    """
    return settings(
        max_examples=int(os.environ.get("AZURERELAY_EXAMPLES", default_examples)),
        stateful_step_count=40,
        derandomize=True,
        deadline=None,
        database=None,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )
