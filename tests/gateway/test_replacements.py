"""Tests of requests whose replica is silent while another one is tried."""

import asyncio

import testtools

from snipetrestle.gateway.backends.connection_pool import ConnectionPool
from snipetrestle.gateway.callers.http_server import CallerConnection
from snipetrestle.gateway.forwarding import Forwarder
from snipetrestle_standins.platform_http import response
from tests.gateway.running import run_fleet
from tests.waiting import wait_until

ERROR_BODY = b"0123456789" * 4


def script(replicas, behaviours):
    """Gives the Nth request that arrives at any of ``replicas`` the Nth behaviour.

    A behaviour is a coroutine function of (replica, request, writer); the last one also
    serves all later requests. Returns the list of replica ids in order of arrival.
    """
    arrivals = []

    def scripted(replica):
        async def serve(request, writer):
            arrivals.append(replica.id)
            number = min(len(arrivals), len(behaviours)) - 1
            await behaviours[number](replica, request, writer)

        return serve

    for replica in replicas:
        replica._serve_request = scripted(replica)
    return arrivals


def answer_after(delay_s, status=200, body=b"whole", **headers):
    """Returns a behaviour that answers after a while."""

    async def serve(replica, request, writer):
        await asyncio.sleep(delay_s)
        fields = [(name.replace("_", "-"), value) for name, value in headers.items()]
        proof = replica._proof_headers(request)
        writer.write(response(status, proof + fields, body))

    return serve


def refuse_after(delay_s):
    return answer_after(delay_s, 503, b"", X_Not_Executed="1")


def reset_after(delay_s):
    async def serve(replica, request, writer):
        await asyncio.sleep(delay_s)
        writer.transport.abort()

    return serve


async def close_within_answer(replica, request, writer):
    """Sends a response but for its last bytes, and resets the connection later."""
    writer.write(response(200, replica._proof_headers(request), b"whole")[:-2])
    await asyncio.sleep(0.2)
    writer.transport.abort()


async def answer_error_in_two_parts(replica, request, writer):
    """Sends status 500 with one half of its body, and the other half later."""
    content = response(500, replica._proof_headers(request), ERROR_BODY)
    half = len(ERROR_BODY) // 2
    writer.write(content[:-half])
    await asyncio.sleep(0.6)
    writer.write(content[-half:])


