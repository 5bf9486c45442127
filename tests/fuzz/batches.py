"""Batches: submissions, planned stops and the loss of holders."""

import collections

import hypothesis.strategies as st
from hypothesis.stateful import initialize, precondition, rule

from snipetrestle.batches import BatchHolder
from snipetrestle.codes import ServingError
from snipetrestle.peers.members import MemberState
from snipetrestle_standins.batch_fleet import (
    CUSTOMER,
    BatchFleet,
    expected_answer,
    make_items,
)
from tests.fuzz.base import NAMES, BaseMachine, Counters, names, subsets, waits
from tests.fuzz.oracle import BatchOracle

# Longer than the silence after which a holder is replaced, so that a batch has two
# holders again before the next one is lost.
RECOVERY_S = 30.0


class CountingFleet(BatchFleet):
    """Counts how often each item was started."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.starts_by_prompt = collections.Counter()

    async def run_item(self, daemon, batch_id, index, customer, item, time_left_s):
        self.starts_by_prompt[item.prompt] += 1
        return await super().run_item(
            daemon, batch_id, index, customer, item, time_left_s
        )


class BatchMachine(BaseMachine):
    """P3, P7 and P9 of batches. Tests replace the class to switch a guard off."""

    holder_class = BatchHolder
    end_s = 100.0

    @initialize(planned=st.booleans())
    def start(self, planned):
        self.planned = planned
        self.open(CountingFleet(len(NAMES), holder_class=self.holder_class), 0)
        self.batches = BatchOracle(self.fleet)
        self.oracles.append(self.batches)
        self.submitted = 0

    async def _submit(self, name, items):
        try:
            batch_id = await self.fleet.holder(name).submit(CUSTOMER, items, 3600.0)
        except ServingError as error:
            Counters.answers[error.code.number] += 1
            return
        Counters.answers[0] += 1
        self.batches.texts_by_id[batch_id] = [expected_answer(item) for item in items]

    @precondition(lambda self: self.submitted < 4)
    @rule(name=names, count=st.integers(1, 12), seconds=waits)
    def submit(self, name, count, seconds):
        if not self.live(name):
            return
        self.submitted += 1
        items = make_items(100 * self.submitted + count)[100 * self.submitted :]
        self.world.send(self._submit(name, items))
        self.world.advance(seconds)

    async def _drain(self, name):
        self.fleet.set_member_states(**{name.replace("-", "_"): MemberState.LEAVING})
        await self.fleet.holder(name).drain()

    @rule(name=names)
    def stop_as_planned(self, name):
        """Drains a daemon and starts it again."""
        if not self.live(name):
            return
        for other in NAMES:
            self.resume(other)
        self.heal()
        self.world.run(self._drain(name))
        self.world.do(self.fleet.start, name)
        self.world.advance(2.0)

    def _begin_fault(self):
        if self.planned:
            return False
        self.batches.only_planned_stops = False
        return True

    @rule(name=names)
    def lose_one(self, name):
        """Replaces one daemon with an empty one and waits for its batches' copies."""
        if self._begin_fault():
            self._end_other_faults()
            self.world.do(self.fleet.start, name)
            self.world.advance(RECOVERY_S)

    def _end_other_faults(self):
        self.heal()
        for name in NAMES:
            self.resume(name)
        self.world.advance(RECOVERY_S)

    def pause(self, name):
        if self._begin_fault():
            super().pause(name)

    def partition(self, side):
        if self._begin_fault():
            super().partition(side)

    async def _finish(self, batch_id):
        status = await self.fleet.wait_finished(batch_id)
        if status.state == "lost":
            return status.state, []
        results = await self.fleet.holder().results(batch_id)
        return status.state, [item.text for item in results]

    def repair(self):
        super().repair()
        self.fleet.set_member_states()

    def check_end(self):
        super().check_end()
        for batch_id in self.batches.texts_by_id:
            state, texts = self.world.run(self._finish(batch_id))
            self.batches.check_batch(batch_id, state, texts)

    pause_rule = rule(name=names)(pause)
    partition_rule = rule(side=subsets)(partition)
