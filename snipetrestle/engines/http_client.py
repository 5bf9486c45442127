"""EngineClient over HTTP.

Orders are ``POST /v1/ORDER`` with a JSON body. ``POST /v1/channels/ID`` opens a channel:
server-sent events that carry the tokens of all streams of this client, each a
ChannelEvent in JSON. ``POST /v1/channels/ID/generate`` starts or resumes a stream on it.
Refusals are JSON objects with ``error``, ``detail`` and ``highest``.

One channel for each engine instead of one connection for each stream lets the tokens of
one engine step arrive together: reading 17,300 tokens per second one by one took more
than a core.
"""

import asyncio
import collections
import contextlib
import random

import msgspec

from snipetrestle.engines.connections import (
    CONNECT_ERRORS,
    NETWORK_ERRORS,
    Connections,
)
from snipetrestle.engines.protocol import (
    CacheEvent,
    EngineError,
    EngineStatus,
    LoadFailed,
    NotResident,
    OldFencingNumber,
    TokenBatch,
)

# An engine that answers nothing for this long has failed.
READ_TIMEOUT_S = 30.0
# A load waits for the weight store; the deadline of its requests ends earlier.
LOAD_TIMEOUT_S = 60.0
# An engine sends at least a comment on a channel at this interval, and a channel that
# is silent for three of them is broken.
CHANNEL_COMMENT_S = 5.0
CHANNEL_TIMEOUT_S = 3 * CHANNEL_COMMENT_S
# Tokens after the first are held for this time for each open stream of the daemon, up
# to the maximum, and passed on together. A lightly loaded daemon passes them at once;
# the maximum stays below the 61 ms between tokens that the design allows.
HOLD_PER_STREAM_S = 0.0002
MAX_HOLD_S = 0.040
WAKES_PER_TURN = 8
CHANNEL_ID_BITS = 96


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


class StreamFailure(msgspec.Struct):
    """An engine's error that ends one stream of a channel."""

    request_id: str
    refusal: EngineRefusal


class ChannelEvent(msgspec.Struct, omit_defaults=True):
    """What one step of an engine adds to the streams of a channel."""

    batches: list[TokenBatch] = []
    failures: list[StreamFailure] = []


_encoder = msgspec.json.Encoder()
_event_decoder = msgspec.json.Decoder(ChannelEvent)
_status_decoder = msgspec.json.Decoder(EngineStatus)
_refusal_decoder = msgspec.json.Decoder(EngineRefusal)
_events_decoder = msgspec.json.Decoder(list[CacheEvent])

_JSON_HEADERS = [(b"content-type", b"application/json")]
_EVENT_START = b"data: "


class StreamPace:
    """How long tokens are held, and in which steps their readers are woken.

    Shared by all engine clients of a daemon. A request in its first steps needs several
    turns of the event loop, so no turn may carry the tokens of hundreds of streams.
    """

    __slots__ = ("open_streams", "_due", "_loop")

    def __init__(self):
        self.open_streams = 0
        self._due = collections.deque()
        self._loop = None

    def hold_s(self):
        return min(MAX_HOLD_S, HOLD_PER_STREAM_S * self.open_streams)

    def wake(self, streams):
        """Wakes the readers of streams, a few at each turn of the event loop."""
        idle = not self._due
        self._due.extend(streams)
        if idle and self._due:
            self._loop = asyncio.get_running_loop()
            self._wake_some()

    def _wake_some(self):
        for _ in range(min(WAKES_PER_TURN, len(self._due))):
            self._due.popleft().wake()
        if self._due:
            self._loop.call_soon(self._wake_some)


class _Stream:
    """One stream of a channel: batches that arrived and whoever waits for them."""

    __slots__ = ("pending", "error", "started", "_waiter")

    def __init__(self):
        self.pending = []
        self.error = None
        self.started = False
        self._waiter = None

    def wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def fail(self, error):
        self.error = self.error or error
        self.wake()

    async def read(self):
        """Yields batches up to the one with a finish reason. Raises EngineError."""
        while True:
            while self.pending:
                for batch in self._take():
                    yield batch
                    if batch.finish_reason is not None:
                        return
            if self.error is not None:
                raise self.error
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def _take(self):
        """Returns the pending batches, those that follow each other as one."""
        batches, self.pending = self.pending, []
        if len(batches) == 1:
            return batches
        merged = [batches[0]]
        for batch in batches[1:]:
            last = merged[-1]
            if (
                last.handle == batch.handle
                and last.finish_reason is None
                and last.first_index + len(last.tokens) == batch.first_index
            ):
                last.tokens += batch.tokens
                last.finish_reason = batch.finish_reason
            else:
                merged.append(batch)
        return merged


