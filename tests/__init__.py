"""Tests; property tests draw the same examples on every machine, however slow it is."""

from hypothesis import HealthCheck, settings

# How long an example takes to draw says nothing about the code under test, and differs
# between an idle and a busy machine.
settings.register_profile(
    "azurerelay",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("azurerelay")
