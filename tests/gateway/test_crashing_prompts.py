"""Tests of prompts that crash the replicas which begin to answer them."""

import asyncio

import testtools
from loguru import logger

from snipetrestle.events import Event
from snipetrestle.gateway.quarantine.prompt_quarantine import MIN_CRASHES
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet

# How long all hosts may take to learn which part of a prompt crashes replicas.
LEARNING_TIME_S = 3.0
CRASHES_TO_LEARN_FROM = 5
SOUND_REQUESTS = 24


def prefix(*shared_parts):
    """Returns the header of a prompt with these parts and one of its own."""
    parts = ",".join(f"{part}:100" for part in (*shared_parts, "own"))
    return [("X-Prompt-Prefix", parts)]


class CrashingPromptTest(testtools.TestCase):
    request_count = 0

    async def send(self, fleet, gateway, *shared_parts):
        """Sends a request whose body no other one has."""
        self.request_count += 1
        return await fleet.send_request(
            "/night/a",
            gateway,
            adapter="",
            headers=prefix(*shared_parts),
            body=b"%d" % self.request_count,
        )

    def test_prompts_with_a_part_that_crashes_replicas_are_refused_by_all_hosts(self):
        """Requests with such a part crashed one replica after the other."""

        async def check(fleet):
            for replica in fleet.models:
                replica.crashing_parts = {"bad"}

            def crashes():
                return sum(replica.crash_count for replica in fleet.models)

            for gateway in fleet.gateways:
                answer = await self.send(fleet, gateway, "system", "customer")
                self.assertEqual(200, answer.status)
            number = 0
            while crashes() < CRASHES_TO_LEARN_FROM and number < 60:
                gateway = fleet.gateways[number % len(fleet.gateways)]
                await self.send(fleet, gateway, "system", "customer", "bad")
                await asyncio.sleep(0.15)
                number += 1
            await asyncio.sleep(LEARNING_TIME_S)
            crashes_before = crashes()
            for gateway in fleet.gateways * 4:
                bad, good = await asyncio.gather(
                    self.send(fleet, gateway, "system", "customer", "bad"),
                    self.send(fleet, gateway, "system", "customer"),
                )
                self.assertEqual((503, 200), (bad.status, good.status))
            self.assertEqual(crashes_before, crashes())

        run_fleet(check, gateways=3, models=3)

    def test_sound_prompts_with_the_same_first_part_begin_at_the_first_attempt(self):
        """Sound streams were refused or moved while prompts with a bad part came."""

        async def check(fleet):
            for replica in fleet.models:
                replica.crashing_parts = {"bad"}
            number = 0
            while sum(replica.crash_count for replica in fleet.models) < MIN_CRASHES:
                gateway = fleet.gateways[number % len(fleet.gateways)]
                await self.send(fleet, gateway, "system", "customer", "bad")
                await asyncio.sleep(0.15)
                number += 1
            await asyncio.sleep(2 * LEARNING_TIME_S)
            for replica in fleet.models:
                replica.runs.clear()
            sound = []
            for index in range(SOUND_REQUESTS):
                gateway = fleet.gateways[index % len(fleet.gateways)]
                _, answer = await asyncio.gather(
                    self.send(fleet, gateway, "system", "customer", "bad"),
                    self.send(fleet, gateway, "system", f"customer-{index % 5}"),
                )
                sound.append(answer.status)
            attempts = sum(len(replica.runs) for replica in fleet.models)
            self.assertEqual([200] * SOUND_REQUESTS, sound)
            self.assertEqual(SOUND_REQUESTS, attempts)

        run_fleet(check, gateways=3, models=3)


class LostStreamLogTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.records = []
        handler = logger.add(lambda message: self.records.append(message.record))
        self.addCleanup(logger.remove, handler)

    def test_prompt_of_a_stream_lost_before_its_first_event_is_logged(self):
        """The logs did not show which prompts a replica was starting as it crashed."""

        async def check(fleet):
            replica = fleet.models[0]
            replica.crashing_parts = {"bad"}
            await fleet.send_request(
                "/night/a", adapter="", headers=prefix("system", "bad")
            )
            self.assertEqual(1, replica.crash_count)
            self.assertIn(
                b'streams_lost_before_event_total{route="night"} 1.0',
                fleet.live[0].metrics.render(),
            )

        run_fleet(check, models=1)
        [line] = [
            record["extra"]
            for record in self.records
            if record["extra"].get("event") == str(Event.REQUEST_LOST_BEFORE_ANSWER)
        ]
        self.assertEqual(
            ("model-0", 1, ("system", "bad")),
            (line["replica"], line["boot"], line["prompt_parts"]),
        )
        self.assertRegex(line["fingerprint"], "^[0-9a-f]{16}$")


class ResetStreamTest(testtools.TestCase):
    def test_reset_of_one_stream_is_no_crash(self):
        """A replica that resets single streams had their prompts taken for the cause of
        a crash, and later ones were not retried."""

        async def check(fleet):
            gateway = fleet.live[0]
            # Another stream keeps its connection.
            for replica in fleet.models:
                replica.event_interval_s = 0.4
            others = [
                asyncio.create_task(fleet.send_request("/draft/a", adapter=""))
                for _ in range(8)
            ]
            await asyncio.sleep(0.15)
            for _ in range(8):
                for replica in fleet.models:
                    replica.faults = [Fault.RESET]
                await fleet.send_request(
                    "/night/a", adapter="", headers=prefix("system", "rare")
                )
                await asyncio.sleep(0.12)
            self.assertFalse(
                gateway.crash_quarantine.prompts.forbids_retry(("system", "rare"))
            )
            answers = await asyncio.gather(*others)
            self.assertEqual({200}, {answer.status for answer in answers})

        run_fleet(check)
