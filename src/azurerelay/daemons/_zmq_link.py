"""The link port over ZeroMQ: one PULL socket to hear, a PUSH socket a peer."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

import zmq
from absl import logging
from result import Err

from azurerelay.messages import TaggedCodec

QUEUE_MESSAGES: Final = 2_000
MAX_FRAME_BYTES: Final = 64 * 1024 * 1024
RECONNECT_MS: Final = 50
RECONNECT_MAX_MS: Final = 500
RECEIVE_BURST: Final = 256
_FRAMES: Final = 2


class ZmqLink:
    """Send and receive typed messages; a full queue or a bad frame drops one.

    Sending never waits: what the socket's bounded queue does not take is dropped
    and counted, and the decisions above repeat what matters.
    """

    def __init__(self, name: str, address: str, codec: TaggedCodec) -> None:
        self._name = name.encode()
        self._address = address
        self._codec = codec
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._peers: dict[str, str] = {}
        self._sockets: dict[str, zmq.Socket[bytes]] = {}
        self._receiver: zmq.Socket[bytes] | None = None
        self._handler: Callable[[str, Any], None] | None = None
        self._sent_bytes = 0
        self._received_bytes = 0
        self._dropped = 0
        self._malformed = 0

    @property
    def name(self) -> str:
        """The name of this part in the log."""
        return "link"

    @property
    def sent_bytes(self) -> int:
        """Payload bytes sent."""
        return self._sent_bytes

    @property
    def received_bytes(self) -> int:
        """Payload bytes received."""
        return self._received_bytes

    @property
    def dropped(self) -> int:
        """Messages that found no peer or a full queue."""
        return self._dropped

    @property
    def malformed(self) -> int:
        """Frames that could not be decoded."""
        return self._malformed

    def set_handler(self, handler: Callable[[str, Any], None]) -> None:
        """Deliver received messages to a handler."""
        self._handler = handler

    def learn(self, peer: str, address: str) -> None:
        """Record where a peer is reached; a changed address is connected anew."""
        if self._peers.get(peer) == address:
            return
        self._peers[peer] = address
        socket = self._sockets.pop(peer, None)
        if socket is not None:
            socket.close(linger=0)

    def send(self, peer: str, message: Any) -> None:
        """Queue a message; does nothing once the link is stopped."""
        if self._context.closed:
            return
        socket = self._sockets.get(peer) or self._connect(peer)
        if socket is None:
            self._dropped += 1
            return
        frame = self._codec.encode(message)
        try:
            socket.send_multipart((self._name, frame), zmq.NOBLOCK, copy=True)
        except zmq.Again:
            self._dropped += 1
            return
        self._sent_bytes += len(frame)

    async def start(self) -> None:
        """Bind and begin to receive."""
        receiver = self._context.socket(zmq.PULL)
        receiver.setsockopt(zmq.RCVHWM, QUEUE_MESSAGES)
        receiver.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        receiver.bind(f"tcp://{self._address}")
        self._receiver = receiver
        asyncio.get_running_loop().add_reader(receiver, self._receive)
        self._receive()

    async def drain(self) -> None:
        """Go on: what is in flight needs the link to the last."""

    async def stop(self) -> None:
        """Close all sockets."""
        if self._receiver is not None:
            asyncio.get_running_loop().remove_reader(self._receiver)
        self._context.destroy(linger=200)

    def _connect(self, peer: str) -> zmq.Socket[bytes] | None:
        address = self._peers.get(peer)
        if address is None:
            return None
        socket = self._context.socket(zmq.PUSH)
        socket.setsockopt(zmq.SNDHWM, QUEUE_MESSAGES)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.connect(f"tcp://{address}")
        self._sockets[peer] = socket
        return socket

    def _receive(self) -> None:
        """Read a burst; the descriptor is edge-triggered, so go on until empty."""
        receiver = self._receiver
        if receiver is None or receiver.closed:
            return
        for _ in range(RECEIVE_BURST):
            try:
                frames = receiver.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._handle(frames)
        asyncio.get_running_loop().call_soon(self._receive)

    def _handle(self, frames: list[bytes]) -> None:
        if len(frames) != _FRAMES:
            self._count_malformed(f"{len(frames)} frames")
            return
        sender, payload = frames
        self._received_bytes += len(payload)
        decoded = self._codec.decode(payload)
        if isinstance(decoded, Err):
            self._count_malformed(decoded.err_value.reason)
            return
        if self._handler is not None:
            self._handler(sender.decode(errors="replace"), decoded.ok_value)

    def _count_malformed(self, reason: str) -> None:
        self._malformed += 1
        logging.log_every_n_seconds(
            logging.WARNING, "dropped a malformed frame: %s", 10, reason
        )
