"""Tests of single requests that crash each replica which begins to run them."""

import asyncio

import testtools

from tests.gateway.running import run_fleet

# How long all hosts may take to learn which request crashes replicas, and how many
# replicas it may crash before.
LEARNING_TIME_S = 3.0
CRASHES_TO_LEARN_FROM = 3
# Repetitions that may reach replicas after that time.
MAX_LATE_RETRIES = 3
REPETITION_INTERVAL_S = 0.15
MAX_REPETITIONS = 20
PROMPT = [("X-Prompt-Prefix", "system:100,customer:100,own:50")]


class CrashingRequestTest(testtools.TestCase):
    async def check_refused(self, fleet, replicas, bad, good, **options):
        """Repeats a request that crashes replicas beside a sound one of its caller."""
        for replica in replicas:
            replica.crashing_targets = {bad}

        def crashes():
            return sum(replica.crash_count for replica in replicas)

        for number in range(MAX_REPETITIONS):
            gateway = fleet.gateways[number % len(fleet.gateways)]
            await fleet.send_request(bad, gateway, **options)
            await asyncio.sleep(REPETITION_INTERVAL_S)
            await fleet.send_request(good, gateway, **options)
            if crashes() > CRASHES_TO_LEARN_FROM:
                break
        await asyncio.sleep(LEARNING_TIME_S)
        crashes_before = crashes()
        statuses, sound_statuses = [], []
        for gateway in fleet.gateways * 4:
            answer, sound_answer = await asyncio.gather(
                fleet.send_request(bad, gateway, **options),
                fleet.send_request(good, gateway, **options),
            )
            statuses.append(answer.status)
            sound_statuses.append(sound_answer.status)
        self.assertLessEqual(crashes_before, CRASHES_TO_LEARN_FROM)
        self.assertLessEqual(crashes() - crashes_before, MAX_LATE_RETRIES)
        self.assertEqual([503] * len(statuses), statuses)
        self.assertEqual([200] * len(statuses), sound_statuses)

    def test_stream_that_crashes_replicas_is_refused_by_all_hosts(self):
        """Sound prompts with the same parts cleared it, so each repetition was run."""

        async def check(fleet):
            options = {"adapter": "", "headers": PROMPT, "body": b"prompt"}
            await self.check_refused(
                fleet, fleet.models, "/draft/bad", "/draft/good", **options
            )

        run_fleet(check, gateways=3, models=3)

    def test_idempotent_call_that_crashes_replicas_is_refused_by_all_hosts(self):
        """Requests without a prompt were sent again without end."""

        async def check(fleet):
            await self.check_refused(
                fleet, fleet.registers, "/lookup/bad", "/lookup/good", method="GET"
            )

        run_fleet(check, gateways=3, registers=3)

    def test_non_idempotent_call_that_crashes_replicas_is_refused_by_all_hosts(self):
        """Each repetition by its caller crashed one more replica."""

        async def check(fleet):
            await self.check_refused(
                fleet, fleet.registers, "/entry/bad", "/entry/good", body=b"content"
            )

        run_fleet(check, gateways=3, registers=3)
