"""A small client of the caller and operator interfaces."""

import asyncio
import json
import time
from dataclasses import dataclass
from typing import Any

import aiohttp

from bench.processes import TOKEN, Cluster


@dataclass(frozen=True, slots=True)
class Reply:
    """A response: HTTP status, decoded body, headers and the time it took in ms."""

    status: int
    body: Any
    headers: dict[str, str]
    took_ms: float

    @property
    def outcome(self) -> str:
        """The stated outcome."""
        return str(self.body.get("outcome", "")) if isinstance(self.body, dict) else ""


class Client:
    """Send statements and settings changes to a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )

    @property
    def cluster(self) -> Cluster:
        """The cluster that is asked."""
        return self._cluster

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def statement(
        self,
        entry: str,
        group: str,
        kind: str,
        statement: str,
        *parameters: object,
        idempotent: bool = False,
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> Reply:
        """Run one statement."""
        body = {
            "kind": kind,
            "statement": statement,
            "parameters": list(parameters),
            "idempotent": idempotent,
        }
        path = f"/v1/groups/{group}/statements"
        return await self.post(entry, path, body, headers, timeout_s)

    async def post(
        self,
        name: str,
        path: str,
        body: object,
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> Reply:
        """Post JSON to a process; raise `aiohttp.ClientError` when it is lost."""
        url = f"http://{self._cluster.addresses[name]}{path}"
        started = time.perf_counter()
        async with self._session.post(
            url,
            data=json.dumps(body),
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            text = await response.text()
            took_ms = (time.perf_counter() - started) * 1_000
            decoded = json.loads(text) if text.startswith(("{", "[")) else text
            return Reply(response.status, decoded, dict(response.headers), took_ms)

    async def get(self, name: str, path: str, timeout_s: float = 3.0) -> Reply:
        """Get JSON from a process."""
        url = f"http://{self._cluster.addresses[name]}{path}"
        started = time.perf_counter()
        async with self._session.get(
            url,
            headers={"Authorization": f"Bearer {TOKEN}"},
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            text = await response.text()
            took_ms = (time.perf_counter() - started) * 1_000
            decoded = json.loads(text) if text.startswith(("{", "[")) else text
            return Reply(response.status, decoded, dict(response.headers), took_ms)

    async def change(
        self, control: str, change_id: str, based_on: int, path: str, values: Any
    ) -> Reply:
        """Change settings."""
        body = {
            "change_id": change_id,
            "based_on": based_on,
            "reason": "bench",
            "path": path,
            "set": values,
        }
        headers = {"Authorization": f"Bearer {TOKEN}"}
        return await self.post(control, "/v1/settings/changes", body, headers)

    async def status(self) -> Any:
        """Return the status from whichever control host answers, or None."""
        for control in self._cluster.controls:
            try:
                reply = await self.get(control, "/v1/status", 1.0)
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            if reply.status == 200:
                return reply.body
        return None

    async def wait_until_settled(self, limit_s: float = 30.0) -> None:
        """Wait for hosts, primaries, serving sets and a first read and write."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self._is_settled():
                return
            await asyncio.sleep(0.1)
        raise TimeoutError("the cluster did not settle in time")

    async def _is_settled(self) -> bool:
        status = await self.status()
        shape = self._cluster.shape
        if status is None or len(status["hosts"]) < shape.entry_hosts:
            return False
        if len(status["groups"]) < len(shape.groups):
            return False
        size = min(3, shape.entry_hosts)
        for group in status["groups"]:
            if group["primary"] is None or len(group["serving"]) < size:
                return False
            reply = await self.statement(
                self._cluster.entries[0],
                group["name"],
                "write",
                "put",
                "settled",
                1,
                headers={"Idempotency-Key": f"settled-{time.time_ns()}"},
            )
            if reply.status != 200:
                return False
        return True
