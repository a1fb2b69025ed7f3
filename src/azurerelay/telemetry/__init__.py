"""Counters and latency histograms without a metrics library."""

from azurerelay.telemetry._meters import LATENCY_BOUNDS_MS, Histogram, Labels, Meters

__all__ = ["LATENCY_BOUNDS_MS", "Histogram", "Labels", "Meters"]
