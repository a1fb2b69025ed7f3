"""Connections of callers that a stopping entry host has not accepted yet."""

import asyncio
import socket
import unittest
from unittest.mock import Mock

from azurerelay.hosts._caller_server import CallerServer
from azurerelay.relay import RelayNode
from azurerelay.runtime import AsyncioTimerService
from azurerelay.statements import CallerError

LOCAL = "127.0.0.1"


class KernelQueueTest(unittest.TestCase):
    def test_a_connection_in_the_queue_of_the_kernel_is_refused(self) -> None:
        async def run() -> bytes:
            with socket.create_server((LOCAL, 0)) as probe:
                port = probe.getsockname()[1]
            node = Mock(spec=RelayNode)

            async def refuse(database: str) -> CallerError:
                return CallerError.BUSY

            node.open_session = refuse
            timers = AsyncioTimerService(asyncio.get_running_loop())
            server = CallerServer(f"{LOCAL}:{port}", node, timers)
            await server.start()
            # Blocks the event loop, so that the server cannot accept it yet.
            client = socket.create_connection((LOCAL, port))
            client.sendall(b"START strict u1\r\n")
            server.stop_accepting()
            reader, writer = await asyncio.open_connection(sock=client)
            try:
                return await asyncio.wait_for(reader.read(), 5.0)
            finally:
                writer.close()

        self.assertTrue(asyncio.run(run()).startswith(b"ERROR BUSY"))


if __name__ == "__main__":
    unittest.main()
