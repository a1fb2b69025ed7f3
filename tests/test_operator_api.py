"""Tests of what operators are told over HTTP."""

import hashlib
import unittest
from typing import Any

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from azurerelay.daemons._operator_api import OperatorApi
from azurerelay.daemons._process_settings import TokenSettings
from azurerelay.timing import ManualTimerService, Promise

CHANGE = {
    "change_id": "c1",
    "based_on": 0,
    "reason": "test",
    "path": "/",
    "set": {"reads.max_staleness_ms": 500},
}


class _UnconfirmedNode:
    """A control node whose changes get no confirmation in time."""

    def change_settings(self, change: Any) -> Promise[None]:
        return Promise.of(None)


class OddChangeTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_change_with_a_number_beyond_64_bits_is_rejected(self) -> None:
        """No message to another control host can hold it."""
        token = TokenSettings(name="op", sha256=hashlib.sha256(b"secret").hexdigest())
        node: Any = _UnconfirmedNode()
        api = OperatorApi(node, [token], ManualTimerService())
        app = web.Application(middlewares=[api.authenticate])
        app.add_routes(api.routes())
        async with TestClient(TestServer(app)) as client:
            for odd in (
                {"based_on": 10**24},
                {"set": {"reads.max_staleness_ms": 2**63}},
            ):
                response = await client.post(
                    "/v1/settings/changes",
                    json=CHANGE | odd,
                    headers={"Authorization": "Bearer secret"},
                )
                self.assertEqual(response.status, 400)


class UnconfirmedChangeTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_change_without_confirmation_is_not_said_to_have_not_run(
        self,
    ) -> None:
        token = TokenSettings(name="op", sha256=hashlib.sha256(b"secret").hexdigest())
        node: Any = _UnconfirmedNode()
        api = OperatorApi(node, [token], ManualTimerService())
        app = web.Application(middlewares=[api.authenticate])
        app.add_routes(api.routes())
        async with TestClient(TestServer(app)) as client:
            response = await client.post(
                "/v1/settings/changes",
                json=CHANGE,
                headers={"Authorization": "Bearer secret"},
            )
            self.assertEqual(response.status, 504)
            problem = await response.json()
        self.assertEqual(problem["outcome"], "unknown")
        self.assertTrue(problem["is_retry_safe"])
