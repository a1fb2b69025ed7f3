"""Listening sockets whose queue of connections is served before they are closed."""

import socket


def open_listener(host: str, port: int) -> socket.socket:
    """Return a socket that listens on an address, which may have been used before."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server((host, port), family=family)


def accept_queued(listener: socket.socket) -> list[socket.socket]:
    """Return the connections that the kernel has accepted so far.

    Closing a listening socket resets the connections that are still in its queue.
    """
    accepted = []
    while True:
        try:
            accepted.append(listener.accept()[0])
        except OSError:
            # The queue is empty, or the socket is closed.
            return accepted
