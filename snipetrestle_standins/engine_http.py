"""ASGI application of a stand-in engine, in the wire format of HttpEngineClient.

``POST /v1/generate`` streams the tokens of one request to a caller that uses an engine
directly; each event is a TokenBatch in JSON.
"""

import anyio
import msgspec

from snipetrestle.engines.http_client import (
    CHANNEL_KEEPALIVE_INTERVAL_S,
    CancelOrder,
    ChannelEvent,
    EngineRefusal,
    FenceOrder,
    RoleOrder,
    StreamFailure,
)
from snipetrestle.engines.protocol import (
    EngineError,
    GenerateRequest,
    LoadOrder,
    UnloadOrder,
)
from snipetrestle_standins.http_answers import run_lifespan, send_response

_encoder = msgspec.json.Encoder()

_ORDER_TYPES = {
    "/v1/load": LoadOrder,
    "/v1/unload": UnloadOrder,
    "/v1/fence": FenceOrder,
    "/v1/role": RoleOrder,
    "/v1/cancel": CancelOrder,
}


CHANNEL_PATH = "/v1/channels/"
EVENT_STREAM = [(b"content-type", b"text/event-stream")]


class _Channel:
    """Multiplexes the streams of one client into one event stream."""

    def __init__(self, engine, task_group):
        self._engine = engine
        self._task_group = task_group
        self._next_event = ChannelEvent([], [])
        self._changed = anyio.Event()
        self._reader_scopes_by_id = {}

    async def start(self, request):
        """Starts or resumes a stream. Raises EngineError."""
        context = self._engine.generate(request)
        batches = await context.__aenter__()
        # Only the latest reader of a resumed stream goes on.
        previous_scope = self._reader_scopes_by_id.get(request.request_id)
        if previous_scope is not None:
            previous_scope.cancel()
        self._task_group.start_soon(self._read, request.request_id, context, batches)

    async def _read(self, request_id, context, batches):
        with anyio.CancelScope() as scope:
            self._reader_scopes_by_id[request_id] = scope
            try:
                async for batch in batches:
                    self._next_event.batches.append(batch)
                    self._changed.set()
            except EngineError as error:
                failure = StreamFailure(request_id, EngineRefusal.from_error(error))
                self._next_event.failures.append(failure)
                self._changed.set()
        if self._reader_scopes_by_id.get(request_id) is scope:
            del self._reader_scopes_by_id[request_id]
        await context.__aexit__(None, None, None)

    async def send(self, send):
        """Sends what has arrived, with all streams of one engine step in one event.

        Sends a comment while there are no events, to keep the connection alive.
        """
        while True:
            with anyio.move_on_after(CHANNEL_KEEPALIVE_INTERVAL_S):
                await self._changed.wait()
            self._changed = anyio.Event()
            event, self._next_event = self._next_event, ChannelEvent([], [])
            data = b": idle\n\n"
            if event.batches or event.failures:
                data = b"data: " + _encoder.encode(event) + b"\n\n"
            await send({"type": "http.response.body", "body": data, "more_body": True})


def engine_app(engine):
    """Returns the ASGI application of a stand-in engine."""
    channels_by_id = {}

    async def serve_channel(path, body, receive, send):
        """Opens a channel, or adds the stream of a request to an open one."""
        channel_id, _, order = path.removeprefix(CHANNEL_PATH).partition("/")
        if order:
            if channel_id not in channels_by_id:
                raise EngineError("no such channel")
            request = msgspec.json.decode(body, type=GenerateRequest)
            await channels_by_id[channel_id].start(request)
            await send_response(send, 200, b"{}")
            return
        async with anyio.create_task_group() as task_group:
            channel = channels_by_id[channel_id] = _Channel(engine, task_group)
            try:
                await send(
                    {
                        "type": "http.response.start",
                        "status": 200,
                        "headers": EVENT_STREAM,
                    }
                )
                task_group.start_soon(
                    _cancel_on_disconnect, receive, task_group.cancel_scope
                )
                await channel.send(send)
            finally:
                del channels_by_id[channel_id]

    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            await run_lifespan(receive, send)
            return
        path = scope["path"]
        body = await read_body(receive)
        try:
            if path == "/v1/generate":
                request = msgspec.json.decode(body, type=GenerateRequest)
                await _generate(engine, request, receive, send)
            elif path.startswith(CHANNEL_PATH):
                await serve_channel(path, body, receive, send)
            elif path in _ORDER_TYPES:
                order = msgspec.json.decode(body, type=_ORDER_TYPES[path])
                result = await _run_order(engine, path, order)
                await send_response(send, 200, _encoder.encode(result))
            elif path.startswith("/v1/kv/"):
                await _serve_kv(engine, scope, body, send)
            elif path == "/v1/status":
                await send_response(send, 200, _encoder.encode(await engine.status()))
            elif path == "/v1/cache_events":
                events = [event async for event in engine.cache_events()]
                await send_response(send, 200, _encoder.encode(events))
            else:
                await send_response(send, 404)
        except EngineError as error:
            await send_response(
                send, 409, _encoder.encode(EngineRefusal.from_error(error))
            )
        except msgspec.DecodeError as error:
            refusal = EngineRefusal("Malformed", str(error))
            await send_response(send, 400, _encoder.encode(refusal))

    return app


async def _run_order(engine, path, order):
    match path:
        case "/v1/load":
            return await engine.load(order)
        case "/v1/unload":
            return await engine.unload(order)
        case "/v1/fence":
            return await engine.fence(order.number)
        case "/v1/role":
            return await engine.change_role(order.role, order.fencing_number)
        case _:
            return await engine.cancel(order.request_id)


async def _serve_kv(engine, scope, body, send):
    request_id = scope["path"].removeprefix("/v1/kv/")
    if scope["method"] == "PUT":
        await engine.import_kv(request_id, body)
        await send_response(send, 200)
    else:
        await send_response(send, 200, await engine.export_kv(request_id))


async def _generate(engine, request, receive, send):
    async with engine.generate(request) as batches:
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": EVENT_STREAM,
            }
        )
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(
                _cancel_on_disconnect, receive, task_group.cancel_scope
            )
            await _send_batches(batches, send)
            task_group.cancel_scope.cancel()


async def _cancel_on_disconnect(receive, scope):
    """Stops the response on a disconnect; the generation goes on and can be resumed."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _send_batches(batches, send):
    try:
        async for batch in batches:
            await _send_event(send, b"data: ", batch)
    except EngineError as error:
        await _send_event(send, b"error: ", EngineRefusal.from_error(error))
    await send({"type": "http.response.body", "body": b""})


async def _send_event(send, start, item):
    event = start + _encoder.encode(item) + b"\n\n"
    await send({"type": "http.response.body", "body": event, "more_body": True})


async def read_body(receive):
    """Returns the whole body of a request."""
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)
