"""Tests that late answers of the store, changes and snapshots bring nothing back.

A host learns of changes by its own calls, by changes that another host passes on and by
snapshots of other hosts. Each of them may be held up, lost or overtaken by another.
"""

import random

import anyio
import testtools

from snipetrestle.gateway.publication.published_items import Origin, Way
from snipetrestle_standins.store_relay_fleet import PREFIX, run_system

HOST_COUNT = 4
KEYS = [f"servers/r{number}" for number in range(6)]
ROUNDS = 20
# Some cuts are shorter than the time after which a call fails, others longer.
MAX_CUT_S = 3.0
MAX_QUIET_S = 2.5
CHECK_INTERVAL_S = 0.02
# Longer than any call, pause or cut.
SETTLE_S = 10.0
SEEDS = range(1, 13)


class Run:
    """Random changes of a store, cuts of its hosts and snapshots between them."""

    def __init__(self, system, seed):
        self._system = system
        self._rng = random.Random(seed)
        self._is_over = False
        self.problems = []

    async def play(self):
        self._system.network.loss_rate = 0.1
        async with anyio.create_task_group() as group:
            group.start_soon(self._copy)
            group.start_soon(self._watch)
            for _ in range(ROUNDS):
                # Calls that wait at the store are the ones whose answers are held up.
                await anyio.sleep(self._rng.uniform(0.5, MAX_QUIET_S))
                await self._play_round()
            self._is_over = True
        await anyio.sleep(SETTLE_S)
        self._check()

    async def _play_round(self):
        """Changes the store several times while some hosts are cut off from it."""
        names = [member.name for member in self._system.members]
        async with anyio.create_task_group() as group:
            for name in self._rng.sample(names, self._rng.randint(1, 2)):
                group.start_soon(self._cut, name)
            for _ in range(self._rng.randint(3, 10)):
                await anyio.sleep(self._rng.uniform(0.01, 0.4))
                self._change()

    def _change(self):
        store = self._system.store
        key = self._rng.choice(KEYS)
        if key in store.items_by_key and self._rng.random() < 0.5:
            store.delete(key)
        else:
            store.put(key)

    async def _cut(self, name):
        store = self._system.store
        store.cut_off(name)
        await anyio.sleep(self._rng.uniform(0.1, MAX_CUT_S))
        store.heal(name)

    async def _copy(self):
        """Gives hosts without the store snapshots of others, some of them late."""
        members = self._system.members
        async with anyio.create_task_group() as group:
            while not self._is_over:
                await anyio.sleep(0.1)
                for member in members:
                    if member.state.is_unreachable(PREFIX):
                        group.start_soon(
                            self._deliver, self._rng.choice(members), member
                        )

    async def _deliver(self, sender, receiver):
        snapshot = sender.state.snapshot(PREFIX)
        await anyio.sleep(self._rng.uniform(0.0, 0.5))
        origin = Origin(Way.SNAPSHOT, sender.name)
        receiver.state.replace_items(PREFIX, snapshot, origin)

    async def _watch(self):
        while not self._is_over:
            await anyio.sleep(CHECK_INTERVAL_S)
            self._check()

    def _check(self):
        """Compares what hosts know with the store as it was at their revisions."""
        for member in self._system.members:
            feed = member.state.feeds[PREFIX]
            last_by_key = {
                item.key: item
                for item in self._system.store.history
                if item.revision <= feed.revision
            }
            for key, last in last_by_key.items():
                known = feed.items_by_key.get(key)
                if known is not None and known.revision > last.revision:
                    continue
                if known != (None if last.value is None else last):
                    self.problems.append((member.name, feed.revision, last, known))


class LateAnswersTest(testtools.TestCase):
    def test_hosts_know_the_store_as_it_was_at_their_revision(self):
        """An answer that was held up put the entry of a removed replica back, and the
        next watch began after its removal: review/6."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check_seed(seed)

    def check_seed(self, seed):
        async def check(system):
            run = Run(system, seed)
            await run.play()
            self.assertEqual([], run.problems[:3])
            for member in system.members:
                self.assertEqual(
                    system.store.items_by_key,
                    member.state.feeds[PREFIX].items_by_key,
                    member.name,
                )

        run_system(check, HOST_COUNT)
