"""A metrics page in the Prometheus text format, based on OpenTelemetry."""

from collections.abc import Callable, Iterable

from aiohttp import web
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

ObservationSource = Callable[[], Iterable[Observation]]


class MetricsPage:
    """Register counters and gauges whose values are read for each request."""

    def __init__(self, name: str) -> None:
        self._reader = PrometheusMetricReader()
        self._provider = MeterProvider(metric_readers=[self._reader])
        self._meter = self._provider.get_meter(name)

    def counter(self, name: str, description: str, source: ObservationSource) -> None:
        """Add a counter whose values come from a callback."""
        self._meter.create_observable_counter(
            name, callbacks=[_callback(source)], description=description
        )

    def gauge(self, name: str, description: str, source: ObservationSource) -> None:
        """Add a gauge whose values come from a callback."""
        self._meter.create_observable_gauge(
            name, callbacks=[_callback(source)], description=description
        )

    def routes(self) -> list[web.RouteDef]:
        """Return the route of the metrics page."""
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


def single_value(value: Callable[[], float]) -> ObservationSource:
    """Return a source with a single observation without labels."""
    return lambda: (Observation(value()),)
