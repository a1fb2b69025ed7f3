"""Tests of the stand-in endpoint, which must not allow more than a real one."""

import unittest
from typing import Any

from result import Err, Ok

from azurerelay.endpoints import FailureKind, PromoteCall, StatementCall
from azurerelay.standin import StandinConfig, StandinEndpoint
from azurerelay.timing import ManualTimerService, Promise

CONNECTION_LIMIT = 3
SLOTS = 2
SERVICE_MS = 10.0


class RestartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timers = ManualTimerService()
        config = StandinConfig(
            name="ledger-1",
            group="ledger",
            address="endpoint/ledger-1",
            failure_domain="east-1",
            slots=SLOTS,
            connection_limit=CONNECTION_LIMIT,
            connect_ms=5.0,
            service_ms=SERVICE_MS,
            lag_ms=0.0,
        )
        port: Any = None
        self.endpoint = StandinEndpoint(config, self.timers, port)
        self.endpoint.request(PromoteCall(1))

    def _connect(self) -> Any:
        promise = self.endpoint.connect()
        self.timers.advance(10.0)
        return promise.value

    def _write(self, connection: Any, key: str, term: int = 1) -> Promise[Any]:
        call = StatementCall(term, True, "put", (key, 1))
        promise: Promise[Any] = connection.call(call)
        return promise

    def test_closing_connections_of_before_makes_no_room_for_more(self) -> None:
        old = [self._connect().ok_value for _ in range(CONNECTION_LIMIT)]
        self.endpoint.restart()
        for connection in old:
            connection.close()
        opened = [self._connect() for _ in range(CONNECTION_LIMIT + 1)]
        self.assertEqual([o.is_ok() for o in opened], [True] * 3 + [False])
        self.assertEqual(opened[-1].err_value.kind, FailureKind.REFUSED_LIMIT)

    def test_statements_of_before_free_no_slot_and_do_not_run(self) -> None:
        old = [self._connect().ok_value for _ in range(SLOTS)]
        lost = [self._write(c, f"old-{n}") for n, c in enumerate(old)]
        self.endpoint.restart()
        self.endpoint.request(PromoteCall(2))
        self.timers.advance(2 * SERVICE_MS)
        for promise in lost:
            self.assertIsInstance(promise.value, Err)
        new = [self._connect().ok_value for _ in range(CONNECTION_LIMIT)]
        writes = [self._write(c, f"new-{n}", 2) for n, c in enumerate(new)]
        self.timers.advance(1.5 * SERVICE_MS)
        self.assertEqual([w.is_done for w in writes], [True] * SLOTS + [False])
        self.timers.advance(SERVICE_MS)
        self.assertIsInstance(writes[-1].value, Ok)
        self.assertEqual(sorted(self.endpoint.data.values), ["new-0", "new-1", "new-2"])


if __name__ == "__main__":
    unittest.main()
