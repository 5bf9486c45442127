"""Fuzzes batches: submissions, planned stops and the loss of holders."""

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
from tests.fuzz.base import (
    DAEMON_NAMES,
    BaseMachine,
    Counters,
    daemon_names,
    daemon_subsets,
    wait_times_s,
)
from tests.fuzz.oracle import BatchOracle

# Longer than the time without an answer after which a holder is replaced, so that a
# batch has two holders again before the next one is lost.
RECOVERY_S = 30.0


class CountingFleet(BatchFleet):
    """Batch fleet that counts how often each item was started."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.starts_by_prompt = collections.Counter()

    async def run_item(self, daemon, batch_id, index, customer, item, time_left_s):
        self.starts_by_prompt[item.prompt] += 1
        return await super().run_item(
            daemon, batch_id, index, customer, item, time_left_s
        )


class BatchMachine(BaseMachine):
    """Checks P3, P7 and P9 of batches.

    Tests replace ``holder_class`` by one that lacks a safeguard.
    """

    holder_class = BatchHolder
    settle_time_s = 100.0

    @initialize(planned_stops_only=st.booleans())
    def start(self, planned_stops_only):
        self.planned_stops_only = planned_stops_only
        self.open_fleet(
            CountingFleet(len(DAEMON_NAMES), holder_class=self.holder_class), 0
        )
        self.oracle = BatchOracle(self.fleet)
        self.oracles.append(self.oracle)
        self.submitted_count = 0

    async def _submit(self, name, items):
        try:
            batch_id = await self.fleet.holder(name).submit(CUSTOMER, items, 3600.0)
        except ServingError as error:
            Counters.answers_by_code[error.code.number] += 1
            return
        Counters.answers_by_code[0] += 1
        self.oracle.expected_texts_by_id[batch_id] = [
            expected_answer(item) for item in items
        ]

    @precondition(lambda self: self.submitted_count < 4)
    @rule(name=daemon_names, count=st.integers(1, 12), seconds=wait_times_s)
    def submit(self, name, count, seconds):
        if not self.is_running(name):
            return
        self.submitted_count += 1
        items = make_items(100 * self.submitted_count + count)[
            100 * self.submitted_count :
        ]
        self.runner.start_caller(self._submit(name, items))
        self.runner.advance(seconds)

    async def _drain(self, name):
        self.fleet.set_member_states(**{name.replace("-", "_"): MemberState.LEAVING})
        await self.fleet.holder(name).drain()

    @rule(name=daemon_names)
    def stop_as_planned(self, name):
        """Drains a daemon and starts it again."""
        if not self.is_running(name):
            return
        for other in DAEMON_NAMES:
            self.resume(other)
        self.heal()
        self.runner.run(self._drain(name))
        self.runner.call(self.fleet.start, name)
        self.runner.advance(2.0)

    def _begin_unplanned_fault(self):
        """Tells the oracle about the fault. Returns False if none is allowed."""
        if self.planned_stops_only:
            return False
        self.oracle.only_planned_stops = False
        return True

    @rule(name=daemon_names)
    def lose_daemon(self, name):
        """Replaces a daemon with an empty one and waits until its batches are copied.

        No other fault is in force meanwhile.
        """
        if self._begin_unplanned_fault():
            self._end_other_faults()
            self.runner.call(self.fleet.start, name)
            self.runner.advance(RECOVERY_S)

    def _end_other_faults(self):
        self.heal()
        for name in DAEMON_NAMES:
            self.resume(name)
        self.runner.advance(RECOVERY_S)

    def pause(self, name):
        if self._begin_unplanned_fault():
            super().pause(name)

    def partition(self, side):
        if self._begin_unplanned_fault():
            super().partition(side)

    async def _fetch_results(self, batch_id):
        """Waits for the end of a batch; returns its state and the items' texts."""
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
        for batch_id in self.oracle.expected_texts_by_id:
            state, texts = self.runner.run(self._fetch_results(batch_id))
            self.oracle.check_batch(batch_id, state, texts)

    pause_rule = rule(name=daemon_names)(pause)
    partition_rule = rule(side=daemon_subsets)(partition)
