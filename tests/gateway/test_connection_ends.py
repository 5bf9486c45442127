"""Tests of what logs and metrics tell about the ends of callers' connections."""

import asyncio
import time

from snipetrestle.codes import ResultCode
from snipetrestle.dispatch.replica_search import ReplicaSearch
from snipetrestle.events import Event
from snipetrestle.gateway.forwarding import Forwarder
from snipetrestle.gateway.job import Refused
from snipetrestle.gateway.publication.published_documents import PublishedDocuments
from snipetrestle_standins.gateway_fleet import Caller, configuration
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.log_recording import LogRecordingTest
from tests.gateway.running import run_fleet
from tests.gateway.test_silent_replicas import use_up_retries
from tests.waiting import wait_until

# A turn of the event loop in which a long configuration is applied on a slow host.
LONG_TURN_S = 0.2


async def wait_forever(part, job):
    """Stands in for a part of the gateway that never ends its work on a request."""
    await asyncio.Event().wait()


def count_ends(gateway, reason, unanswered):
    """Returns how many ends of connections the metrics of a gateway count."""
    name = (
        "snipetrestle_gateway_connection_ends_total"
        f'{{reason="{reason}",unanswered="{unanswered}"}} '
    )
    for line in gateway.metrics.render().decode().splitlines():
        if line.startswith(name):
            return int(float(line.removeprefix(name)))
    return 0


