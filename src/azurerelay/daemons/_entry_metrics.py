"""The metrics of an entry host."""

from collections.abc import Iterable

from aiohttp import web
from opentelemetry.metrics import Observation

from azurerelay.daemons._metrics_page import MetricsPage, single_value
from azurerelay.entry import EntryNode
from azurerelay.runtime import ZmqLink


class EntryMetrics:
    """Export the counters and the state of an entry host as metrics."""

    def __init__(self, node: EntryNode, link: ZmqLink) -> None:
        self._node = node
        self._page = MetricsPage("azurerelay.entry")
        counters = node.counters
        page = self._page
        page.counter("azurerelay_requests", "Requests by outcome", self._outcomes)
        page.counter("azurerelay_reads", "Reads by role of endpoint", self._reads)
        page.counter(
            "azurerelay_retries", "Retries made", single_value(lambda: counters.retries)
        )
        page.counter(
            "azurerelay_replays",
            "Answers given from the registry",
            single_value(lambda: counters.replays),
        )
        page.counter(
            "azurerelay_forwarded",
            "Requests passed on to a serving host",
            single_value(lambda: node.forwarder.forwarded),
        )
        page.counter("azurerelay_link_bytes", "Link bytes", lambda: _link_bytes(link))
        page.counter(
            "azurerelay_link_dropped",
            "Messages dropped",
            lambda: (
                Observation(link.dropped, {"reason": "queue"}),
                Observation(link.malformed, {"reason": "malformed"}),
                Observation(link.untrusted, {"reason": "untrusted"}),
                Observation(node.forwarder.dropped, {"reason": "late"}),
            ),
        )
        page.gauge("azurerelay_connections", "Open connections", self._connections)
        page.gauge("azurerelay_queued", "Requests in queues", self._queued)
        page.counter("azurerelay_queue_ms", "Time in queues", self._queue_time)
        page.gauge("azurerelay_staleness_ms", "Staleness of replicas", self._staleness)
        page.gauge(
            "azurerelay_in_flight",
            "Requests in work",
            single_value(lambda: node.in_flight),
        )
        page.gauge(
            "azurerelay_has_lease",
            "Whether a lease is held",
            single_value(lambda: float(node.session.has_lease())),
        )
        page.gauge(
            "azurerelay_settings_number",
            "Settings number in force",
            single_value(lambda: node.state.settings_number),
        )
        page.counter(
            "azurerelay_control_switches",
            "How often another control host was tried",
            single_value(lambda: node.session.switches),
        )
        page.gauge(
            "azurerelay_control_silence_ms",
            "Time since control was last heard",
            single_value(lambda: node.session.silence_ms),
        )

    def routes(self) -> list[web.RouteDef]:
        """Return the route of the metrics page."""
        return self._page.routes()

    def _outcomes(self) -> Iterable[Observation]:
        for outcome, count in self._node.outcome_counts.items():
            yield Observation(count, {"outcome": outcome.value})

    def _reads(self) -> Iterable[Observation]:
        counters = self._node.counters
        yield Observation(counters.replica_reads, {"role": "replica"})
        yield Observation(counters.primary_reads, {"role": "primary"})

    def _connections(self) -> Iterable[Observation]:
        for group, server in self._node.group_servers.by_group.items():
            for name, channel in server.channels.by_name.items():
                labels = {"group": group, "endpoint": name}
                yield Observation(channel.pool.open_count, labels)

    def _queued(self) -> Iterable[Observation]:
        for group, server in self._node.group_servers.by_group.items():
            for name, channel in server.channels.by_name.items():
                yield Observation(
                    channel.gate.queued, {"group": group, "endpoint": name}
                )

    def _queue_time(self) -> Iterable[Observation]:
        for group, server in self._node.group_servers.by_group.items():
            for name, channel in server.channels.by_name.items():
                labels = {"group": group, "endpoint": name}
                yield Observation(channel.gate.total_queue_wait_ms, labels)

    def _staleness(self) -> Iterable[Observation]:
        for group, server in self._node.group_servers.by_group.items():
            tracker = server.tracker
            for view in tracker.views.values():
                lag_ms = tracker.lag_ms(view.position)
                if lag_ms is not None:
                    yield Observation(lag_ms, {"group": group, "endpoint": view.name})


def _link_bytes(link: ZmqLink) -> Iterable[Observation]:
    yield Observation(link.sent_bytes, {"direction": "sent"})
    yield Observation(link.received_bytes, {"direction": "received"})
