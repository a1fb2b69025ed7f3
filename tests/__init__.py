"""Tests; Hypothesis is configured to generate the same examples on every machine."""

from hypothesis import HealthCheck, settings

# The health check for slow data generation and the deadline are disabled because their
# results depend on the load of the machine and not on the code under test.
settings.register_profile(
    "azurerelay",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("azurerelay")
