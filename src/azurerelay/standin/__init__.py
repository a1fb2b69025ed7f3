"""A simulated database endpoint for tests, the demo and benchmarks."""

from azurerelay.standin._standin_config import StandinConfig
from azurerelay.standin._standin_data import StandinData
from azurerelay.standin._standin_endpoint import StandinConnection, StandinEndpoint

__all__ = ["StandinConfig", "StandinConnection", "StandinData", "StandinEndpoint"]
