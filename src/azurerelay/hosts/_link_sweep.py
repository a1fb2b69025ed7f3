"""How often unused link connections are closed."""

from typing import Final

# Several regular messages of each kind; a host that has moved to another control host
# then no longer exchanges pings with the previous one.
LINK_SWEEP_INTERVAL_MS: Final = 4_000.0
