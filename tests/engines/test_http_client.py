"""Tests of HttpEngineClient against the stand-in engine over in-memory HTTP."""

import anyio
import testtools

from snipetrestle.engines.http_client import HttpEngineClient
from snipetrestle.engines.protocol import (
    EngineError,
    GenerateRequest,
    LoadFailed,
    LoadOrder,
    NotResident,
    OldFencingNumber,
    UnloadOrder,
)
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.engine import StandInEngine, expected_token
from snipetrestle_standins.engine_http import engine_app
from snipetrestle_standins.http_answers import send_response
from snipetrestle_standins.memory_http import MemoryBackend, MemoryListener
from snipetrestle_standins.store import StandInWeightStore
from tests.systems import in_virtual_time, with_own_system

HANDLE = "workshop-0@1"
ADDRESS = "127.0.0.1:7000"


def make_request(**changes):
    values = {
        "request_id": "r1",
        "handle": HANDLE,
        "prompt": "Size 8?",
        "prompt_tokens": 4,
        "max_tokens": 6,
        "priority": 0,
        "fencing_number": 1,
        **changes,
    }
    return GenerateRequest(**values)


async def collect(client, request, count=None):
    """Returns the tokens of a stream; stops after at least ``count`` of them."""
    tokens = []
    async with client.generate(request) as batches:
        async for batch in batches:
            tokens.extend(batch.tokens)
            if count is not None and len(tokens) >= count:
                break
    return tokens


