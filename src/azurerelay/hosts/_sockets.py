"""Options for long-lived TCP connections, and address parsing."""

import socket
from typing import Final

# A connection whose sent data stays unacknowledged for this long is closed, because a
# peer can become unreachable without a reset. A small multiple of the longest round
# trip.
UNACKED_TIMEOUT_MS: Final = 1_500


def set_socket_options(sock: socket.socket) -> None:
    """Disable Nagle's algorithm and time out connections to unresponsive peers."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)


def split_address(address: str) -> tuple[str, int]:
    """Split `IP:PORT` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
