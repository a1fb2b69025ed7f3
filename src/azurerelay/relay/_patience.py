"""How long a statement may wait for a scarce connection before it is refused."""

from typing import Final

from azurerelay.routes import Route

# Answers the load of a group whose endpoints take fewer connections than there are
# hosts, while more statements arrive than its endpoints can run. A caller that is
# refused goes to another host, which may have a connection. With a quarter of the
# target for each wait, a caller can try three hosts and still be answered in time.
WAIT_SHARE: Final = 0.25
MIN_WAIT_MS: Final = 100.0  # several times the cost of opening a connection


def crowded_wait_ms(route: Route) -> float:
    """Return how long a statement waits for a connection that other hosts hold.

    A group without a primary is another matter: any host would wait for it.
    """
    return max(MIN_WAIT_MS, WAIT_SHARE * route.target_latency_ms)
