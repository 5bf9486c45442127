"""ASGI application of a stand-in engine, in the wire format of HttpEngineClient."""

import anyio
import msgspec

from snipetrestle.engines.http_client import (
    CancelOrder,
    EngineRefusal,
    FenceOrder,
    RoleOrder,
)
from snipetrestle.engines.protocol import (
    EngineError,
    GenerateRequest,
    LoadOrder,
    UnloadOrder,
)
from snipetrestle_standins.http_answers import answer, run_lifespan

_encoder = msgspec.json.Encoder()

_ORDER_TYPES = {
    "/v1/load": LoadOrder,
    "/v1/unload": UnloadOrder,
    "/v1/fence": FenceOrder,
    "/v1/role": RoleOrder,
    "/v1/cancel": CancelOrder,
}


def engine_app(core):
    """Returns the ASGI application of an engine core."""

    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            await run_lifespan(receive, send)
            return
        path = scope["path"]
        body = await read_body(receive)
        try:
            if path == "/v1/generate":
                request = msgspec.json.decode(body, type=GenerateRequest)
                await _generate(core, request, receive, send)
            elif path in _ORDER_TYPES:
                order = msgspec.json.decode(body, type=_ORDER_TYPES[path])
                result = await _run_order(core, path, order)
                await answer(send, 200, _encoder.encode(result))
            elif path.startswith("/v1/kv/"):
                await _serve_kv(core, scope, body, send)
            elif path == "/v1/status":
                await answer(send, 200, _encoder.encode(await core.status()))
            elif path == "/v1/cache_events":
                events = [event async for event in core.cache_events()]
                await answer(send, 200, _encoder.encode(events))
            else:
                await answer(send, 404)
        except EngineError as error:
            await answer(send, 409, _encoder.encode(EngineRefusal.of(error)))
        except msgspec.DecodeError as error:
            refusal = EngineRefusal("Malformed", str(error))
            await answer(send, 400, _encoder.encode(refusal))

    return app


async def _run_order(core, path, order):
    match path:
        case "/v1/load":
            return await core.load(order)
        case "/v1/unload":
            return await core.unload(order)
        case "/v1/fence":
            return await core.fence(order.number)
        case "/v1/role":
            return await core.change_role(order.role, order.fencing_number)
        case _:
            return await core.cancel(order.request_id)


async def _serve_kv(core, scope, body, send):
    request_id = scope["path"].removeprefix("/v1/kv/")
    if scope["method"] == "PUT":
        await core.import_kv(request_id, body)
        await answer(send, 200)
    else:
        await answer(send, 200, await core.export_kv(request_id))


async def _generate(core, request, receive, send):
    async with core.generate(request) as batches:
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-type", b"text/event-stream")],
            }
        )
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_on_disconnect, receive, group.cancel_scope)
            await _send_batches(batches, send)
            group.cancel_scope.cancel()


async def _cancel_on_disconnect(receive, scope):
    """Stops the answer; the generation goes on, so that it can be resumed."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _send_batches(batches, send):
    try:
        async for batch in batches:
            await _send_event(send, b"data: ", batch)
    except EngineError as error:
        await _send_event(send, b"error: ", EngineRefusal.of(error))
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
