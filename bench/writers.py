"""A caller that sends writes with idempotency keys and records their outcomes."""

import asyncio
import random
import time
from dataclasses import dataclass, field

import aiohttp

from bench.client import Client

GROUP = "roster"
MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.05
TIMEOUT_MS = 3_000


@dataclass(slots=True)
class Write:
    """A write with an idempotency key, which is also the data key that it adds 1 to.

    `answered_at` is the Unix time of the last answer in seconds, 0 if there is none.
    `outcome` is "open" until the first attempt has ended.
    """

    key: str
    answered_at: float = 0.0
    outcome: str = "open"


@dataclass(slots=True)
class KeyedWriter:
    """Writes through random entry hosts and retries until a write is confirmed."""

    client: Client
    entry_hosts: list[str]
    writes: list[Write] = field(default_factory=list)

    async def write(self, key: str, random_source: random.Random) -> tuple[Write, str]:
        """Add 1 to `key` and return the write with the session token of its answer.

        Up to `MAX_ATTEMPTS` attempts share the idempotency key. Once an attempt has an
        unknown outcome, only a "done" answer replaces it. The token is empty unless the
        write is done.
        """
        write = Write(key)
        self.writes.append(write)
        for _ in range(MAX_ATTEMPTS):
            try:
                reply = await self.client.execute(
                    random_source.choice(self.entry_hosts),
                    GROUP,
                    "write",
                    "add",
                    key,
                    1,
                    headers={
                        "Idempotency-Key": key,
                        "Azurerelay-Timeout-Ms": str(TIMEOUT_MS),
                    },
                )
            except (aiohttp.ClientError, OSError, TimeoutError):
                write.outcome = "unknown"
                continue
            write.answered_at = time.time()
            if reply.outcome == "done" or write.outcome != "unknown":
                write.outcome = reply.outcome
            if reply.outcome == "done":
                return write, reply.headers.get("Azurerelay-Session", "")
            await asyncio.sleep(RETRY_DELAY_S)
        return write, ""
