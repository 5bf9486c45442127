"""Stand-in for a model engine: continuous batching over a few adapter slots.

StandInEngine implements EngineClient in memory. Each token is a hash of the adapter,
the version, the prompt and the token's index, so that tests detect an answer from the
wrong adapter or version.
"""

import contextlib
import random

import anyio
import xxhash

from snipetrestle.engines.protocol import (
    CacheEvent,
    EngineError,
    EngineStatus,
    LoadFailed,
    NotResident,
    OldFencingNumber,
    TokenBatch,
)


def expected_token(adapter, version, prompt, index):
    """Returns the token that an engine generates at ``index`` of an answer."""
    text = f"{adapter}@{version}\0{prompt}\0{index}"
    return f" {xxhash.xxh3_64_intdigest(text.encode()) % 100_000}"


def expected_text(adapter, version, prompt, count):
    """Returns the text of an answer of ``count`` tokens."""
    return "".join(
        expected_token(adapter, version, prompt, index) for index in range(count)
    )


class StepTimes:
    """Cost model of an engine step, in seconds.

    A step takes longer with each sequence and each distinct adapter in the batch, and
    with each prompt token that it prefills.
    """

    __slots__ = ("base_s", "per_sequence_s", "per_adapter_s", "per_prompt_token_s")

    def __init__(
        self,
        base_s=0.012,
        per_sequence_s=0.0004,
        per_adapter_s=0.0012,
        per_prompt_token_s=0.00002,
    ):
        self.base_s = base_s
        self.per_sequence_s = per_sequence_s
        self.per_adapter_s = per_adapter_s
        self.per_prompt_token_s = per_prompt_token_s

    def step_s(self, sequences, adapters, prompt_tokens=0):
        return (
            self.base_s
            + self.per_sequence_s * sequences
            + self.per_adapter_s * adapters
            + self.per_prompt_token_s * prompt_tokens
        )


class _Stream:
    """A generation: its request, the tokens so far and how it ended."""

    __slots__ = (
        "request",
        "adapter",
        "version",
        "tokens",
        "first_index",
        "finish_reason",
        "error",
        "changed",
        "prefilled",
        "arrival_number",
    )

    def __init__(self, request, arrival_number):
        self.request = request
        self.adapter, _, rest = request.handle.partition("@")
        self.version = rest.partition("#")[0]
        self.first_index = len(request.forced_tokens)
        self.tokens = []
        self.finish_reason = None
        self.error = None
        self.changed = anyio.Event()
        self.prefilled = False
        self.arrival_number = arrival_number

    @property
    def next_index(self):
        return self.first_index + len(self.tokens)

    @property
    def ended(self):
        return self.finish_reason is not None or self.error is not None

    def notify(self):
        self.changed.set()
        self.changed = anyio.Event()


