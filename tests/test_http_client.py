"""Responses to an HTTP client connection that no request awaits."""

import asyncio
import unittest
from typing import Any

from azurerelay.runtime import HttpClientProtocol, HttpRequestFailure, HttpResponse
from azurerelay.timing import Promise


class _Transport(asyncio.Transport):
    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False

    def write(self, data: Any) -> None:
        pass

    def abort(self) -> None:
        self.is_aborted = True

    def is_closing(self) -> bool:
        return self.is_aborted


class HttpResponsesTest(unittest.TestCase):
    RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

    def setUp(self) -> None:
        self.protocol = HttpClientProtocol("host", lambda: None)
        self.protocol.connection_made(_Transport())

    def test_a_response_to_nothing_closes_the_connection(self) -> None:
        answered = self.protocol.post("/a", b"")
        self.protocol.data_received(self.RESPONSE)
        self.assertIsInstance(answered.value, HttpResponse)
        self.assertTrue(self.protocol.is_open)
        self.protocol.data_received(self.RESPONSE)
        self.assertFalse(self.protocol.is_open)

    def test_a_copy_of_a_response_is_not_taken_for_that_of_the_next_request(
        self,
    ) -> None:
        following: list[Promise[Any]] = []
        first = self.protocol.post("/a", b"")
        first.add_callback(lambda: following.append(self.protocol.post("/b", b"")))
        self.protocol.data_received(2 * self.RESPONSE)
        self.assertIsInstance(following[0].value, HttpRequestFailure)
        self.assertFalse(self.protocol.is_open)


if __name__ == "__main__":
    unittest.main()
