"""Tests of refused requests: each gets its code and no other caller is affected."""

import json

import anyio
import testtools

from snipetrestle.callers.connection import SLOW_READER_TIMEOUT_S
from snipetrestle.callers.listener import serving
from snipetrestle.codes import ServingError
from snipetrestle.settings import IntakeSettings
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.data_path import API_KEY, MODEL, OTHER_API_KEY, DataPath
from snipetrestle_standins.engine import expected_text
from tests.callers.caller import PROMPT, Caller, completion_body
from tests.systems import in_virtual_time, with_own_system
from tests.waiting import wait_until

INTAKE = IntakeSettings(
    max_body_bytes=10_000, header_timeout_s=5.0, body_timeout_s=5.0, max_connections=4
)
COMPLETIONS = "/v1/completions"
CHAT = "/v1/chat/completions"


def chat_body(**changes):
    return {"model": f"{MODEL}:workshop-0@1", "messages": [], **changes}


# (body, path, headers) and the expected (status, code, field).
BAD_REQUESTS = [
    ((b"", COMPLETIONS, {}), (400, "SN-1002", "body")),
    ((b"{", COMPLETIONS, {}), (400, "SN-1002", "body")),
    ((b"[" * 9_000, COMPLETIONS, {}), (400, "SN-1002", "body")),
    ((b"\xff\xfe{}", COMPLETIONS, {}), (400, "SN-1002", "body")),
    ((b"[]", COMPLETIONS, {}), (400, "SN-1002", "document")),
    (
        (completion_body(temperature=0.5), COMPLETIONS, {}),
        (400, "SN-1002", "temperature"),
    ),
    (
        (completion_body(max_tokens="8"), COMPLETIONS, {}),
        (400, "SN-1002", "max_tokens"),
    ),
    ((completion_body(max_tokens=0), COMPLETIONS, {}), (400, "SN-1002", "max_tokens")),
    (
        (completion_body(max_tokens=10**9), COMPLETIONS, {}),
        (400, "SN-1002", "max_tokens"),
    ),
    ((completion_body(n=2), COMPLETIONS, {}), (400, "SN-1002", "n")),
    ((completion_body(prompt=""), COMPLETIONS, {}), (400, "SN-1002", "prompt")),
    ((completion_body(prompt=["a"]), COMPLETIONS, {}), (400, "SN-1002", "prompt")),
    ((completion_body(model=MODEL), COMPLETIONS, {}), (400, "SN-1002", "model")),
    (
        (completion_body(stream_options={"x": 1}), COMPLETIONS, {}),
        (400, "SN-1002", "stream_options.x"),
    ),
    ((chat_body(), CHAT, {}), (400, "SN-1002", "messages")),
    (
        (chat_body(messages=[{"role": "user"}]), CHAT, {}),
        (400, "SN-1002", "messages[0].content"),
    ),
    ((completion_body(model="other:a@1"), COMPLETIONS, {}), (404, "SN-1004", "model")),
    (
        (completion_body(model=f"{MODEL}:absent@1"), COMPLETIONS, {}),
        (404, "SN-1005", "model"),
    ),
    (
        (completion_body(model=f"{MODEL}:private@1"), COMPLETIONS, {}),
        (404, "SN-1005", "model"),
    ),
    (
        (completion_body(model="idle-model:workshop-0@1"), COMPLETIONS, {}),
        (404, "SN-1005", "model"),
    ),
    (
        (completion_body(model=f"{MODEL}:workshop-0@9"), COMPLETIONS, {}),
        (404, "SN-1006", "model"),
    ),
    (
        (completion_body(), COMPLETIONS, {"Authorization": "Bearer wrong"}),
        (401, "SN-1001", "Authorization"),
    ),
    (
        (completion_body(), COMPLETIONS, {"Authorization": f"Basic {API_KEY}"}),
        (401, "SN-1001", "Authorization"),
    ),
    (
        (completion_body(), COMPLETIONS, {"X_Request_Class": "urgent"}),
        (400, "SN-1002", "X-Request-Class"),
    ),
    (
        (completion_body(), COMPLETIONS, {"X_Request_Deadline": "-1"}),
        (400, "SN-1002", "X-Request-Deadline"),
    ),
    (
        (completion_body(), COMPLETIONS, {"X_Request_Deadline": "nan"}),
        (400, "SN-1002", "X-Request-Deadline"),
    ),
    ((completion_body(), "/v1/nothing", {}), (404, "SN-1011", "path")),
    ((b"x" * 10_001, COMPLETIONS, {}), (413, "SN-1003", "body")),
]


