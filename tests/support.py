"""A shared test fixture: an embedded system on simulated time."""

import random
from typing import Any

from azurerelay.embedded import CHILDCARE, EmbeddedSystem, SystemShape
from azurerelay.requests import CallerAnswer, CallerRequest, Operation
from azurerelay.timing import ManualTimerService, Promise

GROUP = "roster-north"
TIMEOUT_MS = 5_000.0


class Rig:
    """A settled embedded system with the simulated clock that drives it.

    `send` returns a promise at once; `call`, `read` and `write` advance the clock until
    the answer arrives. A write without an idempotency key and outside a transaction
    counts as idempotent by default. A read with `after` carries the session position of
    that answer.
    """

    def __init__(self, shape: SystemShape = CHILDCARE, seed: int = 1) -> None:
        self.timers = ManualTimerService()
        self.system = EmbeddedSystem(shape, self.timers, random.Random(seed))
        self.system.start()
        if not self.timers.advance_until(self.system.is_settled, 20_000):
            raise AssertionError(
                "the system did not settle within 20 s after its start"
            )
        self.timers.advance(500)

    def wait(self, promise: Promise[Any], limit_ms: float = 10_000.0) -> Any:
        if not self.timers.advance_until(lambda: promise.is_done, limit_ms):
            raise AssertionError(f"no answer within {limit_ms:g} ms")
        return promise.value

    def settle(self, limit_ms: float = 20_000.0) -> None:
        if not self.timers.advance_until(self.system.is_settled, limit_ms):
            raise AssertionError(f"the system did not settle within {limit_ms:g} ms")

    def send(
        self,
        entry: str,
        operation: Operation,
        statement: str = "",
        *parameters: Any,
        **fields: Any,
    ) -> Promise[CallerAnswer | None]:
        fields.setdefault("group", GROUP)
        fields.setdefault("timeout_ms", TIMEOUT_MS)
        request = CallerRequest(
            operation=operation, statement=statement, parameters=parameters, **fields
        )
        return self.system.call(entry, request)

    def call(self, *arguments: Any, **fields: Any) -> CallerAnswer:
        return self.wait(self.send(*arguments, **fields))

    def write(self, entry: str, *statement: Any, **fields: Any) -> CallerAnswer:
        if "idempotency_key" not in fields and "transaction" not in fields:
            fields.setdefault("is_idempotent", True)
        return self.call(entry, Operation.WRITE, *statement, **fields)

    def read(
        self,
        entry: str,
        *statement: Any,
        after: CallerAnswer | None = None,
        **fields: Any,
    ) -> CallerAnswer:
        if after is not None:
            fields["token_term"] = after.term
            fields["token_position"] = after.position
        return self.call(entry, Operation.READ, *statement, **fields)

    @property
    def primary(self) -> str:
        name = self.system.primary(GROUP)
        assert name is not None
        return name

    @property
    def replicas(self) -> list[str]:
        names = [name for name in self.system.standins if name.startswith(GROUP)]
        return [name for name in names if name != self.primary]

    def change_setting(self, path: str, key: str, value: Any) -> Any:
        return self.wait(self.system.change_settings(path, key, value))
