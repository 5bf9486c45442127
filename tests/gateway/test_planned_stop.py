"""Tests of planned stops: what a gateway answers until its process ends."""

import asyncio

import msgspec
import testtools

from snipetrestle.gateway.drain_times import DrainTimes
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet
from tests.waiting import wait_until


def set_grace(fleet, gateway, grace_s):
    """Changes the grace period of a gateway that already runs."""
    settings = msgspec.structs.replace(gateway.settings, shutdown_grace_s=grace_s)
    gateway.settings = fleet.settings_by_name[settings.name] = settings


class DrainTimesTest(testtools.TestCase):
    def test_requests_are_given_up_in_the_last_sixth_of_any_grace_period(self):
        """Margins of fixed length took most of a short grace period."""
        for grace_s in (0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 5.4, 6.0, 8.0, 30.0):
            times = DrainTimes.from_grace(grace_s)
            self.assertLess(0.0, times.refuse_new_s)
            self.assertLess(times.refuse_new_s, times.give_up_s)
            self.assertLessEqual(grace_s * 5 / 6, times.give_up_s)
            self.assertLess(times.give_up_s, times.end_s)
            self.assertLess(times.end_s, grace_s)


class PlannedStopTest(testtools.TestCase):
    def test_requests_get_most_of_a_short_grace_period(self):
        """With a grace period of 1 s, requests were given up after a third of it."""

        async def measure(fleet, gateway, grace_s):
            set_grace(fleet, gateway, grace_s)
            started = asyncio.get_running_loop().time()
            request_task = asyncio.create_task(fleet.send_request("/entry/a", gateway))
            await wait_until(lambda: gateway.caller_server.connections)
            await asyncio.sleep(0.05)
            await gateway.drain()
            drained_after_s = asyncio.get_running_loop().time() - started - 0.05
            answer = await request_task
            self.assertEqual(502, answer.status)
            self.assertLess(grace_s * 5 / 6, drained_after_s)
            self.assertLess(drained_after_s, grace_s)

        async def check(fleet):
            for replica in fleet.registers:
                replica.faults = [Fault.NO_RESPONSE] * 20
            await asyncio.gather(
                *(
                    measure(fleet, gateway, grace_s)
                    for gateway, grace_s in zip(
                        fleet.live, (1.0, 2.0, 3.0, 4.0), strict=True
                    )
                )
            )

        run_fleet(check, gateways=4)
