"""The metrics of a control host."""

from aiohttp import web
from opentelemetry.metrics import Observation

from azurerelay.control import ControlNode
from azurerelay.daemons._metrics_page import MetricsPage, single_value
from azurerelay.runtime import ZmqLink


class ControlMetrics:
    """Export the state of a control host's node and link as metrics."""

    def __init__(self, node: ControlNode, link: ZmqLink) -> None:
        self._page = page = MetricsPage("azurerelay.control")
        raft = node.raft
        page.gauge(
            "azurerelay_is_leader",
            "Whether it leads",
            single_value(lambda: raft.is_leader),
        )
        page.gauge(
            "azurerelay_log_term", "Term of the log", single_value(lambda: raft.term)
        )
        page.gauge(
            "azurerelay_commit_index",
            "Highest committed index",
            single_value(lambda: raft.commit_index),
        )
        page.gauge(
            "azurerelay_settings_number",
            "Settings number in force",
            single_value(lambda: node.state.settings_number),
        )
        page.counter(
            "azurerelay_elections",
            "Elections started here",
            single_value(lambda: raft.elections_started),
        )
        page.counter(
            "azurerelay_link_bytes",
            "Link bytes",
            lambda: (
                Observation(link.sent_bytes, {"direction": "sent"}),
                Observation(link.received_bytes, {"direction": "received"}),
            ),
        )

    def routes(self) -> list[web.RouteDef]:
        """Return the route of the metrics page."""
        return self._page.routes()
