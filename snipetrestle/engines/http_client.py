"""EngineClient over HTTP.

Orders are ``POST /v1/ORDER`` with a JSON body. ``POST /v1/generate`` answers with
server-sent events, one TokenBatch in JSON each; an event that carries ``error`` ends the
stream. Refusals are JSON objects with ``error``, ``detail`` and ``highest``.
"""

import contextlib

import httpcore
import msgspec

from snipetrestle.engines.protocol import (
    CacheEvent,
    EngineError,
    EngineStatus,
    LoadFailed,
    NotResident,
    OldFencingNumber,
    TokenBatch,
)

# An engine that sends nothing for this long has failed. It spans a long prefill.
READ_TIMEOUT_S = 30.0
# A load waits for the weight store; the deadline of its requests ends earlier.
LOAD_TIMEOUT_S = 60.0
CONNECT_TIMEOUT_S = 1.0
# One connection for each stream; a replica runs a few hundred at most.
MAX_CONNECTIONS = 1024
KEEPALIVE_S = 60.0

_NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
)
_CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)


class EngineRefusal(msgspec.Struct):
    """Why an engine refused a call or ended a stream."""

    error: str
    detail: str = ""
    highest: int = 0

    @classmethod
    def of(cls, error):
        """Returns the refusal that carries an EngineError."""
        return cls(
            type(error).__name__, str(error), highest=getattr(error, "highest", 0)
        )

    def as_error(self):
        if self.error == "OldFencingNumber":
            return OldFencingNumber(self.highest)
        if self.error == "NotResident":
            return NotResident(self.detail)
        if self.error == "LoadFailed":
            return LoadFailed(self.detail)
        return EngineError(self.detail or self.error)


class CancelOrder(msgspec.Struct, frozen=True):
    """Cancels a stream."""

    request_id: str


class FenceOrder(msgspec.Struct, frozen=True):
    """Raises the fencing number."""

    number: int


class RoleOrder(msgspec.Struct, frozen=True):
    """Changes the role of an engine."""

    role: str
    fencing_number: int


_encoder = msgspec.json.Encoder()
_batch_decoder = msgspec.json.Decoder(TokenBatch)
_status_decoder = msgspec.json.Decoder(EngineStatus)
_refusal_decoder = msgspec.json.Decoder(EngineRefusal)
_events_decoder = msgspec.json.Decoder(list[CacheEvent])

_JSON_HEADERS = [(b"content-type", b"application/json")]
_EVENT_START = b"data: "
_ERROR_START = b"error: "


class HttpEngineClient:
    """EngineClient of one engine at ``IP:PORT``."""

    def __init__(self, address, pool=None):
        self.address = address
        self._origin = address.encode()
        self._base_url = f"http://{address}"
        self._owns_pool = pool is None
        self._pool = pool or httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_S,
        )

    async def aclose(self):
        if self._owns_pool:
            await self._pool.aclose()

    async def status(self):
        return _decode(_status_decoder, await self._get("/v1/status"))

    async def load(self, order):
        await self._post("/v1/load", order, LOAD_TIMEOUT_S)

    async def unload(self, order):
        await self._post("/v1/unload", order)

    async def fence(self, number):
        body = await self._post("/v1/fence", FenceOrder(number))
        return _decode(_status_decoder, body)

    async def change_role(self, role, fencing_number):
        await self._post("/v1/role", RoleOrder(role, fencing_number))

    async def cancel(self, request_id):
        await self._post("/v1/cancel", CancelOrder(request_id))

    async def export_kv(self, request_id):
        return await self._get(f"/v1/kv/{request_id}")

    async def import_kv(self, request_id, data):
        await self._send("PUT", f"/v1/kv/{request_id}", data, READ_TIMEOUT_S)

    async def cache_events(self):
        body = await self._get("/v1/cache_events")
        for event in _decode(_events_decoder, body):
            yield event

    @contextlib.asynccontextmanager
    async def generate(self, request):
        """Yields an async iterator of TokenBatch. Raises EngineError."""
        try:
            async with self._pool.stream(
                "POST",
                f"{self._base_url}/v1/generate",
                headers=_JSON_HEADERS,
                content=_encoder.encode(request),
                extensions={"timeout": _timeouts(READ_TIMEOUT_S)},
            ) as response:
                if response.status != 200:
                    raise _refusal(response.status, await response.aread())
                yield _read_batches(response)
        except _NETWORK_ERRORS as error:
            raise _network_error(error) from None

    async def _get(self, path):
        return await self._send("GET", path, b"", READ_TIMEOUT_S)

    async def _post(self, path, order, timeout=READ_TIMEOUT_S):
        return await self._send("POST", path, _encoder.encode(order), timeout)

    async def _send(self, method, path, content, timeout):
        try:
            response = await self._pool.request(
                method,
                self._base_url + path,
                headers=_JSON_HEADERS,
                content=content,
                extensions={"timeout": _timeouts(timeout)},
            )
        except _NETWORK_ERRORS as error:
            raise _network_error(error) from None
        if response.status != 200:
            raise _refusal(response.status, response.content)
        return response.content


async def _read_batches(response):
    buffer = b""
    try:
        async for chunk in response.aiter_stream():
            *events, buffer = (buffer + chunk).split(b"\n\n")
            for event in events:
                if event.startswith(_EVENT_START):
                    yield _batch_decoder.decode(event[len(_EVENT_START) :])
                elif event.startswith(_ERROR_START):
                    body = event[len(_ERROR_START) :]
                    raise _refusal_decoder.decode(body).as_error()
    except _NETWORK_ERRORS as error:
        raise _network_error(error) from None
    except msgspec.DecodeError as error:
        raise EngineError(f"the engine sent a malformed event: {error}") from None


def _decode(decoder, body):
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise EngineError(f"the engine sent a malformed answer: {error}") from None


def _refusal(status, body):
    try:
        return _refusal_decoder.decode(body).as_error()
    except msgspec.DecodeError:
        return EngineError(f"HTTP status {status}")


def _network_error(error):
    return EngineError(repr(error), sent=not isinstance(error, _CONNECT_ERRORS))


def _timeouts(read_s):
    return {
        "connect": CONNECT_TIMEOUT_S,
        "read": read_s,
        "write": READ_TIMEOUT_S,
        "pool": CONNECT_TIMEOUT_S,
    }
