"""An HTTP client for the caller and operator APIs of a cluster."""

import asyncio
import json
import time
from dataclasses import dataclass
from typing import Any

import aiohttp

from bench.processes import OPERATOR_TOKEN, Cluster


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP response; a body that is a JSON object or array is decoded."""

    status: int
    body: Any
    headers: dict[str, str]
    duration_ms: float

    @property
    def outcome(self) -> str:
        """The `outcome` field of the body; empty if there is none."""
        return str(self.body.get("outcome", "")) if isinstance(self.body, dict) else ""


class Client:
    """Sends statements and settings changes to the processes of a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )

    @property
    def cluster(self) -> Cluster:
        """The cluster that requests are sent to."""
        return self._cluster

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def execute(
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
        """Run one statement on a database group through an entry host."""
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
        """Post JSON to a process.

        Raises `aiohttp.ClientError` when the connection fails and `TimeoutError` when
        there is no response within `timeout_s`.
        """
        url = f"http://{self._cluster.addresses[name]}{path}"
        started = time.perf_counter()
        async with self._session.post(
            url,
            data=json.dumps(body),
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            text = await response.text()
            duration_ms = (time.perf_counter() - started) * 1_000
            decoded = json.loads(text) if text.startswith(("{", "[")) else text
            return Reply(response.status, decoded, dict(response.headers), duration_ms)

    async def get(self, name: str, path: str, timeout_s: float = 3.0) -> Reply:
        """Send a GET request with the operator token to a process."""
        url = f"http://{self._cluster.addresses[name]}{path}"
        started = time.perf_counter()
        async with self._session.get(
            url,
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            text = await response.text()
            duration_ms = (time.perf_counter() - started) * 1_000
            decoded = json.loads(text) if text.startswith(("{", "[")) else text
            return Reply(response.status, decoded, dict(response.headers), duration_ms)

    async def change_settings(
        self, control: str, change_id: str, based_on: int, path: str, values: Any
    ) -> Reply:
        """Submit a settings change for a node of the settings tree to a control host.

        `based_on` is the settings number that the change assumes.
        """
        body = {
            "change_id": change_id,
            "based_on": based_on,
            "reason": "bench",
            "path": path,
            "set": values,
        }
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return await self.post(control, "/v1/settings/changes", body, headers)

    async def status(self) -> Any:
        """Return the status from the first control host that answers, or None."""
        for control in self._cluster.control_host_names:
            try:
                reply = await self.get(control, "/v1/status", 1.0)
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            if reply.status == 200:
                return reply.body
        return None

    async def wait_until_settled(self, timeout_s: float = 30.0) -> None:
        """Wait until all hosts are admitted and every group accepts a write.

        A group also needs a primary and a serving set of full size. Raises
        `TimeoutError` when `timeout_s` has passed.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await self._is_settled():
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"cluster not settled within {timeout_s:g} s")

    async def _is_settled(self) -> bool:
        status = await self.status()
        shape = self._cluster.shape
        if status is None or len(status["hosts"]) < shape.entry_hosts:
            return False
        if len(status["groups"]) < len(shape.groups):
            return False
        set_size = min(3, shape.entry_hosts)
        for group in status["groups"]:
            if group["primary"] is None or len(group["serving"]) < set_size:
                return False
            reply = await self.execute(
                self._cluster.entry_host_names[0],
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
