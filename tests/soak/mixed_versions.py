"""A soak in which replicas of several software versions run at the same time.

Replicas are replaced by ones of other versions while hosts, links and replicas fail.
Callers whose stream breaks off take it up again, mostly at other hosts. Run it by hand
with ``python -m tests.soak --mixed-versions --seeds 10``, or ``--seed 7 --logs FOLDER``.
"""

import asyncio
import collections
import contextlib
import sys

from snipetrestle_standins.gateway_fleet import MODEL, MODELS_BACKEND, Caller
from snipetrestle_standins.platform_replica import PlatformReplica
from tests.soak.oracle import SentRequest
from tests.soak.proxy import LinkFault
from tests.soak.soak import MODEL_REPLICA_COUNT, Soak

ROUTE = "draft"
# A stream takes about half a second, as long as many faults.
EVENT_INTERVAL_S = 0.08
USUAL_EVENT_INTERVAL_S = 0.005
SLOTS = 8
# The model itself, and two adapters that the leader places.
ADAPTERS = ("", "a1", "a2")
# A caller's time for a stream with all its attempts.
STREAM_DEADLINE_S = 4.0
MAX_ATTEMPTS = 4
# A caller gives a connection up that brings nothing for so long.
EVENT_PATIENCE_S = 1.0
# A caller whose stream did not begin sends the next one after this time.
PAUSE_S = 0.2
# Part of the attempts whose connection the caller loses by itself.
LOST_CONNECTION_FRACTION = 0.4
# Time until a replica that has crashed listens and is listed again. It is longer than
# hosts take to read that it has gone.
RESTART_S = (0.2, 0.6)
MODEL_LOAD_S = 0.2
# Outcomes of a request that takes a stream up: further events, status 503, another
# status, an answer that broke off before an event, and no answer.
WENT_ON = "went on"
REFUSED = "refused with 503"
FAILED = "failed with another status"
BROKEN = "broke off at once"
UNANSWERED = "unanswered"
OUTCOMES = (WENT_ON, REFUSED, FAILED, BROKEN, UNANSWERED)
# How long a fault waits for the next first event of a stream.
FIRST_EVENT_TIMEOUT_S = 2.0


class LeavingCaller(Caller):
    """A caller that keeps the events of a stream that breaks off.

    It calls ``on_event`` for each of them and leaves after ``max_events``.
    """

    def __init__(self, address, max_events, on_event):
        super().__init__(address)
        self._max_events = max_events
        self._on_event = on_event

    async def _read_chunks(self):
        body = b""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while body.count(b"\n\n") < self._max_events:
                async with asyncio.timeout(EVENT_PATIENCE_S):
                    length = int(await self.reader.readline() or b"x", 16)
                    content = await self.reader.readexactly(length + 2)
                if not length:
                    return body, True
                body += content[:-2]
                self._on_event()
        return body, False


class CallerStream:
    """A stream as its caller sees it, over all ``attempts``, which are SentRequests."""

    def __init__(self, number, adapter, deadline):
        self.path = f"/{ROUTE}/{number}"
        self.adapter = adapter
        self.deadline = deadline
        self.attempts = []

    @property
    def is_whole(self):
        answer = self.attempts[-1].answer if self.attempts else None
        return answer is not None and answer.status == 200 and answer.complete

    @property
    def begun_by(self):
        """The attempt that brought the first event, or None."""
        return next((sent for sent in self.attempts if _event_ids(sent)), None)

    @property
    def last_event_id(self):
        """The last event that the caller has, or 0."""
        return max(
            (max(_event_ids(sent), default=0) for sent in self.attempts), default=0
        )

    def headers(self, request_id, now):
        """Returns the headers of the next attempt."""
        time_left_ms = max(1, int((self.deadline - now) * 1000))
        headers = [("X-Request-Id", request_id), ("X-Deadline-Ms", str(time_left_ms))]
        if self.begun_by is not None:
            headers.append(("Last-Event-Id", str(self.last_event_id)))
            headers.append(("Resumes", self.begun_by.id))
        return headers


def _event_ids(sent):
    """Returns the ids of the events that an attempt brought."""
    return [] if sent.answer is None else sent.answer.event_ids


