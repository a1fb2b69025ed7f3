"""HTTP service for metrics in the Prometheus text format."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

from azurerelay.hosts._http_service import HttpRequest, HttpServerResponse, HttpService
from azurerelay.hosts._resource_limits import ResourceLimits
from azurerelay.telemetry import LATENCY_BOUNDS_MS, Meters

METRICS_PORT: Final = 9464  # default of OpenTelemetry's Prometheus exporter
METRICS_PATH: Final = "/metrics"
CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
_PREFIX: Final = "azurerelay_"
_MS_PER_S: Final = 1_000.0

Gauges = Callable[[], Mapping[str, float]]
Page = Callable[[HttpRequest], HttpServerResponse]


class _PrometheusCollector:
    """Collector for prometheus_client that reads the meters and gauges on demand."""

    def __init__(self, meters: Meters, gauges: Gauges) -> None:
        self._meters = meters
        self._gauges = gauges

    def collect(self) -> Iterable[Any]:
        """Return one metric family for each metric name."""
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
            buckets, cumulative_count = [], 0
            for bound_ms, count in zip(
                LATENCY_BOUNDS_MS, histogram.counts, strict=False
            ):
                cumulative_count += count
                buckets.append((str(bound_ms / _MS_PER_S), cumulative_count))
            buckets.append(("+Inf", cumulative_count + histogram.counts[-1]))
            family.add_metric(
                [text for _, text in labels], buckets, histogram.sum_ms / _MS_PER_S
            )
        for name, gauge_value in self._gauges().items():
            families[name] = GaugeMetricFamily(_PREFIX + name, name, value=gauge_value)
        return families.values()


class MetricsService:
    """Serve the metrics at `METRICS_PATH`, and other pages at their paths.

    prometheus_client is imported on the first request, because its import would
    lengthen the start of the host.
    """

    def __init__(
        self,
        ip_address: str,
        meters: Meters,
        gauges: Gauges,
        resources: ResourceLimits | None = None,
        pages: Mapping[str, Page] | None = None,
    ) -> None:
        self._pages = pages or {}
        self._collector = _PrometheusCollector(meters, gauges)
        self._service = HttpService(
            "metrics",
            f"{ip_address}:{METRICS_PORT}",
            self._handle_request,
            resources,
            keeps_bodies=False,
        )

    async def start(self) -> None:
        """Bind the address and start serving."""
        await self._service.start()

    async def stop(self) -> None:
        """Close the listening socket."""
        await self._service.stop()

    async def _handle_request(self, request: HttpRequest) -> HttpServerResponse:
        if request.path in self._pages:
            return self._pages[request.path](request)
        if request.path != METRICS_PATH:
            return HttpServerResponse(404)
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self._collector)
        return HttpServerResponse(200, generate_latest(registry), CONTENT_TYPE)
