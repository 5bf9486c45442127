"""Base class of the fuzzing state machines: daemons, faults, time, oracles, totals."""

import collections

import anyio
import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.fuzz.world import FleetRunner

DAEMON_NAMES = [f"entry-{number}" for number in range(6)]
daemon_names = st.sampled_from(DAEMON_NAMES)
daemon_subsets = st.lists(daemon_names, min_size=1, max_size=5, unique=True).map(sorted)
# Seconds, from a fraction of one message's delay to longer than any time-out.
wait_times_s = st.sampled_from(
    [0.0, 0.0003, 0.0006, 0.0011, 0.0021, 0.05, 0.6, 2.5, 7.0]
)
# How many daemons may lose their memory in one example. Without this limit most
# examples soon lose the memory of a majority, and little is tested after that.
stop_budgets = st.sampled_from([0, 1, 2, 3, 20])


class Counters:
    """Totals over all examples that this process ran."""

    steps = 0
    examples = 0
    # Answers to callers by result code; 0 is a success, None a lost connection.
    answers_by_code = collections.Counter()


class BaseMachine(RuleBasedStateMachine):
    """Runs a fleet with faults of daemons and network, and checks it with oracles.

    A fleet has ``daemons_by_name``, ``network``, ``start(name)`` and ``kill(name)``.
    ``check()`` of each oracle runs after every step, and ``check_end(open_callers)``
    once all faults have ended. A subclass calls ``open_fleet`` in its first step.
    ``settle_time_s`` is the time between the end of the faults and the last checks; it
    is longer than any caller waits.
    """

    settle_time_s = 30.0

    def __init__(self):
        super().__init__()
        self.runner = None
        self.oracles = []
        self.remaining_stops = 0
        self.connections_by_name = {}

    def open_fleet(self, fleet, stop_budget):
        """Starts the fleet; ``stop_budget`` daemons may lose their memory."""
        Counters.examples += 1
        self.remaining_stops = stop_budget
        self.fleet = fleet
        self.runner = FleetRunner(fleet)

    def is_running(self, name):
        return name in self.fleet.daemons_by_name

    def take_stop(self, name):
        """Takes one stop from the budget and cuts the daemon's connections to callers.

        Returns False, and does nothing, if the budget is used up or the daemon is down.
        """
        if self.remaining_stops == 0 or not self.is_running(name):
            return False
        self.remaining_stops -= 1
        self.runner.call(self.close_connections, name)
        return True

    def close_connections(self, name):
        """Breaks the connections of the callers of a daemon that stops."""
        for connection in self.connections_by_name.pop(name, ()):
            connection.cancel()

    async def call_entry(self, name, call):
        """Awaits a call that a caller makes to daemon ``name``.

        Returns (True, result), or (False, None) if the daemon stopped during the call.
        """
        with anyio.CancelScope() as connection:
            self.connections_by_name.setdefault(name, []).append(connection)
            return True, await call
        return False, None

    @rule(seconds=wait_times_s)
    def advance(self, seconds):
        self.runner.advance(seconds)

    @rule(name=daemon_names)
    def pause(self, name):
        if self.is_running(name):
            self.runner.call(self.fleet.network.pause, name)

    @rule(name=daemon_names)
    def resume(self, name):
        if self.is_running(name):
            self.runner.call(self.fleet.network.resume, name)

    @rule(name=daemon_names)
    def kill(self, name):
        if self.take_stop(name):
            self.runner.call(self.fleet.kill, name)

    @rule(name=daemon_names)
    def replace_with_empty(self, name):
        if self.is_running(name) and not self.take_stop(name):
            return
        self.runner.call(self.fleet.start, name)
        self.runner.advance(0.0003)

    @rule(side=daemon_subsets)
    def partition(self, side):
        other_side = [name for name in DAEMON_NAMES if name not in side]
        self.fleet.network.partition(side, other_side)

    @rule()
    def heal(self):
        self.fleet.network.heal()

    @invariant()
    def check(self):
        Counters.steps += 1
        for oracle in self.oracles:
            oracle.check()

    def repair(self):
        """Ends all faults and starts the daemons that are down."""
        self.fleet.network.heal()
        for name in DAEMON_NAMES:
            if not self.is_running(name):
                self.fleet.start(name)
            self.fleet.network.resume(name)

    def check_end(self):
        """Checks what must hold ``settle_time_s`` after all faults have ended."""
        for oracle in self.oracles:
            oracle.check_end(self.runner.open_callers())

    def teardown(self):
        if self.runner is None:
            return
        try:
            self.runner.call(self.repair)
            self.runner.advance(self.settle_time_s)
            self.check_end()
        finally:
            self.runner.close()