class RefusalTest(testtools.TestCase):
    def run_with(self, function, **changes):
        """Runs ``function(path, caller)``.

        Checks that another customer's request succeeds before and after.
        """

        async def main():
            async with DataPath(intake=INTAKE, **changes) as path:
                daemon = path.daemons_by_name["entry-1"]
                other = Caller(daemon, OTHER_API_KEY)
                await self.check_answer(other)
                await function(path, Caller(daemon))
                await self.check_answer(other)

        run_in_virtual_time(main)

    async def check_answer(self, caller):
        answer = await caller.complete()
        self.assertEqual(200, answer.status, answer.body)
        self.assertEqual(
            expected_text("workshop-0", "1", PROMPT, 8),
            answer.json["choices"][0]["text"],
        )

    @with_own_system("run_with")
    async def test_bad_input(self, path, caller):
        """Invalid input must be refused, and with a reason."""
        for (body, target, headers), expected in BAD_REQUESTS:
            answer = await caller.send("POST", target, body, **headers)
            error = answer.error
            self.assertEqual(expected, (answer.status, error["code"], error["field"]))
            self.assertEqual("did_not_run", error["outcome"])
            self.assertTrue(error["rule"], error)
            self.assertNotIn("retry-after", answer.headers)

    @with_own_system("run_with")
    async def test_body_without_length_is_bounded(self, path, caller):
        """A chunked body states no length and could exhaust the memory."""
        connection = path.daemons_by_name["entry-1"].listener.connect()
        head = (
            f"POST {COMPLETIONS} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {API_KEY}"
            "\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        connection.send(head.encode())
        for _ in range(11):
            connection.send(b"3e8\r\n" + b"x" * 1000 + b"\r\n")
        answer = await connection.receive_until(b"}}")
        self.assertIn(b"SN-1003", answer)
        self.assertIn(b"connection: close", answer)

    def check_raw(self, data, code, **changes):
        async def check(path, caller):
            connection = path.daemons_by_name["entry-1"].listener.connect()
            connection.send(data)
            answer = await connection.receive_until(b"}}")
            self.assertIn(code.encode(), answer)
            self.assertIn(b"did_not_run", answer)
            self.assertEqual(b"", await connection.receive())

        self.run_with(check, **changes)

    def test_half_sent_headers(self):
        """Guards against connections that are kept open without sending anything."""
        self.check_raw(b"POST /v1/completions HTTP/1.1\r\nHost:", "SN-1012")

    def test_half_sent_body(self):
        """If the rest of a body never comes, its request must not wait forever."""
        head = (
            f"POST {COMPLETIONS} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {API_KEY}\r\n"
            "Content-Length: 100\r\n\r\n{"
        )
        self.check_raw(head.encode(), "SN-1012")

    def test_bytes_that_are_not_http(self):
        """Even to bytes that are not HTTP, the response must be a parsable error."""
        self.check_raw(b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", "SN-1002")

    def test_headers_are_bounded(self):
        """Guards against headers that exhaust the memory."""
        head = b"GET /v1/models HTTP/1.1\r\n" + b"X-Filler: " + b"x" * 40_000 + b"\r\n"
        self.check_raw(head, "SN-1002")
        many = b"".join(b"X-%d: %s\r\n" % (n, b"y" * 90) for n in range(400))
        self.check_raw(b"GET /v1/models HTTP/1.1\r\n" + many, "SN-1002")

    @with_own_system("run_with")
    async def test_disconnect_before_the_end_of_the_body(self, path, caller):
        """An incomplete request must not run when its caller disconnects."""
        generated = [core.tokens_generated for core in path.engines_by_name.values()]
        connection = path.daemons_by_name["entry-1"].listener.connect()
        body = json.dumps(completion_body()).encode()
        head = (
            f"POST {COMPLETIONS} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {API_KEY}"
            f"\r\nContent-Length: {len(body) + 1}\r\n\r\n"
        )
        connection.send(head.encode() + body)
        await anyio.sleep(1.0)
        connection.close()
        await anyio.sleep(1.0)
        self.assertEqual(
            generated,
            [core.tokens_generated for core in path.engines_by_name.values()],
        )

    @with_own_system("run_with")
    async def test_connections_are_bounded(self, path, caller):
        """Connections over the limit must not be refused without a response."""
        listener = path.daemons_by_name["entry-1"].listener
        connections = [
            listener.connect()
            for _ in range(INTAKE.max_connections - len(listener.connections))
        ]
        refused = listener.connect()
        answer = await refused.receive_until(b"}}")
        self.assertIn(b"SN-1105", answer)
        self.assertIn(b"retry-after", answer)
        for connection in connections:
            connection.close()
        await anyio.sleep(0.1)

    @with_own_system("run_with")
    async def test_caller_that_does_not_read(self, path, caller):
        """Guards against unbounded buffering for a caller that does not read."""
        daemon = path.daemons_by_name["entry-1"]
        connection = daemon.listener.connect()
        body = json.dumps(completion_body(max_tokens=6000, stream=True)).encode()
        head = (
            f"POST {COMPLETIONS} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {API_KEY}"
            f"\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        connection.send(head.encode() + body)
        await wait_until(lambda: connection.transport.paused)
        buffered = len(connection.buffer)
        await anyio.sleep(SLOW_READER_TIMEOUT_S / 2)
        self.assertEqual(buffered, len(connection.buffer))
        await anyio.sleep(SLOW_READER_TIMEOUT_S)
        self.assertTrue(connection.ended)
        running = sum(
            not stream.ended
            for core in path.engines_by_name.values()
            for stream in core._streams_by_id.values()
        )
        self.assertEqual(0, running)

    @with_own_system("run_with", requests_per_second=3.0)
    async def test_rate_limit_refusals_have_retry_after(self, path, caller):
        """Callers would retry immediately for lack of a Retry-After header."""
        codes = set()
        for _ in range(8):
            answer = await caller.complete()
            if answer.status != 200:
                codes.add((answer.status, answer.error["code"]))
                self.assertEqual("did_not_run", answer.error["outcome"])
                self.assertTrue(int(answer.headers["retry-after"]) >= 1)
        self.assertEqual({(429, "SN-1101")}, codes)
        await anyio.sleep(60.0)

    @with_own_system("run_with")
    async def test_no_replica(self, path, caller):
        """When no replica exists, a request must not wait for one."""
        path.daemons_by_name["entry-1"].entry.set_replicas({})
        answer = await caller.complete()
        self.assertEqual((503, "SN-1203"), (answer.status, answer.error["code"]))
        self.assertEqual("1", answer.headers["retry-after"])
        path.daemons_by_name["entry-1"].apply(path.configuration)

    @in_virtual_time
    async def test_draining_and_not_ready(self):
        """A load balancer could send work to a daemon that is stopping."""
        async with DataPath() as path:
            interface = path.daemons_by_name["entry-1"].interface
            caller = Caller(path.daemons_by_name["entry-1"])
            self.assertEqual(200, (await caller.send("GET", "/readyz")).status)
            with anyio.fail_after(30.0):
                async with anyio.create_task_group() as group:
                    group.start_soon(caller.complete)
                    await anyio.sleep(0.05)
                    await interface.drain()
            self.assertEqual(200, (await caller.send("GET", "/healthz")).status)
            for target in ("/readyz", "/v1/models"):
                answer = await caller.send("GET", target)
                self.assertEqual(
                    (503, "SN-1202"), (answer.status, answer.error["code"])
                )

    @with_own_system("run_with")
    async def test_models_are_those_of_the_customer(self, path, caller):
        """The list of models must not show other customers' adapters."""
        answer = await caller.send("GET", "/v1/models")
        names = [item["id"] for item in answer.json["data"]]
        self.assertIn(f"{MODEL}:workshop-3@2", names)
        self.assertNotIn(f"{MODEL}:private@1", names)

    @in_virtual_time
    async def test_plain_text_is_refused_except_on_loopback(self):
        """Guards against sending keys and prompts over the network in plain text."""

        async def app(scope, receive, send):
            raise AssertionError("must not be called")

        with testtools.ExpectedException(ServingError) as caught:
            async with serving(app, "192.0.2.1:8000"):
                pass
        return caught
