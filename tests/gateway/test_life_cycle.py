"""Tests of gateways that are stopped, killed, restarted or get new settings."""

import asyncio
import os
import signal

import msgspec
import testtools

from snipetrestle_standins.gateway_fleet import HOSTNAME, Caller
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet
from tests.systems import with_system
from tests.waiting import wait_until

LONG_GRACE_S = 8.0


class LifeCycleTest(testtools.TestCase):
    @with_system(run_fleet)
    async def test_changed_settings_do_not_end_the_process(self, fleet):
        """A SIGHUP once ended the process of each host, with its streams.

        It happened 46 times on the day of the grown taglia-sicilia site.
        """
        gateway = fleet.live[0]
        changed = msgspec.structs.replace(gateway.settings, seeds=(("127.0.0.1", 9),))
        fleet.settings_by_name[gateway.settings.name] = changed
        os.kill(os.getpid(), signal.SIGHUP)
        await wait_until(lambda: gateway.settings is changed)
        self.assertEqual(200, (await fleet.send_request("/entry/a")).status)

    @with_system(run_fleet)
    async def test_unusable_settings_keep_the_old_ones(self, fleet):
        """If a settings file is half-written, it must not end the process."""
        gateway = fleet.live[0]
        before = gateway.settings
        del fleet.settings_by_name[before.name]
        gateway._read_settings = lambda: int("no number")
        gateway.reload()
        self.assertIs(before, gateway.settings)

    @with_system(run_fleet, gateways=3)
    async def test_planned_stop_interrupts_no_request(self, fleet):
        """Planned stops must neither interrupt requests nor lose new ones."""
        for replica in fleet.models:
            replica.event_interval_s = 0.1
        gateway = fleet.leaders()[0]
        request_task = asyncio.create_task(
            fleet.send_request("/draft/a", gateway, adapter="a1")
        )
        await wait_until(lambda: any(item.running for item in fleet.models))
        drain_task = asyncio.create_task(gateway.drain())
        await wait_until(lambda: gateway.draining)
        async with Caller(gateway.settings.readiness) as caller:
            answer = await caller.send_request("/-/ready", method="GET")
            self.assertEqual(503, answer.status)
        answer = await fleet.send_request("/entry/a", gateway)
        self.assertEqual(200, answer.status)
        self.assertEqual("close", answer.headers["connection"])
        answer = await request_task
        self.assertEqual(
            (True, [1, 2, 3, 4, 5, 6]), (answer.complete, answer.event_ids)
        )
        await drain_task
        await wait_until(lambda: len(fleet.leaders()) == 1)
        self.assertNotIn(gateway, fleet.leaders())

    @with_system(run_fleet, gateways=2)
    async def test_requests_of_all_moments_of_a_stop_are_answered(self, fleet):
        """Connections that were accepted late in a stop were closed unread, and those
        that a request was just arriving on were closed in the middle of it."""
        gateway = fleet.live[0]
        # The longer stop leaves a busy machine the time for enough requests.
        gateway.settings = msgspec.structs.replace(
            gateway.settings, shutdown_grace_s=LONG_GRACE_S
        )
        for replica in fleet.models:
            replica.event_interval_s = 0.05
        address = gateway.settings.callers
        statuses = []
        refused = 0
        drain_task = asyncio.create_task(gateway.drain())

        async def send(number):
            path, adapter = ("/entry/a", None) if number % 2 else ("/draft/a", "")
            async with Caller(address) as caller:
                answer = await caller.send_request(path, adapter=adapter)
            statuses.append((answer.status, answer.complete))

        tasks = []
        while not drain_task.done():
            for number in range(10):
                tasks.append(asyncio.create_task(send(number)))
            await asyncio.sleep(0.02)
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, ConnectionRefusedError):
                refused += 1
            elif result is not None:
                raise result
        self.assertGreater(len(statuses), 300)
        unexpected = set(statuses) - {(200, True), (503, True)}
        self.assertEqual(set(), unexpected)
        self.assertIn((200, True), statuses)

    @with_system(run_fleet, gateways=2)
    async def test_request_that_arrives_slowly_is_answered_in_a_stop(self, fleet):
        """A request whose body was on its way was cut off when the stop closed idle
        connections."""
        gateway = fleet.live[0]
        async with Caller(gateway.settings.callers) as caller:
            caller.writer.write(
                f"POST /entry/a HTTP/1.1\r\nHost: {HOSTNAME}\r\n"
                "X-Request-Id: slow\r\nContent-Length: 6\r\n\r\nabc".encode()
            )
            drain_task = asyncio.create_task(gateway.drain())
            await wait_until(lambda: gateway.caller_server.close_when_idle)
            await asyncio.sleep(0.2)
            caller.writer.write(b"def")
            answer = await caller.read_response()
        self.assertIn(answer.status, (200, 503))
        await drain_task

    @with_system(run_fleet, gateways=2)
    async def test_requests_left_at_the_end_of_a_stop_get_an_answer(self, fleet):
        """Requests in progress at the end of the grace period lost their connection."""
        gateway = fleet.live[0]
        for replica in fleet.registers:
            replica.faults = [Fault.NO_RESPONSE] * 3
        request_task = asyncio.create_task(
            fleet.send_request(
                "/entry/a", gateway, headers=[("X-Deadline-Ms", "30000")]
            )
        )
        await wait_until(lambda: any(item.runs for item in fleet.registers))
        await gateway.drain()
        answer = await request_task
        # It may have run, so status 503 would be false.
        self.assertEqual(502, answer.status)

    @with_system(run_fleet, gateways=3)
    async def test_killed_leader_is_replaced_with_a_higher_fencing_token(self, fleet):
        """Guards against loads that stop with their leader, and refused orders."""
        self.assertEqual(
            200, (await fleet.send_request("/draft/a", adapter="a1")).status
        )
        await fleet.kill(fleet.leaders()[0])
        await fleet.wait_ready()
        answer = await fleet.send_request("/draft/a", adapter="a2")
        self.assertEqual(200, answer.status)
        tokens = [
            order["fence_token"] for replica in fleet.models for order in replica.orders
        ]
        self.assertEqual(2, len(set(tokens)))
        holders = [
            replica for replica in fleet.models if "a1" in replica.versions_by_adapter
        ]
        self.assertEqual(1, len(holders))

    @with_system(run_fleet, gateways=3)
    async def test_all_hosts_killed_at_once_serve_again(self, fleet):
        """Hosts must be able to start while no other one runs."""
        self.assertEqual(
            200, (await fleet.send_request("/draft/a", adapter="a1")).status
        )
        for gateway in fleet.live:
            await fleet.kill(gateway)
        for number in range(3):
            fleet.start_gateway(number)
        await fleet.wait_ready()
        for adapter in ("a1", "a2"):
            answer = await fleet.send_request("/draft/a", adapter=adapter)
            self.assertEqual(200, answer.status)
        self.assertFalse(any(replica.overfilled for replica in fleet.models))
