import asyncio
import json
import tempfile
import unittest
from pathlib import Path

import zmq
from bench.processes import free_address

from azurerelay.daemons import LinkKeys, ZmqLink, load_link_keys, new_link_keys
from azurerelay.messages import TaggedCodec
from azurerelay.sessions import GroupPosition

CODEC = TaggedCodec((GroupPosition,))
MESSAGE = GroupPosition(1, 2, "g")
LIMIT_S = 10.0


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def _wait(self, is_met) -> None:
        async with asyncio.timeout(LIMIT_S):
            while not is_met():
                await asyncio.sleep(0.01)

    async def _link(self, name: str, keys: LinkKeys | None = None) -> ZmqLink:
        link = ZmqLink(name, free_address(), CODEC, keys)
        await link.start()
        self.addAsyncCleanup(link.stop)
        return link

    async def test_messages_arrive_with_their_sender_and_bad_frames_are_counted(
        self,
    ) -> None:
        received: list[tuple[str, object]] = []
        here, there = await self._link("here"), await self._link("there")
        there.set_handler(lambda sender, message: received.append((sender, message)))
        here.learn("there", there.address)
        here.send("nobody", MESSAGE)
        self.assertEqual(here.dropped, 1)
        context = zmq.Context()
        stranger = context.socket(zmq.PUSH)
        stranger.connect(f"tcp://{there.address}")
        stranger.send_multipart([b"x", b"no frame of ours"])
        stranger.send(b"alone")
        await self._wait(lambda: there.malformed == 2)
        stranger.close(linger=0)
        context.term()
        here.send("there", MESSAGE)
        await self._wait(lambda: received)
        self.assertEqual(received, [("here", MESSAGE)])

    async def test_only_the_trusted_key_of_a_name_gets_through(self) -> None:
        pairs = {
            name: [key.decode() for key in zmq.curve_keypair()]
            for name in ("a", "b", "thief")
        }
        trusted = {name: pairs[name][0] for name in ("a", "b")}
        received: list[str] = []
        receiver = await self._link("a", LinkKeys(*pairs["a"], trusted))
        receiver.set_handler(lambda sender, message: received.append(sender))
        thief = await self._link("b", LinkKeys(*pairs["thief"], trusted))
        thief.learn("a", receiver.address)
        thief.send("a", MESSAGE)
        await self._wait(lambda: receiver.untrusted > 0)
        # A trusted key under another host's name gets nowhere either.
        liar = await self._link("a", LinkKeys(*pairs["b"], trusted))
        liar.learn("a", receiver.address)
        before = receiver.untrusted
        liar.send("a", MESSAGE)
        await self._wait(lambda: receiver.untrusted > before)
        friend = await self._link("b", LinkKeys(*pairs["b"], trusted))
        friend.learn("a", receiver.address)
        friend.send("a", MESSAGE)
        await self._wait(lambda: received)
        self.assertEqual(received, ["b"])


class KeyFileTest(unittest.TestCase):
    def test_a_new_key_file_is_valid_and_a_bad_one_is_explained(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "keys.json"
            file.write_bytes(new_link_keys())
            self.assertTrue(load_link_keys(file).is_ok())
            file.write_text(
                json.dumps({"public": "short", "trusted": {"a": 1}, "x": 1})
            )
            places = [
                f.place.rpartition(":")[2] for f in load_link_keys(file).err_value
            ]
            self.assertEqual(
                sorted(places), ["$.public", "$.secret", "$.trusted.a", "$.x"]
            )
