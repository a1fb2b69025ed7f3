"""Options of long-lived TCP connections."""

import socket
from typing import Final

# Unacknowledged bytes end a connection after this: it may have gone silent without a
# reset. A small multiple of the longest round trip.
SEND_TIMEOUT_MS: Final = 1_500


def tune(sock: socket.socket) -> None:
    """Send small messages at once and give silent peers up."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SEND_TIMEOUT_MS)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of `IP:PORT`."""
    host, _, port = address.rpartition(":")
    return host, int(port)
