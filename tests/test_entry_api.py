import asyncio
import json
import unittest

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from azurerelay.daemons import EntryApi, HttpServer, not_found
from azurerelay.daemons._endpoint_wire import decode_result
from azurerelay.daemons._http_endpoint_port import HttpEndpointPort
from azurerelay.endpoints import FailureKind
from azurerelay.membership import ClusterState, EndpointAnnouncement
from azurerelay.messages import TaggedCodec
from azurerelay.requests import CallerAnswer, CallerRequest, ErrorCode, Outcome
from azurerelay.runtime import as_future
from azurerelay.sessions import GroupPosition, SessionToken, decode_token, encode_token
from azurerelay.timing import Promise

PATH = "/v1/groups/g/statements"
READ = {"kind": "read", "statement": "get", "parameters": ["k"]}


class _Node:
    """A fake entry node that records requests and returns a preset answer."""

    def __init__(self) -> None:
        self.state = ClusterState()
        self.is_ready = True
        self.answer = CallerAnswer(
            Outcome.DONE,
            rows=((1,),),
            term=2,
            position=7,
            staleness_ms=12.0,
            endpoint="e-1",
            is_from_replica=True,
            host="h",
        )
        self.requests: list[CallerRequest] = []
        self.announced: list[EndpointAnnouncement] = []

    def handle(self, request: CallerRequest) -> Promise[CallerAnswer]:
        self.requests.append(request)
        return Promise.of(self.answer)

    def announce(self, announcement: EndpointAnnouncement) -> None:
        self.announced.append(announcement)


class EndpointAnswerTest(unittest.TestCase):
    def test_an_answer_with_an_odd_number_or_deep_nesting_is_lost(self) -> None:
        """Its term went into messages that could not be encoded."""
        answer = {
            "term": 1,
            "position": 2,
            "log_term": 1,
            "synced_term": 1,
            "role": "replica",
        }
        self.assertTrue(decode_result(200, json.dumps(answer).encode()).is_ok())
        bodies = [
            json.dumps(answer | {key: number}).encode()
            for key in ("term", "position", "log_term", "synced_term", "transaction")
            for number in (10**24, 2**63, -1)
        ]
        bodies.append(json.dumps(answer).encode()[:-1] + b',"x":' + b"[" * 50_000)
        for body in bodies:
            with self.subTest(body[-40:]):
                failure = decode_result(200, body).err_value
                self.assertIs(failure.kind, FailureKind.LOST)


class EndpointPortTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_to_an_odd_address_fails(self) -> None:
        """The promise of a connection to a port above 65535 was never resolved."""
        port = HttpEndpointPort()
        await port.start()
        self.addAsyncCleanup(port.stop)
        for address in ("127.0.0.1:99999", "127.0.0.1:x", "", "a..b:80", "127.0.0.1:"):
            with self.subTest(address):
                outcome = await asyncio.wait_for(
                    as_future(port.connect(address, 1_000.0)), 10.0
                )
                self.assertIs(outcome.err_value.kind, FailureKind.UNREACHABLE)


class EntryApiTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.node = _Node()
        self.server = HttpServer(
            "callers",
            "127.0.0.1:0",
            [*EntryApi(self.node).routes(), web.route("*", "/{path:.*}", not_found)],
        )
        self.client = TestClient(TestServer(self.server.build()))
        await self.client.start_server()

    async def asyncTearDown(self) -> None:
        await self.client.close()

    async def _post(
        self, body: object, headers: dict[str, str] | None = None, path: str = PATH
    ) -> tuple[int, dict, web.Response]:
        data = body if isinstance(body, bytes | str) else json.dumps(body)
        response = await self.client.post(path, data=data, headers=headers)
        return response.status, json.loads(await response.text()), response

    async def test_responses_of_a_draining_host_close_their_connections(self) -> None:
        """Otherwise a request on a kept-alive connection fails once the host stops."""
        _, _, response = await self._post(READ)
        self.assertNotEqual(response.headers.get("Connection"), "close")
        await self.server.drain()
        for _ in range(3):
            status, _, response = await self._post(READ)
            self.assertEqual(status, 200)
            self.assertEqual(response.headers.get("Connection"), "close")
            self.assertIsNone(response.connection)

    async def test_response_has_session_token_staleness_and_endpoint_headers(
        self,
    ) -> None:
        token = encode_token(SessionToken((GroupPosition(1, 3, "g"),)))
        status, body, response = await self._post(READ, {"Azurerelay-Session": token})
        self.assertEqual((status, body), (200, {"outcome": "done", "rows": [[1]]}))
        request = self.node.requests[0]
        self.assertEqual((request.token_term, request.token_position), (1, 3))
        updated = decode_token(response.headers["Azurerelay-Session"]).ok_value
        self.assertEqual(updated.position("g"), GroupPosition(2, 7, "g"))
        self.assertEqual(response.headers["Azurerelay-Staleness-Ms"], "12")
        self.assertEqual(
            response.headers["Azurerelay-Served-By"], "e-1; role=replica; host=h"
        )

    async def test_invalid_input_gets_400_with_all_findings_and_is_not_run(
        self,
    ) -> None:
        write = {"kind": "write", "statement": "put", "parameters": ["k", 1]}
        cases = (
            (
                {"kind": "rad", "statment": "x"},
                {},
                ["$.kind", "$.statement", "$.statment"],
            ),
            ("{", {}, ["$"]),
            ("[" * 5_000, {}, ["$"]),
            ({**READ, "parameters": [[1]]}, {}, ["$.parameters[0]"]),
            ({**READ, "parameters": [10**24]}, {}, ["$.parameters[0]"]),
            ({**READ, "parameters": ["k", -(2**63) - 1]}, {}, ["$.parameters[1]"]),
            (
                '{"kind": "read", "statement": "get", "parameters": [1e999]}',
                {},
                ["$.parameters[0]"],
            ),
            (write, {}, ["body:$.idempotent"]),
            (READ, {"Azurerelay-Session": "broken"}, ["Azurerelay-Session"]),
            (
                READ,
                {"Azurerelay-Timeout-Ms": "-1", "Azurerelay-Max-Staleness-Ms": "x"},
                ["header Azurerelay-Timeout-Ms", "header Azurerelay-Max-Staleness-Ms"],
            ),
            (write, {"Idempotency-Key": "k" * 500}, ["header Idempotency-Key"]),
        )
        for body, headers, places in cases:
            with self.subTest(body=str(body)[:60], headers=headers):
                status, problem, response = await self._post(body, headers)
                self.assertEqual((status, problem["outcome"]), (400, "not_run"))
                self.assertEqual(response.content_type, "application/problem+json")
                found = " ".join(finding["place"] for finding in problem["findings"])
                for place in places:
                    self.assertIn(place, found)
        self.assertEqual(self.node.requests, [])

    async def test_oversized_body_and_invalid_path_get_problem_responses(self) -> None:
        status, problem, _ = await self._post(b"x" * (1024 * 1024 + 1))
        self.assertEqual((status, problem["outcome"]), (413, "not_run"))
        status, problem, _ = await self._post(
            READ, path="/v1/groups/BAD%20NAME/statements"
        )
        self.assertEqual(status, 400)
        status, problem, _ = await self._post(READ, path="/nowhere")
        self.assertEqual(status, 404)

    async def test_error_response_has_status_and_states_whether_a_retry_is_safe(
        self,
    ) -> None:
        cases = (
            (Outcome.NOT_RUN, ErrorCode.OVERLOADED, 503, True),
            (Outcome.NOT_RUN, ErrorCode.NO_PRIMARY, 503, True),
            (Outcome.NOT_RUN, ErrorCode.REJECTED, 422, True),
            (Outcome.UNKNOWN, ErrorCode.UNCONFIRMED, 504, False),
            (Outcome.UNKNOWN, ErrorCode.ENDPOINT_LOST, 502, False),
        )
        for outcome, code, expected, is_safe in cases:
            with self.subTest(code):
                self.node.answer = CallerAnswer(
                    outcome, code, "why", retry_after_ms=1_500
                )
                status, problem, response = await self._post(READ)
                self.assertEqual(
                    (status, problem["outcome"]), (expected, outcome.value)
                )
                self.assertEqual(problem["is_retry_safe"], is_safe)
                self.assertEqual(response.headers["Retry-After"], "2")

    async def test_endpoint_announcement_is_validated_and_passed_to_the_node(
        self,
    ) -> None:
        body = {
            "group": "g",
            "address": "10.0.0.1:9000",
            "failure_domain": "north",
            "role": "replica",
            "term": 1,
            "position": 2,
            "slots": 3,
            "connection_limit": 45,
            "leaving": True,
        }
        response = await self.client.put("/v1/endpoints/e-1", data=json.dumps(body))
        self.assertEqual(response.status, 202)
        self.assertEqual(self.node.announced[0].endpoint.presence.value, "leaving")
        odd_fields = [{"slots": 0}]
        odd_fields += [{"term": number} for number in (2**63, 10**24, -1)]
        odd_fields += [{"position": number} for number in (2**63, 10**24, -1)]
        odd_fields += [
            {"address": address}
            for address in ("10.0.0.1:99999", "10.0.0.1:0", "nowhere", "a b:80", "a:٨٠")
        ]
        for odd_field in odd_fields:
            with self.subTest(odd_field):
                response = await self.client.put(
                    "/v1/endpoints/e-1", data=json.dumps({**body, **odd_field})
                )
                self.assertEqual(response.status, 400)
        self.assertEqual(len(self.node.announced), 1)

    async def test_only_readyz_fails_when_the_node_is_not_ready(self) -> None:
        self.assertEqual((await self.client.get("/readyz")).status, 200)
        self.node.is_ready = False
        self.assertEqual((await self.client.get("/readyz")).status, 503)
        self.assertEqual((await self.client.get("/healthz")).status, 200)


class TaggedCodecTest(unittest.TestCase):
    def test_malformed_frame_gives_an_error_and_never_an_exception(self) -> None:
        codec = TaggedCodec((GroupPosition,))
        frame = codec.encode(GroupPosition(1, 2, "g"))
        self.assertEqual(codec.decode(frame).ok_value, GroupPosition(1, 2, "g"))
        for length in range(len(frame)):
            self.assertTrue(codec.decode(frame[:length]).is_err())
        for index in range(len(frame)):
            for value in (0, 0xC1, 0xFF):
                codec.decode(frame[:index] + bytes([value]) + frame[index + 1 :])


class AsFutureTest(unittest.TestCase):
    def test_future_gets_the_value_of_the_promise(self) -> None:
        from azurerelay.daemons import as_future

        async def run() -> int:
            promise: Promise[int] = Promise()
            asyncio.get_running_loop().call_soon(promise.resolve, 7)
            return await as_future(promise)

        self.assertEqual(asyncio.run(run()), 7)