class _Channel:
    """The open channel to an engine. ``run`` reads it until it breaks."""

    def __init__(self, connections, pace, generator):
        self.path = f"/v1/channels/{generator.getrandbits(CHANNEL_ID_BITS):x}"
        self.opened = asyncio.get_running_loop().create_future()
        self.error = None
        self._connections = connections
        self._pace = pace
        self._streams_by_id = {}
        # A dictionary keeps the order of arrival, which a set does not.
        self._held = {}
        self._timer = None

    async def run(self):
        error = EngineError("the channel ended")
        try:
            async with self._connections.stream(
                "POST", self.path, read_timeout=CHANNEL_TIMEOUT_S
            ) as response:
                if response.status != 200:
                    raise _refusal(response.status, await response.aread())
                self.opened.set_result(None)
                await self._read(response)
        except NETWORK_ERRORS as caught:
            error = _network_error(caught)
        except EngineError as caught:
            error = caught
        except msgspec.DecodeError as caught:
            error = EngineError(f"the engine sent a malformed event: {caught}")
        finally:
            self._break(error)

    def _break(self, error):
        self.error = error
        if not self.opened.done():
            self.opened.set_exception(error)
            # Nobody may wait for it any more.
            self.opened.exception()
        for stream in self._streams_by_id.values():
            stream.fail(error)
        if self._timer is not None:
            self._timer.cancel()

    async def _read(self, response):
        buffer = b""
        async for chunk in response.aiter_stream():
            *events, buffer = (buffer + chunk).split(b"\n\n")
            for event in events:
                if event.startswith(_EVENT_START):
                    self._take(_event_decoder.decode(event[len(_EVENT_START) :]))

    def _take(self, event):
        hold_s = self._pace.hold_s()
        streams, held = self._streams_by_id, self._held
        for batch in event.batches:
            stream = streams.get(batch.request_id)
            if stream is None:
                # A cancelled stream's tokens still arrive for a moment.
                continue
            stream.pending.append(batch)
            if stream.started and batch.finish_reason is None and hold_s > 0.001:
                held[stream] = None
            else:
                stream.started = True
                held.pop(stream, None)
                stream.wake()
        for failure in event.failures:
            if failure.request_id in streams:
                streams[failure.request_id].fail(failure.refusal.as_error())
        if held and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(hold_s, self._pass_on)

    def _pass_on(self):
        self._timer = None
        held, self._held = self._held, {}
        self._pace.wake(held)

    @contextlib.contextmanager
    def stream(self, request_id):
        """Registers a stream while the context is open."""
        if request_id in self._streams_by_id:
            raise EngineError(f"stream {request_id} is read already")
        if self.error is not None:
            raise self.error
        stream = self._streams_by_id[request_id] = _Stream()
        self._pace.open_streams += 1
        try:
            yield stream
        finally:
            self._pace.open_streams -= 1
            del self._streams_by_id[request_id]
            self._held.pop(stream, None)


class HttpEngineClient:
    """EngineClient of one engine at ``IP:PORT``.

    ``generator`` is a random.Random and names the channels, so two daemons must not
    share its seed. ``backend`` is httpcore's network, for tests. The channel is read by a task of the
    event loop's, since it outlives the requests; ``aclose`` ends it.
    """

    def __init__(self, address, generator=None, pace=None, backend=None):
        self.address = address
        self._generator = generator or random.Random()
        self._pace = pace or StreamPace()
        self._connections = Connections(address, backend)
        self._channel = None
        self._reader = None

    async def aclose(self):
        if self._reader is not None:
            self._reader.cancel()
            await asyncio.wait({self._reader})
        await self._connections.aclose()

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
        channel = await self._open_channel()
        with channel.stream(request.request_id) as stream:
            await self._post(f"{channel.path}/generate", request)
            batches = stream.read()
            try:
                yield batches
            finally:
                await batches.aclose()

    async def _open_channel(self):
        """Returns the open channel; opens one if there is none or it broke."""
        if self._channel is None or self._channel.error is not None:
            self._channel = _Channel(self._connections, self._pace, self._generator)
            self._reader = asyncio.create_task(self._channel.run())
        channel = self._channel
        # The opening serves all streams that wait for it, so none may cancel it.
        await asyncio.shield(channel.opened)
        return channel

    async def _get(self, path):
        return await self._send("GET", path, b"", READ_TIMEOUT_S)

    async def _post(self, path, order, timeout=READ_TIMEOUT_S):
        return await self._send("POST", path, _encoder.encode(order), timeout)

    async def _send(self, method, path, content, timeout):
        try:
            status, _, body = await self._connections.request(
                method, path, _JSON_HEADERS, content, read_timeout=timeout
            )
        except NETWORK_ERRORS as error:
            raise _network_error(error) from None
        if status != 200:
            raise _refusal(status, body)
        return body


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
    return EngineError(repr(error), sent=not isinstance(error, CONNECT_ERRORS))
