"""Tests that no call of the daemon's HTTP clients reads a peer's bytes without end.

The calls are found by introspection: all public methods of each public client class.
"""

import ast
import functools
import importlib
import inspect
import pathlib

import anyio
import testtools
from msgspec import structs

import snipetrestle
from snipetrestle.engines.http_client import HttpEngineClient
from snipetrestle.engines.protocol import EngineError, GenerateRequest, LoadOrder
from snipetrestle.http_connections import ConnectionPool
from snipetrestle.operators.client import OperatorCallFailed, OperatorClient
from snipetrestle.operators.reports import DaemonReport
from snipetrestle.publication.http_sources import (
    HttpConfigurationSource,
    HttpHostListSource,
)
from snipetrestle.publication.sources import SourceUnreachable
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
# Backstop for a call that isn't bounded at all, for a busy machine.
MAX_CALL_S = 20.0
# Of a trickled call, all of which run at once, on a busy machine.
MAX_TRICKLE_S = 15.0
# Limits of whole answers are lowered to this, so that a test stays short.
MAX_BODY_BYTES = 256 * 1024
# What a peer may have sent at the end of a call, with what its socket holds.
MAX_SENT_BYTES = 24 * 1024 * 1024

ERRORS_BY_CLIENT = {
    HttpEngineClient: EngineError,
    HttpServiceClient: ServiceUnreachable,
    HttpConfigurationSource: SourceUnreachable,
    HttpHostListSource: SourceUnreachable,
    OperatorClient: OperatorCallFailed,
}
# Methods that send nothing to the peer.
LOCAL_METHODS = {"aclose", "apply", "close"}
ARGUMENTS = {
    "after_revision": 1,
    "call": ServiceCall("register", "write", b"{}", timeout=30.0),
    "data": b"cache",
    "fencing_number": 1,
    "number": 1,
    "order": LoadOrder("workshop-0@1", "workshop-0", "1", 1),
    "path": "/v1/status",
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
    "response_type": DaemonReport,
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


ROOT = pathlib.Path(snipetrestle.__file__).parent
# Modules that open connections, besides those with limits of their own.
SOCKET_MODULES = ("httpcore", "h11", "http.client", "urllib.request", "socket.create")
BOUNDED_MODULES = {"http_connections.py", "http_responses.py"}


SOCKET_FUNCTIONS = {
    "create_connection",
    "connect_tcp",
    "open_connection",
    "sock_connect",
}
PACKAGES_WITH_OWN_LIMITS = ("gateway/", "coordination/", "platform/")


def module_path(name):
    return name.removeprefix("snipetrestle.").replace(".", "/") + ".py"


def trees_by_path():
    return {
        path.relative_to(ROOT).as_posix(): ast.parse(path.read_text())
        for path in ROOT.rglob("*.py")
    }


def imports_by_path():
    """Returns the full names of all imports of each module of the package."""
    return {path: set(imports_of(tree)) for path, tree in trees_by_path().items()}


def imports_of(tree):
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


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
    if client_type is HttpServiceClient:
        return client_of(server)
    if client_type is OperatorClient:
        return OperatorClient(f"http://{server.address}", "key")
    return client_type(f"http://{server.address}")


async def invoke(client, name):
    """Makes a call and reads all of its results."""
    method = getattr(client, name)
    arguments = {
        parameter.name: ARGUMENTS[parameter.name]
        for parameter in inspect.signature(method).parameters.values()
        if parameter.default is parameter.empty
    }
    call = functools.partial(method, **arguments)
    if isinstance(client, OperatorClient):
        await anyio.to_thread.run_sync(call, abandon_on_cancel=True)
    elif inspect.iscoroutinefunction(method):
        await call()
    elif inspect.isasyncgenfunction(method):
        async for _ in call():
            pass
    else:
        async with call() as items:
            async for _ in items:
                pass


async def close(client):
    if not isinstance(client, OperatorClient):
        await client.aclose()


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
                await close(client)
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


class AccessTest(testtools.TestCase):
    """A new call or client must not get round the bounds or this module's tests."""

    def test_calls_are_found(self):
        """A search that finds nothing would let each test above pass."""
        self.assertLessEqual(
            {"status", "load", "generate", "cache_events"},
            set(calls_of(HttpEngineClient)),
        )
        for client_type in ERRORS_BY_CLIENT:
            self.assertNotEqual([], calls_of(client_type), client_type)

    def test_only_the_bounded_connections_open_sockets(self):
        """A call with a client of its own would be bounded by nothing."""
        users = {
            path
            for path, names in imports_by_path().items()
            if any(name.startswith(SOCKET_MODULES) for name in names)
        }
        self.assertEqual(BOUNDED_MODULES, users)
        users = {
            path
            for path, tree in trees_by_path().items()
            if not path.startswith(PACKAGES_WITH_OWN_LIMITS)
            and any(
                isinstance(node, ast.Attribute) and node.attr in SOCKET_FUNCTIONS
                for node in ast.walk(tree)
            )
        }
        self.assertEqual({"http_responses.py"}, users)

    def test_each_client_is_tested(self):
        """A new client that is missing here would be tested by nothing."""
        users = {
            path
            for path, names in imports_by_path().items()
            if "snipetrestle.http_connections.ConnectionPool" in names
        }
        tested = {client.__module__ for client in ERRORS_BY_CLIENT}
        self.assertEqual({module_path(name) for name in tested}, users)
        for name in tested:
            public_clients = {
                value
                for value in vars(importlib.import_module(name)).values()
                if inspect.isclass(value)
                and value.__module__ == name
                and not value.__name__.startswith("_")
                and value.__name__.endswith(("Client", "Source"))
            }
            self.assertLessEqual(public_clients, set(ERRORS_BY_CLIENT))
