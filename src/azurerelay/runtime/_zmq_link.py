"""Links over ZeroMQ: one PULL socket to receive and one PUSH socket per peer."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

import zmq
from absl import logging
from result import Err
from zmq.auth.asyncio import AsyncioAuthenticator

from azurerelay.messages import TaggedCodec
from azurerelay.runtime._key_set import KeySet

HIGH_WATER_MARK_MESSAGES: Final = 2_000
# All hosts of a fleet may connect at once, after a loss of power; the kernel resends a
# packet that a full backlog has dropped only after a second.
LISTEN_BACKLOG: Final = 1_024
MAX_FRAME_BYTES: Final = 64 * 1024 * 1024
RECONNECT_INTERVAL_MS: Final = 50
RECONNECT_MAX_INTERVAL_MS: Final = 500
RECEIVE_BATCH_SIZE: Final = 256
# A peer that does not answer ZMTP pings within the timeout is reconnected, since a
# connection can stop delivering data without a TCP reset.
PING_INTERVAL_MS: Final = 700
PING_TIMEOUT_MS: Final = 1_500
# About ten round trips between regions. A connection attempt that takes longer is
# retried: the first packet to a host without power is lost, and TCP retransmits it
# only after a second.
CONNECT_TIMEOUT_MS: Final = 300
MAX_LOGGED_LENGTH: Final = 100  # characters of a text that another host chose
_FRAMES_PER_MESSAGE: Final = 2


class ZmqLink:
    """Send and receive typed messages without delivery guarantees.

    Sending never blocks and never raises: a message that does not fit into the peer's
    bounded send queue, or cannot be encoded, is dropped and counted, and the code that
    sends messages which must arrive repeats them. A received message that is malformed
    is dropped and counted, too.

    The address of a peer is set by `set_peer_address`. With
    `peer_names_contain_addresses`, a peer without one is reached at its name, which is
    `ADDRESS` or `ADDRESS#ANYTHING`. With `keys`, connections are encrypted and
    authenticated by CURVE.
    """

    def __init__(
        self,
        name: str,
        address: str,
        codec: TaggedCodec,
        keys: KeySet | None = None,
        peer_names_contain_addresses: bool = False,
    ) -> None:
        self._peer_names_contain_addresses = peer_names_contain_addresses
        self._name = name.encode()
        self._address = address
        self._codec = codec
        self._keys = keys
        self._authenticator: AsyncioAuthenticator | None = None
        self._delays_s: dict[str, float] = {}
        self._untrusted_messages = 0
        self._trusted_keys: _TrustedKeys | None = None
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._peer_addresses: dict[str, str] = {}
        self._sockets: dict[str, zmq.Socket[bytes]] = {}
        self._receiver: zmq.Socket[bytes] | None = None
        self._used_peers: set[str] = set()
        self._handler: Callable[[str, Any], None] | None = None
        self._sent_bytes = 0
        self._received_bytes = 0
        self._dropped = 0
        self._malformed = 0

    @property
    def name(self) -> str:
        """The component's name in log lines."""
        return "link"

    @property
    def address(self) -> str:
        """The address that the receiving socket is bound to."""
        return self._address

    @property
    def connection_count(self) -> int:
        """The number of connections to peers that are open or being opened."""
        return len(self._sockets)

    @property
    def sent_bytes(self) -> int:
        """Payload bytes queued for sending so far."""
        return self._sent_bytes

    @property
    def received_bytes(self) -> int:
        """Payload bytes received so far."""
        return self._received_bytes

    @property
    def dropped(self) -> int:
        """Messages not sent.

        The peer has no known address or key or its queue is full, or the message
        cannot be encoded.
        """
        return self._dropped

    @property
    def malformed(self) -> int:
        """Received messages with an unexpected frame count or payload."""
        return self._malformed

    @property
    def untrusted(self) -> int:
        """Connections refused and messages dropped because of an untrusted key."""
        refused = self._trusted_keys.refused if self._trusted_keys else 0
        return self._untrusted_messages + refused

    def set_delay(self, peer: str, delay_ms: float) -> None:
        """Delay all messages to a peer, to simulate a network on one machine."""
        self._delays_s[peer] = delay_ms / 1_000.0

    def set_handler(self, handler: Callable[[str, Any], None]) -> None:
        """Set the callback that receives each sender's name and message."""
        self._handler = handler

    def set_peer_address(self, peer: str, address: str) -> None:
        """Set a peer's address; if it changes, the old connection is closed."""
        if self._peer_addresses.get(peer) == address:
            return
        self._peer_addresses[peer] = address
        socket = self._sockets.pop(peer, None)
        if socket is not None:
            socket.close(linger=0)

    def close_unused_connections(self) -> None:
        """Close the connections over which nothing was sent since the last call.

        Call this at regular intervals. Both ends of an open connection send pings.
        """
        for peer in self._sockets.keys() - self._used_peers:
            self._sockets.pop(peer).close(linger=0)
        self._used_peers.clear()

    def send(self, peer: str, message: Any) -> None:
        """Queue a message for a peer, or drop it; do nothing once stopped."""
        if self._context.closed:
            return
        socket = self._sockets.get(peer) or self._connect(peer)
        if socket is None:
            self._dropped += 1
            return
        self._used_peers.add(peer)
        frame = self._encode(message)
        if frame is None:
            return
        delay_s = self._delays_s.get(peer)
        if delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._transmit, socket, frame)
        else:
            self._transmit(socket, frame)

    def _encode(self, message: Any) -> bytes | None:
        """Return the frame of a message; count and log one that cannot be encoded.

        An error must not keep the sender from messages to other peers.
        """
        try:
            return self._codec.encode(message)
        except Exception:
            self._dropped += 1
            logging.log_every_n_seconds(
                logging.ERROR,
                "link dropped a %s that cannot be encoded",
                10,
                type(message).__name__,
                exc_info=True,
            )
            return None

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
        """Bind the receiving socket and start to receive."""
        receiver = self._context.socket(zmq.PULL)
        receiver.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK_MESSAGES)
        receiver.setsockopt(zmq.BACKLOG, LISTEN_BACKLOG)
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
        """Do nothing: work in flight needs the link until the process stops."""

    async def stop(self) -> None:
        """Stop receiving and close all sockets."""
        if self._receiver is not None:
            asyncio.get_running_loop().remove_reader(self._receiver)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=200)

    def _start_authenticator(self, keys: KeySet) -> None:
        """Refuse connections whose public key is not that of a trusted host."""
        self._authenticator = AsyncioAuthenticator(self._context)
        self._authenticator.start()
        self._trusted_keys = _TrustedKeys(keys)
        self._authenticator.configure_curve_callback(
            credentials_provider=self._trusted_keys
        )

    def _connect(self, peer: str) -> zmq.Socket[bytes] | None:
        address = self._peer_addresses.get(peer)
        if address is None and self._peer_names_contain_addresses:
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
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK_MESSAGES)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.HEARTBEAT_IVL, PING_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_INTERVAL_MS)
        try:
            socket.connect(f"tcp://{address}")
        except zmq.ZMQError:
            # The name of a sender may be any text. The caller counts the message.
            socket.close(linger=0)
            return None
        self._sockets[peer] = socket
        return socket

    def _receive(self) -> None:
        """Read one batch of messages, and schedule the next one if any may be left.

        The socket's file descriptor is edge-triggered: it does not signal again for
        messages that were left unread.
        """
        receiver = self._receiver
        if receiver is None or receiver.closed:
            return
        for _ in range(RECEIVE_BATCH_SIZE):
            try:
                frames = receiver.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                return
            self._handle(frames)
        asyncio.get_running_loop().call_soon(self._receive)

    def _handle(self, frames: list[zmq.Frame]) -> None:
        if len(frames) != _FRAMES_PER_MESSAGE:
            self._count_malformed(f"{len(frames)} frames")
            return
        sender = frames[0].bytes.decode(errors="replace")
        payload = frames[1].bytes
        self._received_bytes += len(payload)
        if self._keys is not None:
            public_key = str(frames[1].get("User-Id"))
            if not self._keys.is_trusted_key(sender, public_key):
                self._untrusted_messages += 1
                return
        try:
            decoded = self._codec.decode(payload)
        except Exception as error:
            # As in `_deliver`, the messages behind this one must be read.
            self._count_malformed(repr(error)[:MAX_LOGGED_LENGTH])
            return
        if isinstance(decoded, Err):
            self._count_malformed(decoded.err_value.reason)
            return
        if self._handler is not None:
            self._deliver(self._handler, sender, decoded.ok_value)

    def _deliver(
        self, handler: Callable[[str, Any], None], sender: str, message: Any
    ) -> None:
        """Pass a message to the handler; log an error that the handler raises.

        If the error ended the read of a batch, the messages behind this one would stay
        unread until another arrives.
        """
        try:
            handler(sender, message)
        except Exception:
            logging.exception(
                "handling a %s from %s failed; the message is dropped",
                type(message).__name__,
                sender[:MAX_LOGGED_LENGTH],
            )

    def _count_malformed(self, reason: str) -> None:
        self._malformed += 1
        logging.log_every_n_seconds(
            logging.WARNING, "link dropped a malformed message: %s", 10, reason
        )


class _TrustedKeys:
    """Decide for the ZeroMQ authenticator which public keys may connect."""

    def __init__(self, keys: KeySet) -> None:
        self._trusted = set(keys.trusted.values())
        self._refused = 0

    @property
    def refused(self) -> int:
        """Connections refused so far."""
        return self._refused

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a public key is trusted; called by the authenticator."""
        is_trusted = key.decode() in self._trusted
        self._refused += not is_trusted
        return is_trusted
