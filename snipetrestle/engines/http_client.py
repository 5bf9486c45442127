"""EngineClient over HTTP.

Orders are sent as ``POST /v1/ORDER`` with a JSON body. ``POST /v1/channels/ID`` opens a
channel: server-sent events that carry the tokens of all streams of this client. The
data of each event is a ChannelEvent in JSON. ``POST /v1/channels/ID/generate`` starts
or resumes a stream on the channel. Refusals are JSON objects with ``error``, ``detail``
and ``highest``.

There is one channel for each engine instead of one connection for each stream, so that
the tokens of one engine step arrive together: reading 17,300 tokens per second one by
one took more than one CPU core.
"""

import asyncio
import collections
import contextlib
import random

import msgspec

from snipetrestle import decoding
from snipetrestle.engines.protocol import (
    CacheEvent,
    EngineError,
    EngineStatus,
    LoadFailed,
    NotResident,
    OldFencingNumber,
    TokenBatch,
)
from snipetrestle.http_connections import (
    CONNECT_ERRORS,
    MAX_ANSWER_BYTES,
    NETWORK_ERRORS,
    ConnectionPool,
)

# An engine that has not answered an order after this time counts as failed.
READ_TIMEOUT_S = 30.0
# A load includes the read from the weight store. The deadlines of the requests that
# wait for it are shorter.
LOAD_TIMEOUT_S = 60.0
# A transfer of KV cache may be long and sound.
KV_TIMEOUT_S = 120.0
# An engine sends at least a server-sent-event comment, followed by a blank line, on each
# channel at this interval. A channel without an event or comment for three intervals
# counts as broken; bytes of an incomplete one are no progress.
CHANNEL_KEEPALIVE_INTERVAL_S = 5.0
CHANNEL_TIMEOUT_S = 3 * CHANNEL_KEEPALIVE_INTERVAL_S
# Tokens after a stream's first batch are delayed and delivered together. The delay is
# this time for each open stream of the daemon, up to the maximum, so a lightly loaded
# daemon delivers tokens at once. The maximum stays below the 61 ms between tokens that
# the design allows.
COALESCE_DELAY_PER_STREAM_S = 0.0002
MAX_COALESCE_DELAY_S = 0.040
MAX_WAKES_PER_LOOP_ITERATION = 8
CHANNEL_ID_BITS = 96
MAX_EVENT_BYTES = 1024 * 1024
MAX_KV_BYTES = 1024 * 1024 * 1024


class EngineRefusal(msgspec.Struct):
    """Error body of an engine that refused a call or ended a stream.

    ``highest`` is the highest fencing number that the engine has seen.
    """

    error: str
    detail: str = ""
    highest: int = 0

    @classmethod
    def from_error(cls, error):
        """Returns the refusal that represents an EngineError."""
        return cls(
            type(error).__name__, str(error), highest=getattr(error, "highest", 0)
        )

    def to_error(self):
        """Returns the EngineError that the refusal represents."""
        if self.error == "OldFencingNumber":
            return OldFencingNumber(self.highest)
        if self.error == "NotResident":
            return NotResident(self.detail)
        if self.error == "LoadFailed":
            return LoadFailed(self.detail)
        return EngineError(self.detail or self.error)


class CancelOrder(msgspec.Struct, frozen=True):
    """Order to cancel a stream."""

    request_id: str


class FenceOrder(msgspec.Struct, frozen=True):
    """Order to raise the fencing number."""

    number: int


class RoleOrder(msgspec.Struct, frozen=True):
    """Order to change the role of an engine."""

    role: str
    fencing_number: int


class StreamFailure(msgspec.Struct):
    """Error of an engine that ends one stream of a channel."""

    request_id: str
    refusal: EngineRefusal


class ChannelEvent(msgspec.Struct, omit_defaults=True):
    """Tokens and failures that one engine step adds to the streams of a channel."""

    batches: list[TokenBatch] = []
    failures: list[StreamFailure] = []


_encoder = msgspec.json.Encoder()
_event_decoder = msgspec.json.Decoder(ChannelEvent)
_status_decoder = msgspec.json.Decoder(EngineStatus)
_refusal_decoder = msgspec.json.Decoder(EngineRefusal)
_events_decoder = msgspec.json.Decoder(list[CacheEvent])

_JSON_HEADERS = [(b"content-type", b"application/json")]
_EVENT_START = b"data: "
_EVENT_END = b"\n\n"


