"""The metrics page in the Prometheus text format."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

from azurerelay.hosts._http_service import HttpAnswer, HttpRequest, HttpService
from azurerelay.telemetry import LATENCY_BOUNDS_MS, Meters

METRICS_PORT: Final = 9464  # the usual port of OpenTelemetry's Prometheus exporter
METRICS_PATH: Final = "/metrics"
CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
_PREFIX: Final = "azurerelay_"
_MS_PER_S: Final = 1_000.0

Gauges = Callable[[], Mapping[str, float]]


class _MetersCollector:
    """Hand the figures to prometheus_client."""

    def __init__(self, meters: Meters, gauges: Gauges) -> None:
        self._meters = meters
        self._gauges = gauges

    def collect(self) -> Iterable[Any]:
        """Return all families."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        families: dict[str, Any] = {}
        for (name, labels), value in self._meters.counters.items():
            names = [label for label, _ in labels]
            family = families.get(name)
            if family is None:
                family = CounterMetricFamily(_PREFIX + name, name, labels=names)
                families[name] = family
            family.add_metric([text for _, text in labels], value)
        for (name, labels), histogram in self._meters.histograms.items():
            names = [label for label, _ in labels]
            family = families.get(name)
            if family is None:
                family = HistogramMetricFamily(_PREFIX + name, name, labels=names)
                families[name] = family
            buckets, total = [], 0
            for bound_ms, count in zip(
                LATENCY_BOUNDS_MS, histogram.counts, strict=False
            ):
                total += count
                buckets.append((str(bound_ms / _MS_PER_S), total))
            buckets.append(("+Inf", total + histogram.counts[-1]))
            family.add_metric(
                [text for _, text in labels], buckets, histogram.sum_ms / _MS_PER_S
            )
        for name, measured in self._gauges().items():
            families[name] = GaugeMetricFamily(_PREFIX + name, name, value=measured)
        return families.values()


class MetricsService:
    """Serve the page; the library is loaded with the first question."""

    def __init__(self, ip_address: str, meters: Meters, gauges: Gauges) -> None:
        self._collector = _MetersCollector(meters, gauges)
        self._service = HttpService(
            "metrics", f"{ip_address}:{METRICS_PORT}", self._answer
        )

    async def start(self) -> None:
        """Bind and serve."""
        await self._service.start()

    async def stop(self) -> None:
        """Close the server."""
        await self._service.stop()

    async def _answer(self, request: HttpRequest) -> HttpAnswer:
        if request.path != METRICS_PATH:
            return HttpAnswer(404)
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self._collector)
        return HttpAnswer(200, generate_latest(registry), CONTENT_TYPE)
