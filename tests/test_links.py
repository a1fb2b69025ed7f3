import asyncio
import json
import tempfile
import unittest
import zlib
from pathlib import Path

import zmq
from bench.processes import free_address
from result import Err

from azurerelay.attachment._packed_update import unpack_update
from azurerelay.daemons import LinkKeys, ZmqLink, load_link_keys, new_link_keys
from azurerelay.messages import TaggedCodec, compress, decompress
from azurerelay.messages._compression import MAX_DECOMPRESSED_BYTES
from azurerelay.sessions import GroupPosition

CODEC = TaggedCodec((GroupPosition,))
MESSAGE = GroupPosition(1, 2, "g")
TIMEOUT_S = 10.0


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def _wait(self, condition) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def _link(self, name: str, keys: LinkKeys | None = None) -> ZmqLink:
        link = ZmqLink(name, free_address(), CODEC, keys)
        await link.start()
        self.addAsyncCleanup(link.stop)
        return link

    async def test_messages_arrive_with_their_sender_and_malformed_ones_are_counted(
        self,
    ) -> None:
        received: list[tuple[str, object]] = []
        sender_link, receiver_link = await self._link("sender"), await self._link(
            "receiver"
        )
        receiver_link.set_handler(
            lambda sender, message: received.append((sender, message))
        )
        sender_link.set_peer_address("receiver", receiver_link.address)
        sender_link.send("unknown", MESSAGE)
        self.assertEqual(sender_link.dropped, 1)
        context = zmq.Context()
        raw_socket = context.socket(zmq.PUSH)
        raw_socket.connect(f"tcp://{receiver_link.address}")
        raw_socket.send_multipart([b"x", b"no frame of ours"])
        raw_socket.send(b"alone")
        await self._wait(lambda: receiver_link.malformed == 2)
        raw_socket.close(linger=0)
        context.term()
        sender_link.send("receiver", MESSAGE)
        await self._wait(lambda: received)
        self.assertEqual(received, [("sender", MESSAGE)])

    async def test_messages_behind_one_whose_handler_fails_are_delivered(self) -> None:
        """An unexpected error must not hold up the messages that arrived with it."""
        received: list[int] = []

        def handle(sender: str, message: object) -> None:
            assert isinstance(message, GroupPosition)
            if message.term == 1:
                raise ValueError("unexpected")
            received.append(message.term)

        sender_link, receiver_link = await self._link("sender"), await self._link(
            "receiver"
        )
        sender_link.set_peer_address("receiver", receiver_link.address)
        receiver_link.set_handler(handle)
        with self.assertLogs("absl", "ERROR"):
            for term in (1, 4):
                sender_link.send("receiver", GroupPosition(term, 1, "g"))
            await self._wait(lambda: received == [4])

    async def test_messages_after_one_that_cannot_be_encoded_are_sent(self) -> None:
        """A number beyond 64 bits ended the handler that sent it, half done."""
        received: list[object] = []
        sender_link, receiver_link = await self._link("sender"), await self._link(
            "receiver"
        )
        sender_link.set_peer_address("receiver", receiver_link.address)
        receiver_link.set_handler(lambda sender, message: received.append(message))
        with self.assertLogs("absl", "ERROR"):
            sender_link.send("receiver", GroupPosition(10**24, 1, "g"))
        self.assertEqual(sender_link.dropped, 1)
        sender_link.send("receiver", MESSAGE)
        await self._wait(lambda: received == [MESSAGE])

    async def test_answers_to_a_sender_without_an_address_take_no_socket(self) -> None:
        """Each one kept a socket for good, until none was left for other peers."""
        link = ZmqLink("a", free_address(), CODEC, peer_names_contain_addresses=True)
        await link.start()
        self.addAsyncCleanup(link.stop)
        for number in range(1_100):
            link.send(f"\N{REPLACEMENT CHARACTER} {number}", MESSAGE)
        self.assertEqual((link.dropped, link.connection_count), (1_100, 0))
        receiver = await self._link("receiver")
        received: list[object] = []
        receiver.set_handler(lambda sender, message: received.append(message))
        link.send(receiver.address, MESSAGE)
        await self._wait(lambda: received == [MESSAGE])

    async def test_messages_behind_one_whose_decoder_fails_are_delivered(self) -> None:
        class FailingCodec(TaggedCodec):
            def decode(self, frame: bytes):
                if b"odd" in frame:
                    raise ValueError("unexpected")
                return super().decode(frame)

        received: list[object] = []
        receiver_link = ZmqLink("b", free_address(), FailingCodec((GroupPosition,)))
        await receiver_link.start()
        self.addAsyncCleanup(receiver_link.stop)
        sender_link = await self._link("sender")
        sender_link.set_peer_address("receiver", receiver_link.address)
        receiver_link.set_handler(lambda sender, message: received.append(message))
        for message in (GroupPosition(1, 1, "odd"), MESSAGE):
            sender_link.send("receiver", message)
        await self._wait(lambda: received == [MESSAGE])
        self.assertEqual(receiver_link.malformed, 1)

    async def test_connections_without_messages_are_closed_and_opened_again(
        self,
    ) -> None:
        """Each open connection costs pings, also to hosts that are no longer used."""
        received: list[object] = []
        sender_link, receiver_link = await self._link("sender"), await self._link(
            "receiver"
        )
        receiver_link.set_handler(lambda sender, message: received.append(message))
        sender_link.set_peer_address("receiver", receiver_link.address)
        sender_link.send("receiver", MESSAGE)
        await self._wait(lambda: len(received) == 1)
        sender_link.close_unused_connections()
        self.assertEqual(sender_link.connection_count, 1)
        sender_link.close_unused_connections()
        self.assertEqual(sender_link.connection_count, 0)
        sender_link.send("receiver", MESSAGE)
        await self._wait(lambda: len(received) == 2)

    async def test_only_messages_with_the_trusted_key_of_their_sender_are_delivered(
        self,
    ) -> None:
        key_pairs = {
            name: [key.decode() for key in zmq.curve_keypair()]
            for name in ("a", "b", "untrusted")
        }
        trusted = {name: key_pairs[name][0] for name in ("a", "b")}
        received: list[str] = []
        receiver = await self._link("a", LinkKeys(*key_pairs["a"], trusted))
        receiver.set_handler(lambda sender, message: received.append(sender))
        untrusted_link = await self._link(
            "b", LinkKeys(*key_pairs["untrusted"], trusted)
        )
        untrusted_link.set_peer_address("a", receiver.address)
        untrusted_link.send("a", MESSAGE)
        await self._wait(lambda: receiver.untrusted > 0)
        # A key that is trusted, but for another host's name, is refused as well.
        impersonating_link = await self._link("a", LinkKeys(*key_pairs["b"], trusted))
        impersonating_link.set_peer_address("a", receiver.address)
        refused_before = receiver.untrusted
        impersonating_link.send("a", MESSAGE)
        await self._wait(lambda: receiver.untrusted > refused_before)
        trusted_link = await self._link("b", LinkKeys(*key_pairs["b"], trusted))
        trusted_link.set_peer_address("a", receiver.address)
        trusted_link.send("a", MESSAGE)
        await self._wait(lambda: received)
        self.assertEqual(received, ["b"])


class CompressionTest(unittest.TestCase):
    def test_a_small_message_cannot_take_all_memory(self) -> None:
        bomb = zlib.compress(bytes(MAX_DECOMPRESSED_BYTES + 1))
        for data in (bomb, compress(b"abc")[:-3], b"x"):
            with self.assertRaises(zlib.error):
                decompress(data)
        self.assertEqual(decompress(compress(b"abc")), b"abc")

    def test_contents_that_are_nested_too_deeply_are_malformed(self) -> None:
        self.assertIsInstance(
            unpack_update(compress(b"\x81\xa1x" + b"\x91" * 100_000)), Err
        )


class KeyFileTest(unittest.TestCase):
    def test_new_key_file_is_valid_and_an_invalid_one_gives_all_findings(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "keys.json"
            file.write_bytes(new_link_keys())
            self.assertTrue(load_link_keys(file).is_ok())
            file.write_text(
                json.dumps({"public": "short", "trusted": {"a": 1}, "x": 1})
            )
            finding_paths = [
                f.place.rpartition(":")[2] for f in load_link_keys(file).err_value
            ]
            self.assertEqual(
                sorted(finding_paths), ["$.public", "$.secret", "$.trusted.a", "$.x"]
            )