class StreamWakeScheduler:
    """Chooses the time to coalesce tokens, and wakes the readers of streams in groups.

    All engine clients of a daemon share one. A new request needs several iterations of
    the event loop before it is sent, so no iteration may deliver the tokens of hundreds
    of streams.
    """

    __slots__ = ("open_streams", "_streams_to_wake", "_loop")

    def __init__(self):
        self.open_streams = 0
        self._streams_to_wake = collections.deque()
        self._loop = None

    def coalesce_delay_s(self):
        """Returns the current delay of tokens in seconds."""
        return min(
            MAX_COALESCE_DELAY_S, COALESCE_DELAY_PER_STREAM_S * self.open_streams
        )

    def wake(self, streams):
        """Wakes the readers of streams, a few in each iteration of the event loop."""
        was_idle = not self._streams_to_wake
        self._streams_to_wake.extend(streams)
        if was_idle and self._streams_to_wake:
            self._loop = asyncio.get_running_loop()
            self._wake_next_group()

    def _wake_next_group(self):
        for _ in range(min(MAX_WAKES_PER_LOOP_ITERATION, len(self._streams_to_wake))):
            self._streams_to_wake.popleft().wake()
        if self._streams_to_wake:
            self._loop.call_soon(self._wake_next_group)


class _Stream:
    """One stream of a channel: the batches that arrived, and the reader that waits."""

    __slots__ = ("pending_batches", "error", "started", "_waiter")

    def __init__(self):
        self.pending_batches = []
        self.error = None
        # Whether the first batch has been delivered; later ones may be coalesced.
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
            while self.pending_batches:
                for batch in self._take_pending():
                    yield batch
                    if batch.finish_reason is not None:
                        return
            if self.error is not None:
                raise self.error
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def _take_pending(self):
        """Returns the pending batches, with consecutive ones merged."""
        batches, self.pending_batches = self.pending_batches, []
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
    """A channel to an engine. ``run`` opens and reads it until it fails."""

    def __init__(self, connection_pool, wake_scheduler, rng):
        self.path = f"/v1/channels/{rng.getrandbits(CHANNEL_ID_BITS):x}"
        self.opened = asyncio.get_running_loop().create_future()
        self.error = None
        self._task = None
        self._is_retired = False
        self._connection_pool = connection_pool
        self._wake_scheduler = wake_scheduler
        self._streams_by_id = {}
        # Streams whose tokens are delayed. A dictionary keeps the order of arrival,
        # which a set does not.
        self._delayed_streams = {}
        self._delivery_timer = None

    def start(self):
        """Starts the task that runs the channel, and returns it."""
        self._task = asyncio.create_task(self.run())
        return self._task

    def retire(self):
        """Ends the channel after its streams; it gets no new ones."""
        self._is_retired = True
        self._end_if_unused()

    def _end_if_unused(self):
        if self._is_retired and self.opened.done() and not self._streams_by_id:
            self._task.cancel()

    async def run(self):
        error = EngineError("the channel ended")
        try:
            async with self._connection_pool.stream(
                "POST", self.path, timeout=CHANNEL_TIMEOUT_S
            ) as response:
                if response.status != 200:
                    body = await response.read_body(MAX_ANSWER_BYTES)
                    raise _refusal(response.status, body)
                self.opened.set_result(None)
                self._end_if_unused()
                await self._read_events(response)
        except NETWORK_ERRORS as exception:
            error = _network_error(exception)
        except EngineError as exception:
            error = exception
        except msgspec.DecodeError as exception:
            error = EngineError(f"the engine sent a malformed event: {exception}")
        finally:
            self._fail(error)

    def _fail(self, error):
        self.error = error
        if not self.opened.done():
            self.opened.set_exception(error)
            # Retrieves the exception, since no task may be waiting for it any more.
            self.opened.exception()
        for stream in self._streams_by_id.values():
            stream.fail(error)
        if self._delivery_timer is not None:
            self._delivery_timer.cancel()

    async def _read_events(self, response):
        async for events in response.iterate_messages(
            _EVENT_END, MAX_EVENT_BYTES, CHANNEL_TIMEOUT_S
        ):
            for event in events:
                if event.startswith(_EVENT_START):
                    self._handle_event(
                        decoding.decode(_event_decoder, event[len(_EVENT_START) :])
                    )

    def _handle_event(self, event):
        coalesce_delay_s = self._wake_scheduler.coalesce_delay_s()
        streams, delayed_streams = self._streams_by_id, self._delayed_streams
        for batch in event.batches:
            stream = streams.get(batch.request_id)
            if stream is None:
                # Tokens of a cancelled stream still arrive for a moment.
                continue
            stream.pending_batches.append(batch)
            if (
                stream.started
                and batch.finish_reason is None
                and coalesce_delay_s > 0.001
            ):
                delayed_streams[stream] = None
            else:
                stream.started = True
                delayed_streams.pop(stream, None)
                stream.wake()
        for failure in event.failures:
            if failure.request_id in streams:
                streams[failure.request_id].fail(failure.refusal.to_error())
        if delayed_streams and self._delivery_timer is None:
            loop = asyncio.get_running_loop()
            self._delivery_timer = loop.call_later(
                coalesce_delay_s, self._deliver_delayed
            )

    def _deliver_delayed(self):
        self._delivery_timer = None
        delayed_streams, self._delayed_streams = self._delayed_streams, {}
        self._wake_scheduler.wake(delayed_streams)

    @contextlib.contextmanager
    def stream(self, request_id):
        """Registers a stream while the context is open."""
        if request_id in self._streams_by_id:
            raise EngineError(f"stream {request_id} is already being read")
        if self.error is not None:
            raise self.error
        stream = self._streams_by_id[request_id] = _Stream()
        self._wake_scheduler.open_streams += 1
        try:
            yield stream
        finally:
            self._wake_scheduler.open_streams -= 1
            del self._streams_by_id[request_id]
            self._delayed_streams.pop(stream, None)
            self._end_if_unused()