class HttpEngineClientTest(testtools.TestCase):
    def run_with_engine(self, function):
        async def main():
            store = StandInWeightStore(loads_per_second=100, parallel_loads=8)
            core = StandInEngine(
                "e", store, adapter_slots=2, checks_fencing_numbers=True
            )
            listener = MemoryListener(engine_app(core))
            backend = MemoryBackend()
            backend.listeners_by_address[ADDRESS] = listener
            client = HttpEngineClient(ADDRESS, backend=backend)
            async with anyio.create_task_group() as group:
                group.start_soon(core.run)
                await client.load(LoadOrder(HANDLE, "workshop-0", "1", 1))
                await function(client, core, listener)
                group.cancel_scope.cancel()

        run_in_virtual_time(main)

    async def assert_error(self, error_type, awaitable, sent=True):
        try:
            await awaitable
        except EngineError as error:
            self.assertEqual((error_type, sent), (type(error), error.sent))
            return error
        return self.fail(f"{error_type.__name__} expected")

    @with_own_system("run_with_engine")
    async def test_orders(self, client, core, listener):
        """An order's arguments and results must not be changed on the way."""
        status = await client.status()
        self.assertEqual({HANDLE: 0}, status.in_use_by_handle)
        self.assertEqual(core.incarnation, status.incarnation)
        await client.change_role("prefill", 1)
        self.assertEqual("prefill", (await client.status()).role)
        await client.unload(UnloadOrder(HANDLE, 1))
        self.assertEqual({}, (await client.status()).in_use_by_handle)
        status = await client.fence(7)
        self.assertEqual(7, status.fencing_number)
        order = LoadOrder(HANDLE, "workshop-0", "1", 6)
        error = await self.assert_error(OldFencingNumber, client.load(order))
        self.assertEqual(7, error.highest)

    @with_own_system("run_with_engine")
    async def test_refusals(self, client, core, listener):
        """Guards against a refusal that is decoded as another error."""
        request = make_request(handle="absent@1")
        await self.assert_error(NotResident, collect(client, request))
        core.loads_to_fail = 1
        order = LoadOrder("workshop-1@1", "workshop-1", "1", 1)
        await self.assert_error(LoadFailed, client.load(order))
        request = make_request(next_index=3)
        await self.assert_error(EngineError, collect(client, request))
        listener.down = True
        listener.break_connections()
        await self.assert_error(EngineError, client.status(), sent=False)
        await self.assert_error(
            EngineError, collect(client, make_request()), sent=False
        )

    @with_own_system("run_with_engine")
    async def test_stream_and_resume(self, client, core, listener):
        """A resumed stream must neither repeat nor skip tokens."""
        expected = [expected_token("workshop-0", "1", "Size 8?", n) for n in range(6)]
        first = await collect(client, make_request(), count=2)
        remaining = await collect(client, make_request(next_index=len(first)))
        self.assertEqual(expected, first + remaining)
        self.assertEqual(6, core.tokens_generated)
        forced = make_request(
            request_id="r2", next_index=3, forced_tokens=tuple(expected[:3])
        )
        self.assertEqual(expected[3:], await collect(client, forced))

    @with_own_system("run_with_engine")
    async def test_cancel_and_cache(self, client, core, listener):
        """The client could lose a cancel, a KV cache transfer or a cache event."""
        request = make_request(max_tokens=500, prefix="first")
        await collect(client, request, count=2)
        data = await client.export_kv("r1")
        await client.cancel("r1")
        self.assertEqual(0, (await client.status()).running)
        await client.import_kv("r1", data)
        await self.assert_error(EngineError, client.import_kv("r9", data))
        events = [event async for event in client.cache_events()]
        self.assertEqual([("stored", "first")], [(e.kind, e.prefix) for e in events])

    @with_own_system("run_with_engine")
    async def test_connection_breaks_in_a_stream(self, client, core, listener):
        """Without an error, a broken stream would be taken for a finished one."""
        async with client.generate(make_request(max_tokens=500)) as batches:
            await batches.__anext__()
            listener.break_connections()
            try:
                async for _ in batches:
                    pass
            except EngineError as error:
                self.assertTrue(error.sent)
            else:
                self.fail("the stream must not end without an error")

    @with_own_system("run_with_engine")
    async def test_engine_that_restarts_in_a_stream(self, client, core, listener):
        """When an engine restarts in a stream, its error event must not be ignored."""
        async with client.generate(make_request(max_tokens=500)) as batches:
            await batches.__anext__()
            core.restart()
            with testtools.ExpectedException(EngineError, ".*restarted"):
                async for _ in batches:
                    pass

    @with_own_system("run_with_engine")
    async def test_stream_after_a_loss_of_power(self, client, core, listener):
        """Guards against streams that are refused, or wait, on connections to a process
        of the engine that has ended without closing them."""
        await client.status()
        await collect(client, make_request(), count=2)
        for connection in listener.connections:
            connection.buffer_response = lambda data: None
        core.restarts += 1
        core._reset()
        listeners = client._connection_pool._backend.listeners_by_address
        listeners[ADDRESS] = MemoryListener(engine_app(core))
        await client.status()
        await client.load(LoadOrder(HANDLE, "workshop-0", "1", 1))
        with anyio.fail_after(1.0):
            tokens = await collect(client, make_request(request_id="r2"))
        self.assertEqual(6, len(tokens))
        await anyio.sleep(0.1)
        open_channels = [task for task in client._channel_tasks if not task.done()]
        self.assertEqual(1, len(open_channels))

    @with_own_system("run_with_engine")
    async def test_stream_goes_on_beside_a_new_incarnation(
        self, client, core, listener
    ):
        """Guards against a stream of the later process ended with the earlier one's."""
        await client.status()
        async with client.generate(make_request()) as batches:
            first = await anext(batches)
            core.incarnation = "e.1"
            await client.status()
            tokens = [token async for batch in batches for token in batch.tokens]
        self.assertEqual(6, len(first.tokens) + len(tokens))
        await anyio.sleep(0.1)
        self.assertEqual(set(), client._channel_tasks)

    @in_virtual_time
    async def test_events_that_are_not_json(self):
        """Malformed replies, for instance HTML, could end a task of the daemon."""

        async def app(scope, receive, send):
            if scope["path"].startswith("/v1/channels/"):
                await send_response(send, 200, b"data: {\n\n")
            else:
                status = 500 if scope["method"] == "GET" else 200
                await send_response(send, status, b"<html>")

        backend = MemoryBackend()
        backend.listeners_by_address[ADDRESS] = MemoryListener(app)
        client = HttpEngineClient(ADDRESS, backend=backend)
        await self.assert_error(EngineError, collect(client, make_request()))
        await self.assert_error(EngineError, client.status())
        await self.assert_error(EngineError, client.fence(1))
