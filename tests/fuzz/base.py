"""What all fuzzing machines share: daemons, faults, time, oracles and totals."""

import collections

import anyio
import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.fuzz.world import World

NAMES = [f"entry-{number}" for number in range(6)]
names = st.sampled_from(NAMES)
subsets = st.lists(names, min_size=1, max_size=5, unique=True).map(sorted)
# From a fraction of one message's delay to longer than any time-out.
waits = st.sampled_from([0.0, 0.0003, 0.0006, 0.0011, 0.0021, 0.05, 0.6, 2.5, 7.0])
# Without a budget most examples soon lose a majority of the daemons' memory, after which
# little is tried.
stop_budgets = st.sampled_from([0, 1, 2, 3, 20])


class Counters:
    """Totals over all examples of one process."""

    steps = 0
    examples = 0
    # How often each kind of answer was told.
    answers = collections.Counter()


class BaseMachine(RuleBasedStateMachine):
    """A fleet in a World with the faults of daemons and network, and its oracles.

    A fleet has ``daemons_by_name``, ``network``, ``start(name)`` and ``kill(name)``. Each
    oracle has ``check()`` and ``check_end(open_callers)``. A machine calls ``open`` in
    its first step. ``end_s`` is longer than any caller waits.
    """

    end_s = 30.0

    def __init__(self):
        super().__init__()
        self.world = None
        self.oracles = []
        self.stops_left = 0
        self.connections_by_name = {}

    def open(self, fleet, stops):
        Counters.examples += 1
        self.stops_left = stops
        self.fleet = fleet
        self.world = World(fleet)

    def live(self, name):
        return name in self.fleet.daemons_by_name

    def may_stop(self, name):
        """Takes one from the budget of daemons that stop or lose their memory."""
        if self.stops_left == 0 or not self.live(name):
            return False
        self.stops_left -= 1
        self.world.do(self.close_connections, name)
        return True

    def close_connections(self, name):
        """Ends the callers of a daemon that stops; their connections break."""
        for connection in self.connections_by_name.pop(name, ()):
            connection.cancel()

    async def call_entry(self, name, call):
        """Returns (True, result) of a call at an entry, or (False, None) if it stopped."""
        with anyio.CancelScope() as connection:
            self.connections_by_name.setdefault(name, []).append(connection)
            return True, await call
        return False, None

    @rule(seconds=waits)
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(name=names)
    def pause(self, name):
        if self.live(name):
            self.world.do(self.fleet.network.pause, name)

    @rule(name=names)
    def resume(self, name):
        if self.live(name):
            self.world.do(self.fleet.network.resume, name)

    @rule(name=names)
    def kill(self, name):
        if self.may_stop(name):
            self.world.do(self.fleet.kill, name)

    @rule(name=names)
    def replace_with_empty(self, name):
        if self.live(name) and not self.may_stop(name):
            return
        self.world.do(self.fleet.start, name)
        self.world.advance(0.0003)

    @rule(side=subsets)
    def partition(self, side):
        rest = [name for name in NAMES if name not in side]
        self.fleet.network.partition(side, rest)

    @rule()
    def heal(self):
        self.fleet.network.heal()

    @invariant()
    def check(self):
        Counters.steps += 1
        for oracle in self.oracles:
            oracle.check()

    def repair(self):
        """Ends all faults, so that what must hold in the end can be checked."""
        self.fleet.network.heal()
        for name in NAMES:
            if not self.live(name):
                self.fleet.start(name)
            self.fleet.network.resume(name)

    def check_end(self):
        """Checks what must hold some time after all faults have ended."""
        for oracle in self.oracles:
            oracle.check_end(self.world.open_callers())

    def teardown(self):
        if self.world is None:
            return
        try:
            self.world.do(self.repair)
            self.world.advance(self.end_s)
            self.check_end()
        finally:
            self.world.close()
