"""Callers of the measurements that write keyed statements and remember the answers."""

import asyncio
import random
import time
from dataclasses import dataclass, field

import aiohttp

from bench.client import Client

GROUP = "roster"
RESEND_LIMIT = 5
RESEND_PAUSE_S = 0.05
TIMEOUT_MS = 3_000


@dataclass(slots=True)
class Write:
    """One keyed write: when its last answer came and what it said."""

    marker: str
    ended: float = 0.0
    outcome: str = "open"


@dataclass(slots=True)
class KeyedWriter:
    """Write through random entry hosts, resending what is not known to be done."""

    client: Client
    entries: list[str]
    writes: list[Write] = field(default_factory=list)

    async def write(self, marker: str, source: random.Random) -> tuple[Write, str]:
        """Return the write and the session token of its answer, if it is done."""
        write = Write(marker)
        self.writes.append(write)
        for _ in range(RESEND_LIMIT):
            try:
                reply = await self.client.statement(
                    source.choice(self.entries),
                    GROUP,
                    "write",
                    "add",
                    marker,
                    1,
                    headers={
                        "Idempotency-Key": marker,
                        "Azurerelay-Timeout-Ms": str(TIMEOUT_MS),
                    },
                )
            except (aiohttp.ClientError, OSError, TimeoutError):
                write.outcome = "unknown"
                continue
            write.ended = time.time()
            if reply.outcome == "done" or write.outcome != "unknown":
                write.outcome = reply.outcome
            if reply.outcome == "done":
                return write, reply.headers.get("Azurerelay-Session", "")
            await asyncio.sleep(RESEND_PAUSE_S)
        return write, ""