class HttpEngineClient:
    """EngineClient of one engine at ``IP:PORT``.

    ``rng`` is a random.Random that generates the ids of channels, so two daemons must
    not share its seed. ``backend`` is the httpcore network backend; tests pass one that
    works in memory. ``connections`` are the ServerConnections of the process, and
    ``answer_memory`` its AnswerMemory. The channel outlives single requests, so an
    asyncio task of its own reads it; ``aclose`` ends that task.
    """

    def __init__(
        self,
        address,
        rng=None,
        wake_scheduler=None,
        backend=None,
        connections=None,
        answer_memory=None,
    ):
        self.address = address
        self._rng = rng or random.Random()
        self._wake_scheduler = wake_scheduler or StreamWakeScheduler()
        # The requests of many callers share a channel, so calls of engines are few.
        self._connection_pool = ConnectionPool(
            f"http://{address}",
            backend,
            connections=connections,
            essential=True,
            answer_memory=answer_memory,
        )
        self._channel = None
        self._channel_tasks = set()
        self._incarnation = None

    async def aclose(self):
        for task in self._channel_tasks:
            task.cancel()
        if self._channel_tasks:
            await asyncio.wait(self._channel_tasks)
        await self._connection_pool.aclose()

    async def status(self):
        status = _decode(_status_decoder, await self._get("/v1/status"))
        if self._incarnation not in (None, status.incarnation):
            await self._leave_connections()
        self._incarnation = status.incarnation
        return status

    async def _leave_connections(self):
        """Opens new connections for new calls, as the engine has restarted.

        Its earlier process may have ended without closing them. Streams on the channel
        go on, since it may have been opened by the later one.
        """
        if self._channel is not None:
            self._channel.retire()
            self._channel = None
        while self._connection_pool.has_idle:
            await self._connection_pool.close_idle()

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
        return await self._send(
            "GET", f"/v1/kv/{request_id}", b"", KV_TIMEOUT_S, max_bytes=MAX_KV_BYTES
        )

    async def import_kv(self, request_id, data):
        await self._send("PUT", f"/v1/kv/{request_id}", data, KV_TIMEOUT_S)

    async def cache_events(self):
        body = await self._get("/v1/cache_events")
        for event in _decode(_events_decoder, body):
            yield event

    @contextlib.asynccontextmanager
    async def generate(self, request):
        """Yields an async iterator of TokenBatch. It and the call raise EngineError."""
        channel = await self._open_channel()
        with channel.stream(request.request_id) as stream:
            # Tokens carry the id of their request, so a connection may be reused.
            await self._post(f"{channel.path}/generate", request, reuse=True)
            batches = stream.read()
            try:
                yield batches
            finally:
                await batches.aclose()

    async def _open_channel(self):
        """Returns the open channel; opens one if there is none or it has failed."""
        channel = None
        # It may be retired while it is opened.
        while channel is None or channel is not self._channel:
            if self._channel is None or self._channel.error is not None:
                self._start_channel()
            channel = self._channel
            # All new streams wait for the same opening, so cancelling one must not
            # cancel it.
            await asyncio.shield(channel.opened)
        return channel

    def _start_channel(self):
        self._channel = _Channel(self._connection_pool, self._wake_scheduler, self._rng)
        task = self._channel.start()
        self._channel_tasks.add(task)
        task.add_done_callback(self._channel_tasks.discard)

    async def _get(self, path):
        return await self._send("GET", path, b"", READ_TIMEOUT_S)

    async def _post(self, path, order, timeout=None, **options):
        content = _encoder.encode(order)
        return await self._send(
            "POST", path, content, timeout or READ_TIMEOUT_S, **options
        )

    async def _send(self, method, path, content, timeout, **options):
        try:
            status, _, body = await self._connection_pool.request(
                method, path, _JSON_HEADERS, content, timeout=timeout, **options
            )
        except NETWORK_ERRORS as error:
            raise _network_error(error) from None
        if status != 200:
            raise _refusal(status, body)
        return body


def _decode(decoder, body):
    try:
        return decoding.decode(decoder, body)
    except msgspec.DecodeError as error:
        raise EngineError(f"the engine sent a malformed answer: {error}") from None


def _refusal(status, body):
    try:
        return decoding.decode(_refusal_decoder, body).to_error()
    except msgspec.DecodeError:
        return EngineError(f"HTTP status {status}")


def _network_error(error):
    return EngineError(repr(error), sent=not isinstance(error, CONNECT_ERRORS))
