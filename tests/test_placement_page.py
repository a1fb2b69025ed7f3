"""Tests of the placement page of an entry host, and of the command that reads it."""

import asyncio
import json
import unittest
from typing import Any
from unittest import mock

from typer.testing import CliRunner

from azurerelay.cli._app import app
from azurerelay.hosts._http_service import HttpRequest
from azurerelay.hosts._metrics_service import MetricsService
from azurerelay.hosts._placement_page import (
    MAX_QUERY_BYTES,
    PLACEMENT_PATH,
    answer_placement,
)
from azurerelay.relay import PlacementError
from azurerelay.routes import Customer
from azurerelay.telemetry import Meters
from tests.platform_rig import PlatformRig, configuration

ACME = Customer("acme", ("key-1",), 100.0, 50.0)


class PageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = PlatformRig()
        self.rig.start(configuration(1, customers=(ACME,)))
        self.node = self.rig.entries["10.1.0.1:7440"]

    def test_answers_hold_no_key_and_errors_repeat_nothing(self) -> None:
        """Guards against keys on a page that anyone in the network may read."""
        allowed = "allowed once each"
        for query, status, detail in (
            ("database=bounded&customer=acme", 200, '"host":"entry 1"'),
            ("database=key-1", 404, PlacementError.UNKNOWN_DATABASE.value),
            ("database=bounded&customer=key-1", 404, "no customer"),
            ("database=bounded&key=key-1", 400, allowed),
            ("database=bounded&database=key-1", 400, allowed),
            ("database=bounded&statement=key-1", 400, "must be one of"),
            ("customer=acme", 400, "database is missing"),
            ("", 400, "database is missing"),
            ("key-1", 400, "must have the form"),
            ("database=%ff", 400, "must have the form"),
            ("database=a&" * 9, 400, "must have the form"),
            ("database=" + "a" * MAX_QUERY_BYTES, 400, "longer than"),
        ):
            with self.subTest(query):
                request = HttpRequest("GET", PLACEMENT_PATH, b"", query)
                answer = answer_placement(request, self.node.explain_placement)
                text = answer.body.decode()
                self.assertEqual(answer.status, status, text)
                self.assertIn(detail, text)
                self.assertNotIn("key-1", text)

    def test_the_command_prints_what_the_page_says(self) -> None:
        asyncio.run(self._run_command())

    async def _run_command(self) -> None:
        """Serve the page on a loopback address, and call the command in a thread."""

        def page(request: HttpRequest) -> Any:
            return answer_placement(request, self.node.explain_placement)

        with mock.patch("azurerelay.hosts._metrics_service.METRICS_PORT", 0):
            pages = {PLACEMENT_PATH: page}
            service = MetricsService("127.0.0.1", Meters(), dict, pages=pages)
        await service.start()
        port = service._service._server.sockets[0].getsockname()[1]
        common = ["explain", "placement", "--host", f"127.0.0.1:{port}", "--database"]

        async def run(*arguments: str) -> Any:
            call = CliRunner().invoke
            return await asyncio.to_thread(call, app, [*common, *arguments])

        result = await run("own", "--customer", "acme")
        self.assertEqual(result.exit_code, 0, result.output)
        for text in ("would go to ledger-", "100.0% of its operations", "ENDPOINT"):
            self.assertIn(text, result.output)
        result = await run("own", "--statement", "write", "--json")
        self.assertEqual(json.loads(result.output)["statement"], "write")
        result = await run("nowhere")
        self.assertEqual(result.exit_code, 1)
        self.assertIn(PlacementError.UNKNOWN_DATABASE.value, result.output)
        await service.stop()
        self.assertEqual((await run("own")).exit_code, 4)


if __name__ == "__main__":
    unittest.main()
