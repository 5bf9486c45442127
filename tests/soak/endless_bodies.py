"""Many endless bodies of model replicas at once, beside callers of a sound service."""

import asyncio
import random

from snipetrestle_standins.gateway_fleet import (
    MODELS_BACKEND,
    REGISTER_BACKEND,
    Caller,
    route,
)
from snipetrestle_standins.platform_replica import Fault
from tests.soak.oracle import SentRequest
from tests.soak.own_delays import OwnDelays

# The route of the sound callers, and its timeout.
SOUND_ROUTE = "prompt"
SOUND_TIMEOUT_S = 1.0
# Time after which a sound caller gives up.
SOUND_CALLER_TIMEOUT_S = 6.0
SOUND_CALLS_PER_S = 16.0
ENDLESS_STREAMS_PER_HOST = 12
# Endless bodies come at 300 kB/s, in pieces of 3 kB.
ENDLESS_PARTS = 3
ENDLESS_PAUSE_S = 0.01
DURATION_S = 4.0
# A stream that is refused is followed by the next one after this time.
STREAM_PAUSE_S = 0.05
BODIES = (Fault.ENDLESS_BODY, Fault.ENDLESS_UNFRAMED_BODY)


def sound_route():
    """Returns the published route of the sound callers."""
    timeout_ms = SOUND_TIMEOUT_S * 1000
    return route(SOUND_ROUTE, "idempotent", REGISTER_BACKEND, timeout_ms=timeout_ms)


class EndlessBodies:
    """Opens streams whose bodies never end, and calls a service with a short timeout.

    ``body_count`` counts the endless bodies that began.
    """

    def __init__(self, seed, hosts, replicas, oracle):
        self._random = random.Random(f"{seed} endless bodies")
        self._seed = seed
        self._hosts = hosts
        self._replicas = [item for item in replicas if item.backend == MODELS_BACKEND]
        self._oracle = oracle
        self._request_count = 0
        # Ids of the streams that were open at the end, which their callers gave up.
        self._given_up_ids = set()
        self._own_delays = OwnDelays()

    @property
    def excused_ids(self):
        """The requests that got an endless body, or whose caller gave them up."""
        endless_ids = (item.endless_ids for item in self._replicas)
        return self._given_up_ids.union(*endless_ids)

    @property
    def body_count(self):
        return sum(len(replica.endless_ids) for replica in self._replicas)

    async def run(self):
        """Runs for DURATION_S, and until the sound callers have their answers."""
        for replica in self._replicas:
            replica.endless_parts = ENDLESS_PARTS
            replica.endless_pause_s = ENDLESS_PAUSE_S
        async with asyncio.TaskGroup() as group:
            meter = group.create_task(self._own_delays.measure())
            streams = [
                group.create_task(self._open_streams(host))
                for host in self._hosts
                for _ in range(ENDLESS_STREAMS_PER_HOST)
            ]
            sound = [group.create_task(self._call_evenly(host)) for host in self._hosts]
            await asyncio.wait(sound)
            for task in (meter, *streams):
                task.cancel()
        for replica in self._replicas:
            replica.endless_parts = 1
            replica.endless_pause_s = 0.0
            replica.faults.clear()

    async def _open_streams(self, host):
        """Opens one stream after the other, each as a replica has an endless body."""
        while True:
            self._random.choice(self._replicas).faults.append(
                self._random.choice(BODIES)
            )
            sent = self._new_request(host, "night", None)
            await self._send(host, sent, "POST", "")
            await asyncio.sleep(STREAM_PAUSE_S)

    async def _call_evenly(self, host):
        """Calls at an even rate, however long the answers take."""
        started = _now()
        async with asyncio.TaskGroup() as group:
            for count in range(int(DURATION_S * SOUND_CALLS_PER_S)):
                due = started + count / SOUND_CALLS_PER_S
                await asyncio.sleep(max(0.0, due - _now()))
                group.create_task(self._call(host))

    async def _call(self, host):
        number = self._request_count
        body = f"{REGISTER_BACKEND} GET /{SOUND_ROUTE}/{number}".encode()
        sent = self._new_request(host, SOUND_ROUTE, body)
        await self._send(host, sent, "GET", None)
        answered = sent.answer is not None and sent.answer.status != 0
        took_s = (
            sent.ended_at
            - sent.sent_at
            - self._own_delays.between(sent.sent_at, sent.ended_at)
        )
        self._oracle.record_sound_call(
            took_s if answered else SOUND_CALLER_TIMEOUT_S, SOUND_TIMEOUT_S
        )

    def _new_request(self, host, route_name, expected):
        request_id = f"{self._seed}-endless-{self._request_count}"
        sent = SentRequest(request_id, route_name, host.name, expected, _now())
        self._request_count += 1
        self._oracle.record_request(sent)
        return sent

    async def _send(self, host, sent, method, adapter):
        number = sent.id.rpartition("-")[2]
        answer = None
        try:
            async with (
                asyncio.timeout(SOUND_CALLER_TIMEOUT_S),
                Caller(host.callers_address) as caller,
            ):
                answer = await caller.send_request(
                    f"/{sent.route}/{number}",
                    method=method,
                    adapter=adapter,
                    headers=[("X-Request-Id", sent.id)],
                )
        except (TimeoutError, OSError):
            pass
        except asyncio.CancelledError:
            self._given_up_ids.add(sent.id)
            raise
        finally:
            self._oracle.record_answer(sent, answer, _now())


def _now():
    return asyncio.get_running_loop().time()
