"""Counters and histograms that cost little to keep."""

from azurerelay.telemetry._meters import LATENCY_BOUNDS_MS, Histogram, Labels, Meters

__all__ = ["LATENCY_BOUNDS_MS", "Histogram", "Labels", "Meters"]