class StandInEngine:
    """One engine. ``run`` executes its steps and must run in a task of its own.

    ``in_use_evictions`` lists the adapters that were unloaded while streams used them,
    ``refused_orders`` counts orders with an old fencing number, and the next
    ``loads_to_fail`` loads fail. ``event_loss`` is the fraction of cache events that
    are lost.
    """

    # Ended streams stay available for a resume until there are more streams than this.
    MAX_KEPT_STREAMS = 512
    # Cost of one export or import of KV cache, per call and per token. The cache of a
    # token has about 100 kB and moves at about 50 GB/s; to prefill the token costs ten
    # times that.
    KV_MOVE_CALL_S = 0.004
    KV_MOVE_TOKEN_S = 0.000002

    def __init__(
        self,
        name,
        store,
        *,
        adapter_slots=8,
        max_batch=16,
        speed=1.0,
        checks_fencing_numbers=False,
        step_times=None,
        prefix_entries=64,
        report_lag_s=0.0,
        event_loss=0.0,
        seed=0,
    ):
        self.name = name
        self.store = store
        self.adapter_slots = adapter_slots
        self.max_batch = max_batch
        self.speed = speed
        self.checks_fencing_numbers = checks_fencing_numbers
        self.step_times = step_times or StepTimes()
        self.prefix_entries = prefix_entries
        self.report_lag_s = report_lag_s
        self.event_loss = event_loss
        self.random = random.Random(f"{seed}:{name}")
        self.loads_to_fail = 0
        self.role = "decode"
        self.restarts = 0
        self.tokens_generated = 0
        self.busy_s = 0.0
        self.loads_by_handle = {}
        self.in_use_evictions = []
        self.refused_orders = 0
        self._wake = anyio.Event()
        self._reset()

    def _reset(self):
        self.incarnation = f"{self.name}.{self.restarts}"
        self.fencing_number = 0
        self._resident = set()
        self._loading = set()
        self._streams_by_id = {}
        self._arrival_count = 0
        self._cached_tokens_by_prefix = {}
        self._imported_kv_tokens = {}
        self._events = []
        self._event_sequence = 0

    def restart(self):
        """Restarts the engine without adapters; streams in progress fail."""
        for stream in self._streams_by_id.values():
            if not stream.ended:
                stream.error = EngineError("the engine restarted")
                stream.notify()
        self.restarts += 1
        self._reset()

    async def run(self):
        while True:
            batch = self._choose_batch()
            if not batch:
                await self._wait_for_work()
                continue
            incarnation = self.incarnation
            duration = self._step_duration(batch)
            await anyio.sleep(duration)
            self.busy_s += duration
            if incarnation == self.incarnation:
                self._emit(batch)

    async def _wait_for_work(self):
        self._wake = anyio.Event()
        await self._wake.wait()

    def _choose_batch(self):
        running = [
            stream for stream in self._streams_by_id.values() if not stream.ended
        ]
        running.sort(
            key=lambda stream: (stream.request.priority, stream.arrival_number)
        )
        return running[: self.max_batch]

    def _step_duration(self, batch):
        """Returns the seconds of a step and marks its streams as prefilled."""
        prompt_tokens = 0
        for stream in batch:
            if not stream.prefilled:
                prompt_tokens += self._prefill_tokens(stream)
                stream.prefilled = True
        adapters = len({stream.request.handle for stream in batch})
        times = self.step_times
        return times.step_s(len(batch), adapters, prompt_tokens) / self.speed

    def _prefill_tokens(self, stream):
        """Returns how many tokens must be prefilled, after imported or cached ones."""
        request = stream.request
        tokens = request.prompt_tokens + len(request.forced_tokens)
        imported = self._imported_kv_tokens.pop(request.request_id, 0)
        if imported:
            return max(1, tokens - imported)
        if not request.prefix:
            return tokens
        key = (request.handle, request.prefix)
        cached = self._cached_tokens_by_prefix.pop(key, 0)
        self._cached_tokens_by_prefix[key] = request.prompt_tokens
        if not cached:
            self._publish_event("stored", *key)
        while len(self._cached_tokens_by_prefix) > self.prefix_entries:
            oldest = next(iter(self._cached_tokens_by_prefix))
            del self._cached_tokens_by_prefix[oldest]
            self._publish_event("removed", *oldest)
        return max(1, tokens - cached)

    def _publish_event(self, kind, handle, prefix):
        self._event_sequence += 1
        if self.random.random() >= self.event_loss:
            self._events.append(CacheEvent(self._event_sequence, kind, handle, prefix))

    def _emit(self, batch):
        """Appends one token to each stream of a batch that has not ended."""
        for stream in batch:
            if stream.ended:
                continue
            index = stream.next_index
            stream.tokens.append(
                expected_token(
                    stream.adapter, stream.version, stream.request.prompt, index
                )
            )
            self.tokens_generated += 1
            if index + 1 >= stream.request.max_tokens:
                stream.finish_reason = "length"
            stream.notify()
        self._forget_old_streams()

    def _forget_old_streams(self):
        excess = len(self._streams_by_id) - self.MAX_KEPT_STREAMS
        if excess > 0:
            ended = [key for key, stream in self._streams_by_id.items() if stream.ended]
            for key in ended[:excess]:
                del self._streams_by_id[key]

    def _check_fencing_number(self, number):
        if not self.checks_fencing_numbers:
            return
        if number < self.fencing_number:
            self.refused_orders += 1
            raise OldFencingNumber(self.fencing_number)
        self.fencing_number = number

    def _running_count(self, handle):
        return sum(
            1
            for stream in self._streams_by_id.values()
            if not stream.ended and stream.request.handle == handle
        )

    async def status(self):
        running = [
            stream for stream in self._streams_by_id.values() if not stream.ended
        ]
        return EngineStatus(
            incarnation=self.incarnation,
            fencing_number=self.fencing_number,
            adapter_slots=self.adapter_slots,
            in_use_by_handle={
                handle: self._running_count(handle) for handle in sorted(self._resident)
            },
            running=min(len(running), self.max_batch),
            waiting=max(0, len(running) - self.max_batch),
            role=self.role,
        )

    async def fence(self, number):
        self._check_fencing_number(number)
        self.fencing_number = max(self.fencing_number, number)
        return await self.status()

    async def load(self, order):
        self._check_fencing_number(order.fencing_number)
        if order.handle in self._resident:
            return
        if len(self._resident) + len(self._loading) >= self.adapter_slots:
            raise LoadFailed("no free adapter slot")
        incarnation = self.incarnation
        self._loading.add(order.handle)
        try:
            await self.store.load()
        finally:
            self._loading.discard(order.handle)
        if incarnation != self.incarnation:
            raise LoadFailed("the engine restarted")
        if self.loads_to_fail > 0:
            self.loads_to_fail -= 1
            raise LoadFailed("the load failed")
        self._resident.add(order.handle)
        self.loads_by_handle[order.handle] = (
            self.loads_by_handle.get(order.handle, 0) + 1
        )

    async def unload(self, order):
        self._check_fencing_number(order.fencing_number)
        if order.handle not in self._resident:
            return
        if self._running_count(order.handle):
            self.in_use_evictions.append(order.handle)
            for stream in self._streams_by_id.values():
                if stream.request.handle == order.handle and not stream.ended:
                    stream.error = EngineError("the adapter was unloaded")
                    stream.notify()
        self._resident.discard(order.handle)

    async def change_role(self, role, fencing_number):
        self._check_fencing_number(fencing_number)
        self.role = role

    @contextlib.asynccontextmanager
    async def generate(self, request):
        stream = self._streams_by_id.get(request.request_id)
        # A cancelled stream cannot be resumed; its request starts a new one.
        if (
            stream is None
            or stream.request.handle != request.handle
            or stream.finish_reason == "cancelled"
        ):
            if request.next_index > len(request.forced_tokens):
                raise EngineError("no such stream to resume")
            stream = self._start(request)
        yield self._read(stream, request.next_index)

    def _start(self, request):
        self._check_fencing_number(request.fencing_number)
        if request.handle not in self._resident:
            raise NotResident(f"{request.handle} is not resident")
        self._arrival_count += 1
        stream = _Stream(request, self._arrival_count)
        self._streams_by_id[request.request_id] = stream
        self._wake.set()
        return stream

    async def _read(self, stream, next_index):
        position = max(0, next_index - stream.first_index)
        while True:
            changed = stream.changed
            # The finish reason is sent even without tokens, because a reader of a
            # shared channel has no other sign that the stream has ended.
            if position < len(stream.tokens) or stream.finish_reason is not None:
                tokens = tuple(stream.tokens[position:])
                finish_reason = stream.finish_reason
                first_index = stream.first_index + position
                position += len(tokens)
                yield TokenBatch(
                    request_id=stream.request.request_id,
                    handle=stream.request.handle,
                    first_index=first_index,
                    tokens=tokens,
                    finish_reason=finish_reason,
                )
                if finish_reason is not None:
                    return
            elif stream.error is not None:
                raise stream.error
            else:
                await changed.wait()

    async def cancel(self, request_id):
        stream = self._streams_by_id.get(request_id)
        if stream is not None and not stream.ended:
            stream.finish_reason = "cancelled"
            stream.notify()

    def kv_move_s(self, tokens):
        """Returns the seconds that one export or import of a KV cache takes."""
        return self.KV_MOVE_CALL_S + tokens * self.KV_MOVE_TOKEN_S

    async def export_kv(self, request_id):
        stream = self._streams_by_id.get(request_id)
        if stream is None:
            raise EngineError("no such stream to export")
        size = stream.request.prompt_tokens + stream.next_index
        await anyio.sleep(self.kv_move_s(size))
        return f"{request_id}:{size}".encode()

    async def import_kv(self, request_id, data):
        key, _, size = data.decode().rpartition(":")
        if key != request_id or not size.isdigit():
            raise EngineError("the KV cache belongs to another stream")
        await anyio.sleep(self.kv_move_s(int(size)))
        self._imported_kv_tokens[request_id] = int(size)
        if len(self._imported_kv_tokens) > self.MAX_KEPT_STREAMS:
            del self._imported_kv_tokens[next(iter(self._imported_kv_tokens))]

    async def cache_events(self):
        while self._events:
            yield self._events.pop(0)
