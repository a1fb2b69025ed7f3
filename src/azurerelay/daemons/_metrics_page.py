"""A metrics page in the Prometheus text format, by OpenTelemetry."""

from collections.abc import Callable, Iterable

from aiohttp import web
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

ObservationSource = Callable[[], Iterable[Observation]]


class MetricsPage:
    """Register counters and gauges that are read when the page is asked for."""

    def __init__(self, name: str) -> None:
        self._reader = PrometheusMetricReader()
        self._provider = MeterProvider(metric_readers=[self._reader])
        self._meter = self._provider.get_meter(name)

    def counter(self, name: str, description: str, source: ObservationSource) -> None:
        """Add a counter."""
        self._meter.create_observable_counter(
            name, callbacks=[_callback(source)], description=description
        )

    def gauge(self, name: str, description: str, source: ObservationSource) -> None:
        """Add a gauge."""
        self._meter.create_observable_gauge(
            name, callbacks=[_callback(source)], description=description
        )

    def routes(self) -> list[web.RouteDef]:
        """Return the route of the page."""
        return [web.get("/metrics", self._page)]

    async def _page(self, request: web.Request) -> web.Response:
        return web.Response(
            body=generate_latest(REGISTRY),
            headers={"Content-Type": "text/plain; version=0.0.4; charset=utf-8"},
        )


def _callback(
    source: ObservationSource,
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    return lambda options: source()


def single(value: Callable[[], float]) -> ObservationSource:
    """Return a source of one value without attributes."""
    return lambda: (Observation(value()),)