def stream_events(first, last, pauses_s=(), then=None):
    """Returns a behaviour that streams events, from Last-Event-Id on if it is sent.

    ``pauses_s`` maps numbers of events to pauses before them. ``then(writer)`` ends the
    stream, by default as complete.
    """

    async def serve(replica, request, writer):
        start = int(request.headers.get("last-event-id") or first - 1) + 1
        head = response(200, replica._proof_headers(request)).split(b"Content-Length")
        writer.write(head[0] + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(start, last + 1):
            await asyncio.sleep(dict(pauses_s).get(number, 0.02))
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        if then is not None:
            await asyncio.sleep(0.05)
            then(writer)
            return
        writer.write(b"0\r\n\r\n")

    return serve


def abort(writer):
    writer.transport.abort()


async def never_answer(replica, request, writer):
    await asyncio.Event().wait()


def leave_one_retry(fleet, backend):
    """Uses up the retry budget of the first gateway but for about one retry."""
    budget = fleet.live[0].retry_budgets.for_backend(backend)
    while budget.try_spend(1):
        pass
    while not budget.has_room(1):
        budget.note_request()


class ReplacementTest(testtools.TestCase):
    def check_call(self, behaviours, expected, one_retry=True, **options):
        """Checks the answer to an idempotent call; returns the replicas it ran on."""

        async def check(fleet):
            arrivals = script(fleet.registers, behaviours)
            if one_retry:
                leave_one_retry(fleet, "register")
            answer = await fleet.send_request("/lookup/a", method="GET")
            self.assertIn((answer.status, answer.body), expected)
            return arrivals

        return run_fleet(check, **options)

    def test_refusal_by_the_silent_replica_keeps_the_replacement(self):
        """Guards against a replacement ended because the first replica refuses."""
        self.check_call(
            [refuse_after(0.6), answer_after(0.5), refuse_after(0)], [(200, b"whole")]
        )

    def test_error_of_the_silent_replica_keeps_the_replacement(self):
        """Guards against a replacement ended because the first replica fails."""
        self.check_call([answer_after(0.6, 500), answer_after(0.5)], [(200, b"whole")])

    def test_replacement_error_that_arrives_in_parts_is_not_truncated(self):
        """Guards against an answer that ends early and looks complete."""
        self.check_call(
            [answer_after(1.5), answer_error_in_two_parts],
            [(200, b"whole"), (500, ERROR_BODY)],
        )

    def test_replacement_error_is_not_truncated_when_the_first_fails(self):
        """Guards against an answer that ends early and looks complete."""
        self.check_call(
            [reset_after(0.6), answer_error_in_two_parts], [(500, ERROR_BODY)]
        )

    def test_late_refusal_of_a_replacement_loses_no_answer(self):
        """Guards against a call given up for a replica that refuses after 0.3 s."""
        self.check_call(
            [answer_after(1.2), refuse_after(0.5), refuse_after(0)], [(200, b"whole")]
        )

    def test_replacement_that_breaks_off_loses_no_answer(self):
        """Guards against a call given up for a response that ends within its body."""
        self.check_call(
            [answer_after(1.2), close_within_answer], [(200, b"whole")], one_retry=False
        )

    def test_slow_call_is_sent_to_its_only_replica_once_more_at_most(self):
        """Guards against a call that is ended and started anew again and again."""
        arrivals = self.check_call(
            [answer_after(1.2)], [(200, b"whole")], one_retry=False, registers=1
        )
        self.assertEqual(2, len(arrivals))

    def test_booked_retry_is_used_when_the_first_fails_during_the_connect(self):
        """Guards against a retry that is booked, not sent and not returned."""
        acquire = ConnectionPool.acquire
        acquired = []

        async def acquire_slowly(pool, request_id=None):
            if request_id is not None:
                acquired.append(request_id)
                if len(acquired) == 2:
                    await asyncio.sleep(0.3)
            return await acquire(pool, request_id)

        self.patch(ConnectionPool, "acquire", acquire_slowly)
        self.check_call([reset_after(0.6), answer_after(0.1)], [(200, b"whole")])

    def test_unexpected_error_ends_the_replacement(self):
        """Guards against two replicas at work on one request until its end."""

        async def fail(forwarder, job, exchange, max_wait_s):
            raise KeyError("head")

        self.patch(Forwarder, "refusal_reason", fail)

        async def check(fleet):
            script(fleet.registers, [answer_after(2.0)])
            known = fleet.gateways[0].replicas.by_id
            task = asyncio.create_task(fleet.send_request("/lookup/a", method="GET"))
            await asyncio.sleep(1.2)
            self.assertEqual(1, sum(item.in_flight for item in known.values()))
            self.assertEqual(200, (await task).status)

        run_fleet(check)

    def test_complete_stream_of_a_slow_caller_is_not_sent_again(self):
        """Guards against a second run of a stream that its replica has finished."""
        write_chunk = CallerConnection.write_chunk

        async def write_slowly(caller, data):
            if b"id: 6\n" in data:
                caller.pause_writing()
                asyncio.get_running_loop().call_later(3.0, caller.resume_writing)
            await write_chunk(caller, data)

        self.patch(CallerConnection, "write_chunk", write_slowly)

        async def check(fleet):
            answer = await fleet.send_request("/draft/a", adapter="")
            self.assertEqual((200, True), (answer.status, answer.complete))
            self.assertEqual([1, 2, 3, 4, 5, 6], answer.event_ids)
            self.assertEqual(
                1, sum(len(item.arrived_requests) for item in fleet.models)
            )

        run_fleet(check)

    def check_stream(self, behaviours, one_retry=False):
        """Checks that a stream of six events is whole; returns the arrivals."""

        async def check(fleet):
            await asyncio.sleep(0.5)
            arrivals = script(fleet.models, behaviours)
            if one_retry:
                leave_one_retry(fleet, "models")
            answer = await fleet.send_request("/draft/a", adapter="")
            self.assertEqual(
                (200, True, [1, 2, 3, 4, 5, 6]),
                (answer.status, answer.complete, answer.event_ids),
            )
            return arrivals

        return run_fleet(check)

    def test_dropped_replacement_leaves_a_stream_its_second_attempt(self):
        """Guards against a stream that breaks off since its replacement was dropped."""
        arrivals = self.check_stream(
            [
                stream_events(1, 4, {3: 1.15}, abort),
                never_answer,
                stream_events(1, 6),
            ]
        )
        self.assertEqual(3, len(arrivals))

    def test_refusal_by_the_silent_replica_keeps_the_replacement_of_a_stream(self):
        """Guards against a replacement ended because the first replica refuses."""

        async def begin_late(replica, request, writer):
            await asyncio.sleep(0.5)
            await stream_events(1, 6)(replica, request, writer)

        self.check_stream([refuse_after(1.05), begin_late, refuse_after(0)], True)

    def test_refused_stream_holds_no_connection_in_its_pause(self):
        """Guards against a connection that is held until a refused stream is resent."""

        async def check(fleet):
            refusals = [refuse_after(0)] * 4
            arrivals = script(
                fleet.models,
                [stream_events(1, 3, then=abort), *refusals, stream_events(1, 6)],
            )
            gateway = fleet.live[0]
            replicas = gateway.replicas.by_id.values()
            stream = asyncio.create_task(fleet.send_request("/draft/a", adapter=""))
            await wait_until(lambda: len(arrivals) == 5)
            # The pause before the sixth attempt takes 0.8 s.
            await wait_until(
                lambda: not sum(item.in_flight for item in replicas) or stream.done()
            )
            self.assertEqual(5, len(arrivals))
            (caller,) = gateway.caller_server.connections
            self.assertIsNone(caller.replica_silent_s())
            answer = await stream
            self.assertEqual(
                (True, [1, 2, 3, 4, 5, 6]), (answer.complete, answer.event_ids)
            )

        run_fleet(check)

    def test_silent_replica_is_left_within_the_allowed_overlap(self):
        """Guards against two replicas at work on one stream for over 0.4 s."""
        times = {}

        async def hold(replica, request, writer):
            # Writes without progress show when the connection is closed.
            while not writer.transport.is_closing():
                writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n")
                await asyncio.sleep(0.005)
            times["left"] = asyncio.get_running_loop().time()

        async def take_over(replica, request, writer):
            times["arrived"] = asyncio.get_running_loop().time()
            await asyncio.sleep(0.6)
            await stream_events(1, 6)(replica, request, writer)

        self.check_stream([hold, take_over])
        overlap_s = times["left"] - times["arrived"]
        self.assertTrue(0.0 < overlap_s < 0.4, overlap_s)