class ConnectionEndTest(LogRecordingTest):
    def test_caller_that_leaves_is_told_from_this_host(self):
        """No line told who had ended a connection with a request unanswered."""

        async def check(fleet):
            gateway = fleet.live[0]
            for replica in fleet.registers:
                replica.faults = [Fault.NO_RESPONSE] * 3
            async with Caller(gateway.settings.callers) as caller:
                request = asyncio.create_task(caller.send_request("/entry/a"))
                await wait_until(lambda: any(item.runs for item in fleet.registers))
                request.cancel()
            await wait_until(self.early_ends)
            self.assertEqual([("caller_closed", "request")], self.early_ends())
            self.assertEqual(1, count_ends(gateway, "caller_closed", "request"))

        run_fleet(check)

    def check_caller_that_waits(self, wait_s, headers):
        """Checks the line about a caller that closes after a time without an answer."""

        async def check(fleet):
            for replica in fleet.registers:
                replica.faults = [Fault.NO_RESPONSE] * 3
            async with Caller(fleet.live[0].settings.callers) as caller:
                request = asyncio.create_task(
                    caller.send_request("/entry/a", headers=headers)
                )
                await asyncio.sleep(wait_s)
                request.cancel()
            await wait_until(self.early_ends)
            self.assertEqual([("caller_timed_out", "request")], self.early_ends())
            (end,) = self.logged(Event.CONNECTION_ENDED_EARLY)
            self.assertGreaterEqual(end["silent_ms"], wait_s * 1000 - 50)

        run_fleet(check)

    def test_silence_of_this_host_is_not_put_down_to_its_caller(self):
        """The line said that the caller had closed, whatever it had waited for."""
        self.check_caller_that_waits(2.0, ())

    def test_deadline_without_an_answer_is_not_put_down_to_its_caller(self):
        """A caller that left at its deadline looked like one that left at will."""
        self.patch(Forwarder, "_forward", wait_forever)
        self.check_caller_that_waits(0.5, [("X-Deadline-Ms", "500")])

    def test_caller_that_leaves_within_a_stream_has_not_timed_out(self):
        """Guards against a line that blames this host for a stream that it sends."""

        async def check(fleet):
            for replica in fleet.models:
                replica.events = 100
                replica.event_interval_s = 0.05
            async with Caller(fleet.live[0].settings.callers) as caller:
                request = asyncio.create_task(
                    caller.send_request("/draft/a", adapter="")
                )
                await asyncio.sleep(2.5)
                request.cancel()
            await wait_until(self.early_ends)
            self.assertEqual([("caller_closed", "partial_response")], self.early_ends())

        run_fleet(check)

    def test_request_that_a_stopped_process_leaves_unanswered_is_logged(self):
        """Requests that ended with their process left no trace in its log."""

        async def check(fleet):
            gateway = fleet.live[0]
            for replica in fleet.registers:
                replica.faults = [Fault.NO_RESPONSE] * 3
            async with Caller(gateway.settings.callers) as caller:
                request = asyncio.create_task(caller.send_request("/entry/a"))
                await wait_until(lambda: any(item.runs for item in fleet.registers))
                gateway.caller_server.close()
                self.assertEqual(0, (await request).status)
            self.assertEqual([("process_end", "request")], self.early_ends())

        run_fleet(check)

    async def leave_beside_a_change(self, fleet, path, wait_s, **options):
        """Leaves a request at a new configuration, and returns the fields of its line.

        The configuration is applied in a turn of LONG_TURN_S.
        """
        set_configuration = PublishedDocuments._set_configuration

        def set_slowly(documents, content):
            set_configuration(documents, content)
            time.sleep(LONG_TURN_S)

        self.patch(PublishedDocuments, "_set_configuration", set_slowly)
        gateway = fleet.live[0]
        async with Caller(gateway.settings.callers) as caller:
            request = asyncio.create_task(caller.send_request(path, **options))
            await wait_until(lambda: gateway.forwarder.has_requests)
            fleet.store.put("op/config", configuration(2))
            await wait_until(lambda: gateway.state.configuration.version == 2)
            await asyncio.sleep(wait_s)
            request.cancel()
        await wait_until(self.early_ends)
        (end,) = self.logged(Event.CONNECTION_ENDED_EARLY)
        self.assertEqual(2, end["configuration"])
        self.assertGreaterEqual(end["configuration_age_ms"], wait_s * 1000 - 50)
        self.assertGreaterEqual(end["configuration_apply_ms"], LONG_TURN_S * 1000)
        return end

    def test_silent_replica_and_long_turn_are_told_beside_a_change(self):
        """No line told a silent replica, a long turn and a new configuration apart."""

        async def check(fleet):
            for replica in fleet.registers:
                replica.faults = [Fault.NO_RESPONSE] * 3
            end = await self.leave_beside_a_change(fleet, "/entry/a", 0.5)
            self.assertGreaterEqual(end["replica_silent_ms"], 450)

        run_fleet(check)

    def assert_fields(self, expected, line):
        self.assertEqual(expected, {name: line.get(name) for name in expected})

    async def leave_silent_stream(self, fleet):
        """Leaves a begun stream whose replicas are silent; returns its line."""
        for replica in fleet.models:
            replica.events, replica.event_interval_s = 100, 0.05
        async with Caller(fleet.live[0].settings.callers) as caller:
            request = asyncio.create_task(caller.send_request("/draft/a", adapter=""))
            await wait_until(lambda: any(item.running for item in fleet.models))
            await asyncio.sleep(0.5)
            silences = [
                asyncio.create_task(item.fall_silent(4.0)) for item in fleet.models
            ]
            await asyncio.sleep(1.8)
            request.cancel()
        await wait_until(self.early_ends)
        for silence in silences:
            silence.cancel()
        (end,) = self.logged(Event.CONNECTION_ENDED_EARLY)
        return end

    def test_line_of_a_left_stream_tells_why_it_was_not_replaced(self):
        """Guards against a held stream whose line names no route and no replacement."""

        async def refuse(forwarder, job):
            raise Refused(ResultCode.NO_REPLICA, reason="no other one")

        async def check(fleet):
            self.patch(Forwarder, "find_replacement", refuse)
            end = await self.leave_silent_stream(fleet)
            self.assert_fields(
                {
                    "reason": "caller_timed_out",
                    "route": "draft",
                    "kind": "stream",
                    "resumable": True,
                    "replacement_dropped": "no other one",
                },
                end,
            )
            self.assertEqual(1, len(end["sent_to"]))
            self.assertGreater(end["last_event_id"], 0)
            self.assertGreaterEqual(end["last_heard_ms"], 1500)
            self.assertGreaterEqual(end["after_ms"], end["silent_ms"])

        run_fleet(check)

    def test_line_of_a_left_stream_tells_that_no_replacement_was_allowed(self):
        """Guards against a held stream without any line that says why."""

        async def check(fleet):
            use_up_retries(fleet, "models")
            end = await self.leave_silent_stream(fleet)
            self.assertIn("retry budget", end["replacement_dropped"])

        run_fleet(check)

    def test_lines_of_a_cut_stream_tell_how_far_it_had_come(self):
        """Guards against lines that need others to show what a replica cut off."""

        async def check(fleet):
            for replica in fleet.models:
                replica.faults = [Fault.RESET_IN_RESPONSE] * 4
            headers = [("X-Deadline-Ms", "5000")]
            await fleet.send_request("/draft/a", adapter="", headers=headers)
            await wait_until(self.early_ends)
            (failure,) = self.logged(Event.REQUEST_FAILED)
            (end,) = self.logged(Event.CONNECTION_ENDED_EARLY)
            for line in (failure, end):
                self.assert_fields(
                    {
                        "route": "draft",
                        "kind": "stream",
                        "resumable": True,
                        "deadline_ms": 5000,
                        "last_event_id": 4,
                        "replacement": None,
                        "configuration": 1,
                    },
                    line,
                )
                self.assertLess(line["silent_ms"], line["after_ms"] + 1)
                self.assertLess(line["last_heard_ms"], line["after_ms"] + 1)
                self.assertLess(line["after_ms"], line["timeout_ms"])
                self.assertGreaterEqual(line["configuration_age_ms"], 0)

        run_fleet(check)

    def test_request_without_a_replica_has_no_silent_one(self):
        """A request that waited for a place looked like one at a silent replica."""

        async def check(fleet):
            self.patch(ReplicaSearch, "find_stream_replica", wait_forever)
            end = await self.leave_beside_a_change(fleet, "/draft/a", 0.1, adapter="a1")
            self.assertIsNone(end["replica_silent_ms"])

        run_fleet(check)

    def test_each_end_is_counted_by_its_reason(self):
        """Only complete responses were counted, not why connections ended."""

        async def check(fleet):
            gateway = fleet.live[0]
            async with Caller(gateway.settings.callers) as caller:
                caller.writer.write(b"POST /entry/a HTTP/1.1\r\nHost: ")
                self.assertEqual(408, (await caller.read_response()).status)
            async with Caller(gateway.settings.callers) as caller:
                answer = await caller.send_request(
                    "/entry/a", headers=[("Connection", "close")]
                )
                self.assertEqual(200, answer.status)
            async with Caller(gateway.settings.callers) as caller:
                caller.writer.write(b"no request\r\n\r\n")
                self.assertEqual(400, (await caller.read_response()).status)
            async with Caller(gateway.settings.callers) as caller:
                await caller.send_request("/entry/a")
                self.assertEqual(b"", await caller.reader.read())
            for reason, count in (
                ("request_refused", 2),
                ("announced", 1),
                ("idle", 1),
            ):
                await wait_until(
                    lambda reason=reason, count=count: (
                        count_ends(gateway, reason, "nothing") == count
                    )
                )

        run_fleet(check)
