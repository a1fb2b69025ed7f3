"""The metrics of a control host."""

from aiohttp import web
from opentelemetry.metrics import Observation

from azurerelay.control import ControlNode
from azurerelay.daemons._metrics_page import MetricsPage, single
from azurerelay.runtime import ZmqLink


class ControlMetrics:
    """Publish what a control host knows of itself."""

    def __init__(self, node: ControlNode, link: ZmqLink) -> None:
        self._page = page = MetricsPage("azurerelay.control")
        raft = node.raft
        page.gauge(
            "azurerelay_is_leader", "Whether it leads", single(lambda: raft.is_leader)
        )
        page.gauge("azurerelay_log_term", "Term of the log", single(lambda: raft.term))
        page.gauge(
            "azurerelay_commit_index",
            "Highest committed index",
            single(lambda: raft.commit_index),
        )
        page.gauge(
            "azurerelay_settings_number",
            "Settings number in force",
            single(lambda: node.state.number),
        )
        page.counter(
            "azurerelay_elections",
            "Elections started here",
            single(lambda: raft.elections_started),
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
        """Return the route of the page."""
        return self._page.routes()