class MixedVersions(Soak):
    """One seeded run. ``take_ups`` counts requests that took a stream up, by outcome.

    ``take_ups_while_mixed`` counts those that were sent while replicas of several
    versions were listed.
    """

    def __init__(self, seed, seconds, folder):
        super().__init__(seed, seconds, folder)
        self._stack = None
        self._newest_version = 1
        self._replica_count = MODEL_REPLICA_COUNT
        # Replicas that have been replaced, and ids of those that leave or are down.
        self._left_replicas = []
        self._busy_ids = set()
        # Set by a fault that waits for the host of the next first event.
        self._host_of_first_event = None
        self.streams = []
        self.take_ups = collections.Counter()
        self.take_ups_while_mixed = 0
        for replica in self._model_replicas:
            _prepare(replica)

    @property
    def _model_replicas(self):
        return [item for item in self._replicas if item.backend == MODELS_BACKEND]

    async def _start(self, stack):
        self._stack = stack
        await super()._start(stack)

    # Callers

    async def _run_caller(self, host):
        """Opens one stream after the other, each first at ``host``."""
        while True:
            await asyncio.sleep(self._random.uniform(0.01, 0.1))
            if not host.is_running:
                continue
            stream = await self._run_stream(host)
            if stream.begun_by is None:
                await asyncio.sleep(PAUSE_S)

    async def _run_stream(self, host):
        """Sends a request for a stream, and takes the stream up when it breaks off.

        Returns the CallerStream.
        """
        self._request_count += 1
        stream = CallerStream(
            self._request_count,
            self._random.choice(ADAPTERS),
            self._now() + STREAM_DEADLINE_S,
        )
        self.streams.append(stream)
        for _ in range(MAX_ATTEMPTS):
            await self._send_attempt(stream, host)
            if stream.is_whole or not stream.begun_by or self._now() > stream.deadline:
                break
            host = self._choose_next_host(host)
        return stream

    def _choose_next_host(self, last_host):
        """Returns any host, mostly another one than the last."""
        others = [item for item in self._hosts if item is not last_host]
        running = [item for item in others if item.is_running]
        return self._random.choice([*(running or others), last_host])

    async def _send_attempt(self, stream, host):
        self._request_count += 1
        sent = SentRequest(
            f"{self._seed}-{self._request_count}",
            ROUTE,
            host.name,
            None,
            self._now(),
            stream.last_event_id,
        )
        headers = stream.headers(sent.id, sent.sent_at)
        if stream.begun_by is not None:
            self.take_ups_while_mixed += self._is_mixed()
        self.oracle.record_request(sent)
        answer = None
        try:
            async with asyncio.timeout(stream.deadline - sent.sent_at):
                answer = await self._send(stream, host, headers)
        except (TimeoutError, OSError):
            pass
        finally:
            self.oracle.record_answer(sent, answer, self._now())
            if stream.begun_by is not None:
                self.take_ups[_outcome(sent)] += 1
            stream.attempts.append(sent)

    async def _send(self, stream, host, headers):
        """Returns the Response; the caller leaves early in some attempts."""
        max_events = sys.maxsize
        if self._random.random() < LOST_CONNECTION_FRACTION:
            max_events = self._random.choice((1, 1, 2, 3, 4))

        def note_event():
            self._note_event(host)

        async with LeavingCaller(
            host.callers_address, max_events, note_event
        ) as caller:
            return await caller.send_request(
                stream.path, adapter=stream.adapter, headers=headers
            )

    def _note_event(self, host):
        waiter = self._host_of_first_event
        if waiter is not None and not waiter.done():
            waiter.set_result(host)

    def _is_mixed(self):
        return len({item.software_version for item in self._model_replicas}) > 1

    # Faults

    async def _inject_faults(self, group):
        fault_kinds = (
            self._kill_host,
            self._kill_host_at_event,
            self._kill_all_hosts,
            self._pause_host,
            *[self._reset_replica_link] * 4,
            *[self._crash_replica] * 3,
            self._reset_store_link,
            self._clear_store_history,
        )
        deadline = self._now() + self._seconds
        tasks = [group.create_task(self._replace_in_series(deadline))]
        while self._now() < deadline:
            fault = self._random.choice(fault_kinds)
            self.faults.append(
                (round(self._seconds - deadline + self._now(), 2), fault)
            )
            tasks.append(group.create_task(self._run_fault(fault)))
            await asyncio.sleep(self._random.uniform(0.1, 1.0))
        await asyncio.gather(*tasks)

    async def _replace_in_series(self, deadline):
        """Replaces all replicas by ones of a newer version, again and again."""
        while self._now() < deadline:
            self._newest_version += 1
            for replica in self._model_replicas:
                if replica.id not in self._busy_ids:
                    await self._replace(replica, f"v{self._newest_version}")
            await asyncio.sleep(self._random.uniform(0.0, 0.5))

    async def _replace(self, replica, version):
        """Starts a replica of a version; the old one drains, goes on and leaves."""
        self._busy_ids.add(replica.id)
        await self._start_replica(version)
        await asyncio.sleep(self._random.uniform(0.1, 0.5))
        replica.leaving = True
        self._publish(replica, state="draining")
        await asyncio.sleep(self._random.uniform(0.05, 0.6))
        self._replicas.remove(replica)
        self._left_replicas.append(replica)
        del self._replica_links_by_id[replica.id]
        self._store.delete(f"servers/{replica.id}")
        await replica.stop()

    async def _start_replica(self, version):
        replica = PlatformReplica(f"model-{self._replica_count}", MODELS_BACKEND, MODEL)
        self._replica_count += 1
        _prepare(replica)
        replica.software_version = version
        await replica.start()
        self._stack.push_async_callback(replica.stop)
        self._replica_links_by_id[replica.id] = await self._start_proxy(
            self._stack, replica.port
        )
        self._replicas.append(replica)
        self._publish(replica)

    async def _crash_replica(self):
        """Ends a replica, which starts again under its id with another version."""
        candidates = [
            item for item in self._model_replicas if item.id not in self._busy_ids
        ]
        if not candidates:
            return
        replica = self._random.choice(candidates)
        self._busy_ids.add(replica.id)
        await replica.stop()
        replica.restart()
        replica.model_load_s = MODEL_LOAD_S
        await asyncio.sleep(self._random.uniform(*RESTART_S))
        numbers = range(1, self._newest_version + 2)
        versions = {f"v{number}" for number in numbers} - {replica.software_version}
        replica.software_version = self._random.choice(sorted(versions))
        self._last_born += 1
        replica.boot = self._last_born
        self._publish(replica)
        await replica.start(replica.port)
        self._busy_ids.discard(replica.id)

    async def _kill_host_at_event(self):
        """Kills a host as soon as a caller has an event from it."""
        self._host_of_first_event = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(FIRST_EVENT_TIMEOUT_S):
                host = await self._host_of_first_event
        except TimeoutError:
            return
        await self._kill_host(host)

    async def _reset_replica_link(self):
        await self._reset_link(
            self._random.choice([*self._replica_links_by_id.values()])
        )

    async def _reset_store_link(self):
        await self._reset_link(self._random.choice(self._store_links))

    async def _reset_link(self, link):
        link.reset()
        if self._random.random() < 0.5:
            return
        link.set_fault(LinkFault.RESET)
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        link.set_fault(LinkFault.NONE)

    # Checks after the last fault

    async def _check_recovery(self):
        for replica in self._model_replicas:
            replica.event_interval_s = USUAL_EVENT_INTERVAL_S
        await super()._check_recovery()

    def _check_interruptions(self):
        """Checks whole streams; answers that break off are part of this soak."""
        for stream in self.streams:
            self.oracle.check_attempts(stream.attempts)
        self.oracle.check_replicas(self._left_replicas)

    @property
    def move_count(self):
        """How often a stream went on at a replica within one answer."""
        sent_by_id = self.oracle.requests_by_id
        return sum(
            int(last_event_id or 0) > sent_by_id[request_id].last_event_id
            for replica in (*self._replicas, *self._left_replicas)
            for request_id, last_event_id in replica.runs
            if request_id in sent_by_id
        )

    def summary(self):
        """Returns how much the run tried."""
        begun = [stream for stream in self.streams if stream.begun_by]
        whole = sum(stream.is_whole for stream in begun)
        outcomes = ", ".join(
            f"{self.take_ups[outcome]} {outcome}" for outcome in OUTCOMES
        )
        return (
            f"{len(self.faults)} faults, {self._newest_version} versions, "
            f"{whole} of {len(begun)} begun streams whole, "
            f"{self.move_count} moved within an answer, "
            f"{self.take_ups.total()} taken up ({self.take_ups_while_mixed} while "
            f"versions mixed): {outcomes}"
        )


def _prepare(replica):
    replica.names_origin = True
    replica.event_interval_s = EVENT_INTERVAL_S
    replica.slots = SLOTS


def _outcome(sent):
    """Returns which of OUTCOMES a request that took a stream up had."""
    answer = sent.answer
    if answer is None or answer.status == 0:
        return UNANSWERED
    if answer.status == 503:
        return REFUSED
    if answer.status != 200:
        return FAILED
    return WENT_ON if answer.event_ids or answer.complete else BROKEN
