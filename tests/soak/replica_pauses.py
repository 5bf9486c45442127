"""A soak in which sound replicas pause beside planned work only.

Replicas are processes that are stopped by SIGSTOP for up to two seconds and go on. No
process is killed, so nothing excuses an answer that is lost. Run it by hand with
``python -m tests.soak --pauses --seeds 10``, or ``--seed 7 --logs FOLDER``.
"""

import asyncio
import collections
import datetime
import random
import time

from snipetrestle_standins.gateway_fleet import (
    MODEL,
    MODELS_BACKEND,
    REGISTER_BACKEND,
    Caller,
    configuration,
    route,
)
from tests.soak.own_delays import OwnDelays
from tests.soak.replica_process import HEARTBEAT_S, ReplicaProcess
from tests.soak.soak import ADDED_ROUTE, ROUTES, Soak, has_broken_off

COUNTS_BY_BACKEND = {MODELS_BACKEND: 4, REGISTER_BACKEND: 3}
TARGET_LATENCY_S = 0.6
# A caller gives up a stream after a gap of this length.
EVENT_PATIENCE_S = max(2.0, 4 * TARGET_LATENCY_S)
# A host that knows this answers a stream without an event so long before.
ANSWER_MARGIN_S = 0.1
# The shortest and longest timeout of a route. An answer that is missing is not lost if
# its timeout may have ended it, which may come a little early.
MIN_TIMEOUT_S = 6.0
MAX_TIMEOUT_S = 9.0
TIMEOUT_MARGIN_S = 0.3
MIN_PAUSE_S = 0.3
MAX_PAUSE_S = 2.0
# Pauses end late on a busy machine. One that is longer than this excuses the answers that
# were open beside it.
MAX_SOUND_PAUSE_S = MAX_PAUSE_S + 0.15
# Pauses with less time between them count as one, as the process may have done nothing
# in it.
MIN_RUN_S = 0.3
MAX_LAPSE_S = 1.9
# The store removes the entry of a replica without a heartbeat for this time.
ENTRY_EXPIRY_S = 3 * HEARTBEAT_S
EXPIRY_CHECK_S = 0.1
# Delays of the soak itself from which on a gap does not count.
MAX_OWN_DELAY_S = 0.2
# The socket of a paused replica does not take the whole body of some writes.
LARGE_BODY_BYTES = 300_000
LARGE_BODY_FRACTION = 0.3
REPLICA_END_TIMEOUT_S = 20.0
# Why a missing answer is not lost (README.md).
TIMED_OUT = "timed out"
OVERLONG_PAUSE = "beside a pause that was too long"
NO_EVENT = "no event in time at a paused replica"
SEVERAL_PAUSED = "several of its replicas paused"
OWN_DELAY = "the soak itself was late"


class PatientCaller(Caller):
    """A caller that gives up a stream after a gap of EVENT_PATIENCE_S.

    ``last_gap`` is the (start, end) of the gap after which it did so, or None. The wait
    for the first event is no gap.
    """

    def __init__(self, address):
        super().__init__(address)
        self.last_gap = None

    async def _read_chunks(self):
        body = b""
        started_at = None
        try:
            while True:
                async with asyncio.timeout(EVENT_PATIENCE_S if body else None):
                    length = int(await self.reader.readline() or b"x", 16)
                    content = await self.reader.readexactly(length + 2)
                started_at = _now()
                if not length:
                    return body, True
                body += content[:-2]
        except TimeoutError:
            self.last_gap = (started_at, _now())
            return body, False
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return body, False


