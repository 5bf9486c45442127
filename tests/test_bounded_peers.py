"""Tests that no call of the daemon's HTTP clients reads a peer's bytes without end.

The calls are found by introspection: all public methods of each public client class.
"""

import functools
import importlib
import inspect

import anyio
import testtools
from msgspec import structs

from snipetrestle.engines.http_client import HttpEngineClient
from snipetrestle.engines.protocol import EngineError, GenerateRequest, LoadOrder
from snipetrestle.http_connections import ConnectionPool
from snipetrestle.services.http_client import HttpServiceClient
from snipetrestle.services.protocol import ServiceCall, ServiceUnreachable
from snipetrestle_standins import raw_http
from snipetrestle_standins.raw_http import (
    CHUNKED_START,
    ENDLESS_ANSWERS,
    Endless,
    ok,
    raw_server,
)
from tests.memory import assert_bounded_memory
from tests.services.test_bad_servers import client_of

# Of a call that ends by its time-out.
SHORT_TIMEOUT_S = 0.3
# Of a trickled call, all of which run at once, on a busy machine.
MAX_TRICKLE_S = 15.0
# Backstop for a call that isn't bounded at all, for a busy machine.
MAX_CALL_S = 20.0
# Limits of whole answers are lowered to this, so that a test stays short.
MAX_BODY_BYTES = 256 * 1024
# What a peer may have sent at the end of a call, with what its socket holds.
MAX_SENT_BYTES = 24 * 1024 * 1024

ERRORS_BY_CLIENT = {
    HttpEngineClient: EngineError,
    HttpServiceClient: ServiceUnreachable,
}
# Methods that send nothing to the peer.
LOCAL_METHODS = {"aclose", "apply"}
ARGUMENTS = {
    "call": ServiceCall("register", "write", b"{}", timeout=30.0),
    "data": b"cache",
    "fencing_number": 1,
    "number": 1,
    "order": LoadOrder("workshop-0@1", "workshop-0", "1", 1),
    "request": GenerateRequest(
        request_id="r1",
        handle="workshop-0@1",
        prompt="Size 8?",
        prompt_tokens=4,
        max_tokens=6,
        priority=0,
        fencing_number=1,
    ),
    "request_id": "r1",
    "role": "decode",
}
CHUNK = b"1\r\nx\r\n"
PAUSE_S = 0.02
TRICKLES = {
    "head": Endless(b"HTTP/1.1 200 OK\r\nX-F: ", b"x", PAUSE_S),
    "interim answers": Endless(b"", b"HTTP/1.1 103 Early\r\n\r\n", PAUSE_S),
    "body": Endless(CHUNKED_START, CHUNK, PAUSE_S),
    "chunk extension": Endless(CHUNKED_START + b"5;", b"x", PAUSE_S),
    "trailers": Endless(CHUNKED_START + b"0\r\nX-F: ", b"x", PAUSE_S),
}
# A channel of an engine that stays open and carries no tokens.
SILENT_CHANNEL = Endless(CHUNKED_START, b"3\r\n:\n\n\r\n", PAUSE_S)


def with_refusals(answers):
    """Adds, for each answer whose head is complete, the same with status 500."""
    refusals = {
        f"{name}, refused": Endless(
            answer.start.replace(b"200 OK", b"500 Odd"), answer.part, answer.pause_s
        )
        for name, answer in answers.items()
        if b"\r\n\r\n" in answer.start
    }
    return {**answers, **refusals}


def calls_of(client_type):
    """Returns the names of the methods that send something to the peer."""
    return [
        name
        for name, _ in inspect.getmembers(client_type, inspect.isfunction)
        if not name.startswith("_") and name not in LOCAL_METHODS
    ]


def connect(client_type, server):
    if client_type is HttpEngineClient:
        return HttpEngineClient(server.address)
    return client_of(server)


