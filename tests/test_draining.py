"""Tests of the graceful shutdown (promises P7 and P9 in docs/design.md)."""

import random

import anyio
import testtools
from loguru import logger

from snipetrestle.batches import BatchHolder, BatchItem
from snipetrestle.draining import drain_daemon
from snipetrestle.peers.members import MemberState
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.engine import expected_text
from snipetrestle_standins.replica_fleet import ReplicaFleet, engine_configuration


class _RecordingComponent:
    """Component whose drain takes one second and is recorded in ``steps``."""

    def __init__(self, name, steps, error=None):
        self._name = name
        self._steps = steps
        self._error = error

    async def drain(self):
        self._steps.append(f"{self._name} begins")
        await anyio.sleep(1.0)
        if self._error is not None:
            raise self._error
        self._steps.append(f"{self._name} ends")


class _DelayedLeave:
    """Membership whose leave announcement reaches the other members with a delay."""

    def __init__(self, fleet, name, steps, delay_s=0.5):
        self._fleet = fleet
        self._name = name
        self._steps = steps
        self._delay_s = delay_s

    async def leave(self):
        self._steps.append("announced")
        self._fleet.daemons_by_name[self._name].leave()
        self._fleet._task_group.start_soon(self._announce)

    async def _announce(self):
        await anyio.sleep(self._delay_s)
        self._fleet.set_member_state_everywhere(self._name, MemberState.LEAVING)


class DrainTest(testtools.TestCase):
    def run_fleet(self, function, checks_fencing_numbers):
        async def main():
            configuration = engine_configuration(2, checks_fencing_numbers)
            async with ReplicaFleet(configuration, daemons=4) as fleet:
                await function(fleet)

        logger.disable("snipetrestle")
        self.addCleanup(logger.enable, "snipetrestle")
        run_in_virtual_time(main)

    async def check_answer(self, fleet, name, adapter, max_tokens, finished_prompts):
        prompt, text = await fleet.send_request(name, adapter, "1", max_tokens)
        self.assertEqual(expected_text(adapter, "1", prompt, max_tokens), text)
        finished_prompts.append(prompt)

    def add_batches(self, fleet):
        """Adds a BatchHolder to each daemon, which runs its items on the fleet."""
        holders_by_name = {}

        for number, (name, daemon) in enumerate(fleet.daemons_by_name.items()):

            async def run_item(batch_id, index, customer, item, time_left_s, name=name):
                prompt, text = await fleet.send_request(
                    name, item.model, "1", item.max_tokens
                )
                return text, "length"

            holders_by_name[name] = BatchHolder(
                daemon.membership,
                daemon.transport,
                daemon.router,
                run_item,
                lambda customer: 1000,
                random.Random(number),
            )
            fleet._task_group.start_soon(holders_by_name[name].run)
        return holders_by_name

    async def drain_under_load(self, fleet, error=None):
        holders_by_name = self.add_batches(fleet)
        await anyio.sleep(0.1)
        items = [BatchItem(f"adapter-{n % 4}", f"p{n}", 10) for n in range(30)]
        leaving_name = fleet.owner_candidates()[0]
        others = [name for name in fleet.names if name != leaving_name]
        batch_id = await holders_by_name[others[0]].submit("consorzio", items, 3600.0)
        steps, finished_prompts = [], []
        async with anyio.create_task_group() as group:
            # Twelve requests on four slots: eight are queued at the leaving daemon.
            for number in range(12):
                name = (leaving_name, *others)[number % 4]
                group.start_soon(
                    self.check_answer,
                    fleet,
                    name,
                    f"adapter-{number % 3}",
                    120,
                    finished_prompts,
                )
            await anyio.sleep(1.0)
            await drain_daemon(
                _DelayedLeave(fleet, leaving_name, steps),
                fleet.daemons_by_name[leaving_name].ownership,
                holders_by_name[leaving_name],
                _RecordingComponent("callers", steps, error),
                _RecordingComponent("writes", steps),
            )
            # All requests of the drained daemon's callers have been answered.
            self.assertEqual(
                (), fleet.daemons_by_name[leaving_name].ownership.owned_names()
            )
            self.assertFalse(fleet.daemons_by_name[leaving_name].ownership.busy)
            self.assertEqual(0, holders_by_name[leaving_name].held_batches)
            fleet.kill(leaving_name)
        self.assertEqual(12, len(finished_prompts))
        self.assertEqual([], fleet.engine().in_use_evictions)
        status = await holders_by_name[others[0]].status(batch_id)
        while status.state == "running":
            await anyio.sleep(1.0)
            status = await holders_by_name[others[0]].status(batch_id)
        self.assertEqual((30, 0), (status.done, status.failed))
        return steps

    def test_drain_completes_streams_and_queued_work(self):
        """A shutdown must not abort streams or lose queued work."""

        async def check(fleet):
            steps = await self.drain_under_load(fleet)
            self.assertEqual("announced", steps[0])
            self.assertEqual({"callers ends", "writes ends"}, set(steps[-2:]))

        for checks_fencing_numbers in (True, False):
            self.run_fleet(check, checks_fencing_numbers)

    def test_a_failed_step_does_not_end_the_drain(self):
        """If a step fails, replicas and batches must still move."""

        async def check(fleet):
            steps = await self.drain_under_load(fleet, RuntimeError("injected failure"))
            self.assertIn("writes ends", steps)

        self.run_fleet(check, True)