class ReplicaPauses(Soak):
    """One seeded run. ``seconds`` is the time in which replicas pause."""

    _called_routes = (*ROUTES, ADDED_ROUTE)
    _answer_timeout_s = MAX_TIMEOUT_S + 1.0
    _callers_per_host = 12

    def __init__(self, seed, seconds, folder):
        super().__init__(seed, seconds, folder)
        self._stack = None
        self._replicas = []
        self._left_replicas = []
        self._replica_count = 0
        self._lapsed_ids = set()
        self._pausing_ids = set()
        self._published_at_by_id = {}
        self._own_delays = OwnDelays()
        # The gap after which the caller of a request gave up, by request id.
        self._gaps_by_id = {}
        self.lapse_count = 0
        # Missing answers that a bound excuses, by their excuse.
        self.excuses = collections.Counter()
        self._missing_answers = []

    def _usual_configuration(self):
        document = configuration(self._configuration_version)
        for item in document["routes"]:
            item["timeout_ms"] = MAX_TIMEOUT_S * 1000
            item["target_latency_ms"] = TARGET_LATENCY_S * 1000
        return document

    # Replicas

    async def _start(self, stack):
        self._stack = stack
        await super()._start(stack)

    async def _start_replicas(self, stack):
        for backend, count in COUNTS_BY_BACKEND.items():
            for _ in range(count):
                await self._start_replica(backend)

    async def _start_replica(self, backend):
        model = MODEL if backend == MODELS_BACKEND else None
        replica = ReplicaProcess(
            f"{backend}-{self._replica_count}", backend, model, self._note_entry
        )
        self._replica_count += 1
        self._stack.push_async_callback(replica.kill)
        await replica.start()
        self._replicas.append(replica)

    def _note_entry(self, replica):
        if replica in self._replicas and replica.id not in self._lapsed_ids:
            self._publish(replica)

    def _publish(self, replica, **fields):
        self._published_at_by_id[replica.id] = self._now()
        self._store.put(f"servers/{replica.id}", {**replica.entry, **fields})

    def _unpublish(self, replica):
        if self._published_at_by_id.pop(replica.id, None) is not None:
            self._store.delete(f"servers/{replica.id}")

    async def _expire_entries(self):
        """Removes entries without heartbeats, as the store does."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            for replica in self._replicas:
                published_at = self._published_at_by_id.get(replica.id, self._now())
                if self._now() - published_at > ENTRY_EXPIRY_S:
                    self._unpublish(replica)
                    self.lapse_count += 1

    # Callers

    def _make_caller(self, host):
        return PatientCaller(host.callers_address)

    def _request_body(self, route):
        is_large = route == "entry" and self._random.random() < LARGE_BODY_FRACTION
        return b"x" * LARGE_BODY_BYTES if is_large else b""

    def _note_answered(self, sent, caller):
        if caller.last_gap is not None:
            self._gaps_by_id[sent.id] = caller.last_gap

    # Pauses and planned work

    async def _inject_faults(self, group):
        deadline = self._now() + self._seconds
        helpers = [
            group.create_task(self._own_delays.measure()),
            group.create_task(self._expire_entries()),
        ]
        series = (
            self._pause_in_series,
            self._lapse_in_series,
            self._replace_in_series,
            self._change_in_series,
            self._stop_in_series,
            self._reload_in_series,
        )
        await asyncio.gather(
            *(
                work(random.Random(f"{self._seed} {work.__name__}"), deadline)
                for work in series
            )
        )
        for helper in helpers:
            helper.cancel()
        for replica in self._replicas:
            self._publish(replica)

    async def _pause_in_series(self, generator, deadline):
        """Pauses replicas one after the other, several at a time, and again."""
        async with asyncio.TaskGroup() as group:
            while self._now() < deadline:
                for replica in self._choose_to_pause(generator):
                    self._pausing_ids.add(replica.id)
                    group.create_task(self._pause_repeatedly(generator, replica))
                await asyncio.sleep(generator.uniform(0.2, 1.5))

    def _choose_to_pause(self, generator):
        count = generator.choice((1, 1, 1, 2, 2, 3))
        candidates = [
            item for item in self._live_replicas if item.id not in self._pausing_ids
        ]
        return generator.sample(candidates, min(count, len(candidates)))

    @property
    def _live_replicas(self):
        """All replicas whose processes run, also those that leave."""
        return [
            item for item in (*self._replicas, *self._left_replicas) if item.is_running
        ]

    async def _pause_repeatedly(self, generator, replica):
        """Pauses a replica up to three times, with short times between them."""
        await asyncio.sleep(generator.uniform(0.0, 0.4))
        left_s = MAX_PAUSE_S
        for _ in range(generator.choice((1, 1, 2, 3))):
            if left_s < MIN_PAUSE_S or not replica.is_running:
                break
            pause_s = generator.uniform(MIN_PAUSE_S, left_s)
            replica.pause()
            await asyncio.sleep(pause_s)
            replica.resume()
            run_s = generator.uniform(0.05, 1.0)
            await asyncio.sleep(run_s)
            left_s = MAX_PAUSE_S if run_s >= MIN_RUN_S else left_s - pause_s - run_s
        # Time for the next series to count as a pause of its own.
        await asyncio.sleep(MIN_RUN_S)
        self._pausing_ids.discard(replica.id)

    async def _lapse_in_series(self, generator, deadline):
        """Lets entries lapse whose replicas live; they come back within two seconds."""
        async with asyncio.TaskGroup() as group:
            while self._now() < deadline:
                candidates = [
                    item
                    for item in self._replicas
                    if item.id not in self._lapsed_ids and not item.is_leaving
                ]
                if candidates:
                    replica = generator.choice(candidates)
                    group.create_task(self._lapse(generator, replica))
                await asyncio.sleep(generator.uniform(0.3, 2.0))

    async def _lapse(self, generator, replica):
        self._lapsed_ids.add(replica.id)
        self.faults.append((self._now(), f"{replica.id} lapses"))
        self._unpublish(replica)
        self.lapse_count += 1
        await asyncio.sleep(generator.uniform(0.1, MAX_LAPSE_S))
        self._lapsed_ids.discard(replica.id)
        if replica in self._replicas:
            self._publish(replica)

    async def _replace_in_series(self, generator, deadline):
        """Lets new replicas join, and old ones leave by announcement."""
        while self._now() < deadline:
            await asyncio.sleep(generator.uniform(0.5, 2.5))
            replica = generator.choice(self._replicas)
            await self._start_replica(replica.backend)
            await asyncio.sleep(generator.uniform(0.2, 1.0))
            await self._leave(generator, replica)

    async def _leave(self, generator, replica):
        self.faults.append((self._now(), f"{replica.id} leaves"))
        replica.leave()
        await asyncio.sleep(generator.uniform(0.6, 2.0))
        self._replicas.remove(replica)
        self._left_replicas.append(replica)
        self._unpublish(replica)
        await asyncio.sleep(generator.uniform(0.5, 1.5))
        async with asyncio.timeout(REPLICA_END_TIMEOUT_S):
            await replica.stop()

    async def _change_in_series(self, generator, deadline):
        """Changes configurations in quick succession."""
        while self._now() < deadline:
            for _ in range(generator.randint(1, 6)):
                self._configuration_version += 1
                document = self._usual_configuration()
                for change in generator.sample(self._changes, generator.randint(1, 3)):
                    change(document, generator)
                self._store.put("op/config", document)
                await asyncio.sleep(generator.uniform(0.02, 0.4))
            await asyncio.sleep(generator.uniform(0.2, 2.0))
        self._configuration_version += 1
        self._publish_configuration()

    @property
    def _changes(self):
        return (
            self._change_timeouts,
            self._change_routes,
            self._change_weights,
            self._change_idle_limit,
            self._add_called_route,
        )

    def _change_timeouts(self, document, generator):
        for item in document["routes"]:
            timeout_s = generator.uniform(MIN_TIMEOUT_S, MAX_TIMEOUT_S)
            item["timeout_ms"] = timeout_s * 1000

    def _add_called_route(self, document, generator):
        added = route(ADDED_ROUTE, "idempotent", REGISTER_BACKEND)
        added["timeout_ms"] = MIN_TIMEOUT_S * 1000
        document["routes"].append(added)

    async def _stop_in_series(self, generator, deadline):
        """Stops and starts hosts as planned, one at a time."""
        while self._now() < deadline:
            await asyncio.sleep(generator.uniform(0.5, 3.0))
            host = generator.choice(self._hosts)
            self.faults.append((self._now(), f"{host.name} stopped"))
            await self._stop_host(host)
            await self._wait_ready(host)

    async def _wait_ready(self, host):
        async with asyncio.timeout(REPLICA_END_TIMEOUT_S):
            await host.wait_ready()

    async def _reload_in_series(self, generator, deadline):
        while self._now() < deadline:
            await asyncio.sleep(generator.uniform(0.3, 2.0))
            await self._reload_host(generator.choice(self._hosts))

    # Checks

    def _end_replica_faults(self):
        """Pauses have ended by themselves."""

    async def _collect_records(self):
        async with asyncio.timeout(REPLICA_END_TIMEOUT_S):
            await asyncio.gather(*(item.stop() for item in self._replicas))
        self._replicas += self._left_replicas

    def _check_interruptions(self):
        self.check_requests()
        self._write_timeline()
        for host in self._hosts:
            self.oracle.check_verdicts(host.name, host.read_log())

    def check_requests(self):
        """Reports lost answers."""
        for sent, ran_at in self._ended_requests():
            if not is_lost(sent, bool(ran_at)):
                continue
            excuse = self._excuse(sent, ran_at)
            if excuse is None:
                self.oracle.record_interruption(sent)
            else:
                self.excuses[excuse] += 1
            self._missing_answers.append((sent, ran_at, excuse))

    def _ended_requests(self):
        """Yields the requests that ended before the run did, and their replicas."""
        replicas_by_run = {}
        for replica in self._replicas:
            for request_id, _ in replica.runs:
                replicas_by_run.setdefault(request_id, []).append(replica)
        for sent in self.oracle.requests_by_id.values():
            if sent.ended_at is not None and sent.ended_at < self._callers_stopped_at:
                yield sent, replicas_by_run.get(sent.id, [])

    def _excuse(self, sent, ran_at):
        """Returns which bound of README.md does not hold for a request, or None."""
        if sent.ended_at - sent.sent_at >= MIN_TIMEOUT_S - TIMEOUT_MARGIN_S:
            return TIMED_OUT
        if longest_pause_s(sent, ran_at) > MAX_SOUND_PAUSE_S:
            return OVERLONG_PAUSE
        if waited_in_vain(sent, ran_at):
            return NO_EVENT
        gap = self._gaps_by_id.get(sent.id)
        if gap is None:
            return None
        if self._own_delays.between(*gap) > MAX_OWN_DELAY_S:
            return OWN_DELAY
        paused_ids = {item.id for item in ran_at if _overlaps(item.pauses, *gap)}
        return SEVERAL_PAUSED if len(paused_ids) > 1 else None

    def _write_timeline(self):
        """Writes missing answers, pauses and planned work to the folder of the logs.

        Times are those of the logs.
        """
        offset_s = time.time() - self._now()
        lines = [(at, work) for at, work in self.faults]
        for replica in self._replicas:
            lines += [
                (start, f"{replica.id} paused for {end - start:.3f} s")
                for start, end in replica.pauses
            ]
        for sent, ran_at, excuse in self._missing_answers:
            ids = ", ".join(replica.id for replica in ran_at)
            took_s = sent.ended_at - sent.sent_at
            verdict = "LOST" if excuse is None else f"excused, {excuse}"
            line = f"{sent.id} sent, {took_s:.3f} s, ran at {ids}: {verdict}"
            lines.append((sent.sent_at, line))
        text = "".join(
            f"{datetime.datetime.fromtimestamp(at + offset_s, datetime.UTC)} {line}\n"
            for at, line in sorted(lines)
        )
        (self._folder / "timeline.txt").write_text(text)

    @property
    def pause_count(self):
        return sum(len(replica.pauses) for replica in self._replicas)

    @property
    def open_during_pauses_count(self):
        """How many requests were open while a replica that had them was paused."""
        return sum(
            any(_overlaps(item.pauses, sent.sent_at, sent.ended_at) for item in ran_at)
            for sent, ran_at in self._ended_requests()
        )

    def summary(self):
        served = sum(self.oracle.served_by_route.values())
        excuses = ", ".join(f"{n} {excuse}" for excuse, n in self.excuses.items())
        return (
            f"{self.pause_count} pauses of {self._replica_count} replicas, "
            f"{self._configuration_version} configurations, {self.lapse_count} lapsed "
            f"entries, {served} of {len(self.oracle.requests_by_id)} served, "
            f"{self.open_during_pauses_count} open at a paused replica, "
            f"excused: {excuses or 'none'}"
        )


def is_lost(sent, has_run):
    """Whether an answer broke off, or a request that ran got no answer of a replica.

    An answer in time that its caller gave up is lost as well.
    """
    if has_broken_off(sent):
        return True
    return has_run and (sent.answer is None or sent.answer.status != 200)


def waited_in_vain(sent, ran_at):
    """Whether a stream ended without an event as its caller's patience did.

    One of its replicas was paused then, or until shortly before.
    """
    is_stream = sent.expected is None
    took_s = sent.ended_at - sent.sent_at
    has_events = sent.answer is not None and bool(sent.answer.event_ids)
    if not is_stream or has_events or took_s < EVENT_PATIENCE_S - ANSWER_MARGIN_S:
        return False
    end = sent.sent_at + EVENT_PATIENCE_S
    return any(
        _overlaps(replica.pauses, end - ANSWER_MARGIN_S - MIN_RUN_S, end)
        for replica in ran_at
    )


def longest_pause_s(sent, ran_at):
    """Returns the longest pause of a request's replicas while it was open."""
    lengths_s = [
        end - start
        for replica in ran_at
        for start, end in merge_pauses(replica.pauses)
        if start <= sent.ended_at and sent.sent_at <= end
    ]
    return max(lengths_s, default=0.0)


def merge_pauses(pauses):
    """Returns pauses of which none follows within MIN_RUN_S of the one before."""
    merged = []
    for start, end in pauses:
        if merged and start - merged[-1][1] < MIN_RUN_S:
            start, _ = merged.pop()
        merged.append((start, end))
    return merged


def _overlaps(pauses, start, end):
    return any(began <= end and start <= ended for began, ended in pauses)


def _now():
    return asyncio.get_running_loop().time()