async def invoke(client, name):
    """Makes a call and reads all of its results."""
    method = getattr(client, name)
    arguments = {
        parameter.name: ARGUMENTS[parameter.name]
        for parameter in inspect.signature(method).parameters.values()
        if parameter.default is parameter.empty
    }
    call = functools.partial(method, **arguments)
    if inspect.iscoroutinefunction(method):
        await call()
    elif inspect.isasyncgenfunction(method):
        async for _ in call():
            pass
    else:
        async with call() as items:
            async for _ in items:
                pass


class BoundedCallTest(testtools.TestCase):
    """Each call, against each answer without end."""

    def setUp(self):
        super().setUp()
        self.patch(raw_http, "MAX_ENDLESS_BYTES", MAX_SENT_BYTES)
        self.patch_constants("_BYTES", MAX_BODY_BYTES)

    def patch_constants(self, ending, highest):
        """Lowers the limits of the modules of all clients to ``highest``."""
        modules = {client_type.__module__ for client_type in ERRORS_BY_CLIENT}
        for module_name in sorted(modules | {ConnectionPool.__module__}):
            module = importlib.import_module(module_name)
            for name, value in list(vars(module).items()):
                if name.endswith(ending) and isinstance(value, int | float):
                    self.patch(module, name, min(value, highest))

    def answer_sequences(self, name, answers):
        """Yields the answers of the peer's connections, in their order."""
        for title, answer in answers.items():
            yield title, (answer,)
            if name == "generate":
                yield f"{title} on an open channel", (SILENT_CHANNEL, answer)
                yield f"{title} on the channel itself", (answer, ok(b""))

    async def assert_call_fails(self, client_type, name, title, answers):
        where = f"{client_type.__name__}.{name}: {title}"
        async with raw_server(*answers) as server:
            client = connect(client_type, server)
            try:
                with anyio.fail_after(MAX_CALL_S):
                    await invoke(client, name)
            except ERRORS_BY_CLIENT[client_type]:
                pass
            except TimeoutError:
                self.fail(f"{where}: not ended by the client")
            else:
                self.fail(f"{where}: an endless answer must not succeed")
            finally:
                await client.aclose()
            self.assertLess(server.sent_bytes, MAX_SENT_BYTES, where)
        return where

    def calls(self, answers):
        for client_type in ERRORS_BY_CLIENT:
            for name in calls_of(client_type):
                for title, sequence in self.answer_sequences(name, answers):
                    yield client_type, name, title, sequence

    def test_no_call_keeps_or_reads_bytes_without_end(self):
        """A refused channel kept 703 MB in 5 s: each call used to read by itself."""
        answers = with_refusals(
            {k: a for k, a in ENDLESS_ANSWERS.items() if not a.pause_s}
        )
        failures = []
        for call in self.calls(answers):
            where = f"{call[0].__name__}.{call[1]}: {call[2]}"
            try:
                with assert_bounded_memory(self, where):
                    anyio.run(self.assert_call_fails, *call)
            except (self.failureException, testtools.MultipleExceptions) as error:
                failures.append(f"{where}: {str(error)[:200]}")
        self.assertEqual([], failures)

    def test_no_call_waits_for_a_trickle_without_end(self):
        """A byte now and then postponed the end of a call for ever."""
        for ending in ("TIMEOUT_S", "WAIT_S"):
            self.patch_constants(ending, SHORT_TIMEOUT_S)
        short_call = structs.replace(ARGUMENTS["call"], timeout=SHORT_TIMEOUT_S)
        ARGUMENTS["call"], long_call = short_call, ARGUMENTS["call"]
        self.addCleanup(ARGUMENTS.__setitem__, "call", long_call)
        failures = []

        async def check(*call):
            try:
                with anyio.fail_after(MAX_TRICKLE_S):
                    await self.assert_call_fails(*call)
            except (self.failureException, TimeoutError) as error:
                failures.append(f"{call[0].__name__}.{call[1]}: {call[2]}: {error!r}")

        async def main():
            async with anyio.create_task_group() as group:
                for call in self.calls(with_refusals(TRICKLES)):
                    group.start_soon(check, *call)

        anyio.run(main)
        self.assertEqual([], failures)
