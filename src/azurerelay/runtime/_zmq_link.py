"""The link port over ZeroMQ: one PULL socket to hear, a PUSH socket a peer."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

import zmq
from absl import logging
from result import Err
from zmq.auth.asyncio import AsyncioAuthenticator

from azurerelay.messages import TaggedCodec
from azurerelay.runtime._key_set import KeySet

QUEUE_MESSAGES: Final = 2_000
MAX_FRAME_BYTES: Final = 64 * 1024 * 1024
RECONNECT_MS: Final = 50
RECONNECT_MAX_MS: Final = 500
RECEIVE_BURST: Final = 256
# A peer that answers no ZMTP ping for this long is reconnected: a connection may
# go silent without a reset.
PING_INTERVAL_MS: Final = 700
PING_TIMEOUT_MS: Final = 1_500
# A connection that is not made within ten round trips between regions is tried anew:
# the first packet to a host without power is lost, and repeated only after a second.
CONNECT_TIMEOUT_MS: Final = 300
_FRAMES: Final = 2


class ZmqLink:
    """Send and receive typed messages; a full queue or a bad frame drops one.

    Sending never waits: what the socket's bounded queue does not take is dropped
    and counted, and the decisions above repeat what matters. Peers are found by
    `learn`, or by their names, `ADDRESS` or `ADDRESS#ANYTHING`, if these hold them.
    """

    def __init__(
        self,
        name: str,
        address: str,
        codec: TaggedCodec,
        keys: KeySet | None = None,
        names_hold_addresses: bool = False,
    ) -> None:
        self._names_hold_addresses = names_hold_addresses
        self._name = name.encode()
        self._address = address
        self._codec = codec
        self._keys = keys
        self._authenticator: AsyncioAuthenticator | None = None
        self._delays_s: dict[str, float] = {}
        self._untrusted = 0
        self._trusted_keys: _TrustedKeys | None = None
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
    def address(self) -> str:
        """Where this link is bound."""
        return self._address

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

    @property
    def untrusted(self) -> int:
        """Connections and messages with a key that is not the named host's."""
        refused = self._trusted_keys.refused if self._trusted_keys else 0
        return self._untrusted + refused

    def delay(self, peer: str, delay_ms: float) -> None:
        """Deliver to a peer later, to measure a deployment on one machine."""
        self._delays_s[peer] = delay_ms / 1_000.0

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
        delay_s = self._delays_s.get(peer)
        if delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._transmit, socket, frame)
        else:
            self._transmit(socket, frame)

    def _transmit(self, socket: zmq.Socket[bytes], frame: bytes) -> None:
        if socket.closed:
            return
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
        receiver.setsockopt(zmq.HEARTBEAT_IVL, PING_INTERVAL_MS)
        receiver.setsockopt(zmq.HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS)
        if self._keys is not None:
            self._start_authenticator(self._keys)
            receiver.curve_server = True
            receiver.curve_publickey = self._keys.public.encode()
            receiver.curve_secretkey = self._keys.secret.encode()
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
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=200)

    def _start_authenticator(self, keys: KeySet) -> None:
        """Refuse connections whose key belongs to no trusted host."""
        self._authenticator = AsyncioAuthenticator(self._context)
        self._authenticator.start()
        self._trusted_keys = _TrustedKeys(keys)
        self._authenticator.configure_curve_callback(
            credentials_provider=self._trusted_keys
        )

    def _connect(self, peer: str) -> zmq.Socket[bytes] | None:
        address = self._peers.get(peer)
        if address is None and self._names_hold_addresses:
            address = peer.partition("#")[0]
        if address is None:
            return None
        socket = self._context.socket(zmq.PUSH)
        if self._keys is not None:
            server_key = self._keys.trusted.get(peer)
            if server_key is None:
                socket.close(linger=0)
                return None
            socket.curve_serverkey = server_key.encode()
            socket.curve_publickey = self._keys.public.encode()
            socket.curve_secretkey = self._keys.secret.encode()
        socket.setsockopt(zmq.SNDHWM, QUEUE_MESSAGES)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.HEARTBEAT_IVL, PING_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
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
                frames = receiver.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                return
            self._handle(frames)
        asyncio.get_running_loop().call_soon(self._receive)

    def _handle(self, frames: list[zmq.Frame]) -> None:
        if len(frames) != _FRAMES:
            self._count_malformed(f"{len(frames)} frames")
            return
        sender = frames[0].bytes.decode(errors="replace")
        payload = frames[1].bytes
        self._received_bytes += len(payload)
        if self._keys is not None:
            user = str(frames[1].get("User-Id"))
            if not self._keys.names_key(sender, user):
                self._untrusted += 1
                return
        decoded = self._codec.decode(payload)
        if isinstance(decoded, Err):
            self._count_malformed(decoded.err_value.reason)
            return
        if self._handler is not None:
            self._handler(sender, decoded.ok_value)

    def _count_malformed(self, reason: str) -> None:
        self._malformed += 1
        logging.log_every_n_seconds(
            logging.WARNING, "dropped a malformed frame: %s", 10, reason
        )


class _TrustedKeys:
    """Tell the authenticator which public keys may connect."""

    def __init__(self, keys: KeySet) -> None:
        self._trusted = set(keys.trusted.values())
        self._refused = 0

    @property
    def refused(self) -> int:
        """Connections that were refused."""
        return self._refused

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a public key belongs to a trusted host."""
        is_trusted = key.decode() in self._trusted
        self._refused += not is_trusted
        return is_trusted
