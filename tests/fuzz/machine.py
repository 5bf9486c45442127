"""Rule-based state machine over a few daemons' objects.

``FaultRules`` has the rules that concern daemons and the network. Each part of the
system adds a class of rules with its own oracle; ``FleetMachine`` combines them.
"""

import collections

import hypothesis.strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from snipetrestle.writes import Keeper, WriteCoordinator
from snipetrestle_standins.service import ServiceFaults
from snipetrestle_standins.writes_fleet import Fleet, daemon_entries, make_configuration
from tests.fuzz.oracle import WriteOracle, require
from tests.fuzz.world import World

NAMES = [f"entry-{number}" for number in range(6)]
KEYS = ["k1", "k2", "k3"]
names = st.sampled_from(NAMES)
subsets = st.lists(names, min_size=1, max_size=5, unique=True).map(sorted)
# From a fraction of one message's delay to longer than any time-out.
waits = st.sampled_from([0.0, 0.0003, 0.0006, 0.0011, 0.0021, 0.05, 0.6, 2.5, 7.0])
# Longer than the time that any caller of these rules waits.
END_S = 30.0


class Counters:
    """Totals over all examples of one process."""

    steps = 0
    examples = 0
    # How often each code was told (0: a result, None: the connection broke).
    answers_by_code = collections.Counter()


class FaultRules:
    """Pauses, kills, replacements, partitions and membership views."""

    def may_stop(self, name):
        """Takes one from the example's budget of daemons that stop or lose their memory.

        Without a budget most examples soon lose a majority of the keepers, after which
        every write is unknown and little is tried.
        """
        if self.stops_left == 0 or not self.live(name):
            return False
        self.stops_left -= 1
        return True

    def live(self, name):
        return name in self.fleet.daemons_by_name

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

    @rule(name=names)
    def replace_while_paused(self, name):
        if len(self.old_runs) < 2 and self.may_stop(name):
            self.world.do(self.fleet.network.pause, name)
            self.old_runs.append(self.world.do(self.fleet.replace_paused, name))
            self.world.advance(0.0003)

    @precondition(lambda self: self.old_runs)
    @rule()
    def resume_old_run(self):
        self.world.do(self.old_runs.pop().endpoint.resume)

    @rule(side=subsets)
    def partition(self, side):
        rest = [name for name in NAMES if name not in side]
        self.fleet.network.partition(side, rest)

    @rule()
    def heal(self):
        self.fleet.network.heal()

    @rule(name=names, members=subsets)
    def limit_view(self, name, members):
        if self.live(name):
            self.fleet.limit_view(name, members)

    def repair(self):
        """Ends all faults, so that what must hold in the end can be checked."""
        self.fleet.network.heal()
        while self.old_runs:
            self.old_runs.pop().endpoint.resume()
        for name in NAMES:
            if not self.live(name):
                self.fleet.start(name)
            self.fleet.network.resume(name)
            self.fleet.limit_view(name, NAMES)
            self.fleet.publish(self.fleet.configuration, [name])


class WriteRules:
    """Requests with few keys and bodies, and the service's faults."""

    async def _write(self, name, key, body, operation, time_left_s):
        code, answer = await self.fleet.write(name, key, operation, body, time_left_s)
        Counters.answers_by_code[code] += 1
        self.writes.tell(key, body, code, answer)

    @rule(
        name=names,
        key=st.sampled_from(KEYS),
        body=st.sampled_from([b"1", b"1", b"1", b"2"]),
        operation=st.sampled_from(["plain", "enter"]),
        time_left_s=st.sampled_from([0.1, 1.0, 6.0]),
        seconds=waits,
    )
    def send(self, name, key, body, operation, time_left_s, seconds):
        # The operation is part of the request, so it is part of the body here.
        body = body + operation.encode()
        self.sent.append((key, body, operation))
        self.world.send(self._write(name, key, body, operation, time_left_s))
        self.world.advance(seconds)

    @precondition(lambda self: self.sent)
    @rule(name=names, seconds=st.sampled_from([0.0, 0.0011, 2.5, 7.0, 7.0]))
    def retry_last_elsewhere(self, name, seconds):
        self.world.send(self._write(name, *self.sent[-1], 6.0))
        self.world.advance(seconds)

    @rule(
        key=st.sampled_from(KEYS),
        operation=st.sampled_from(["plain", "enter"]),
        seconds=waits,
    )
    def send_to_all(self, key, operation, seconds):
        for name in NAMES:
            body = b"1" + operation.encode()
            self.world.send(self._write(name, key, body, operation, 6.0))
        self.world.advance(seconds)

    @rule(
        name=names,
        key=st.sampled_from(KEYS),
        operation=st.sampled_from(["plain", "enter"]),
        seconds=st.sampled_from([0.0003, 0.0006, 0.0008, 0.0011, 0.0016, 0.0026]),
    )
    def pause_home_during_write(self, name, key, operation, seconds):
        """Stops the home between two of its messages."""
        self.send(name, key, b"1", operation, 6.0, seconds)
        self.pause(self.fleet.home_of(key))

    @rule(
        run_delay_s=st.sampled_from([0.0, 0.0, 3.0]),
        answer_delay_s=st.sampled_from([0.0, 0.0, 1.0, 4.0]),
        lose_answers=st.sampled_from([0, 0, 1]),
        refuse_connections=st.sampled_from([0, 0, 1, 30]),
    )
    def change_service(self, **faults):
        for name, value in faults.items():
            setattr(self.fleet.service.faults, name, value)

    def repair_service(self):
        faults = self.fleet.service.faults
        faults.run_delay_s = faults.answer_delay_s = 0.0
        faults.lose_answers = faults.refuse_connections = 0

    def check_new_write(self):
        """A new key can be written once all faults have ended and keepers are ready."""
        daemons = self.fleet.daemons_by_name.values()
        if not all(daemon.keeper.is_ready() for daemon in daemons):
            return
        code, answer = self.world.run(self.fleet.write(NAMES[0], "fresh"))
        require(code == 0, "availability", f"a new write ended in {code}: {answer}")


class EpochRules:
    """Changes of the published daemon names, which reach the daemons one by one."""

    def make(self, **writes):
        return make_configuration(
            checks_fencing_numbers=self.checks, start="existing", **writes
        )

    @precondition(lambda self: self.fleet.configuration.writes.epoch < 3)
    @rule(left_out=names)
    def next_epoch(self, left_out):
        current = self.fleet.configuration
        if current.writes.previous is not None:
            return
        previous = {
            "epoch": current.writes.epoch,
            "daemons": daemon_entries([item.name for item in current.daemons]),
        }
        self.fleet.configuration = self.make(
            names=[name for name in NAMES if name != left_out],
            epoch=current.writes.epoch + 1,
            previous=previous,
        )

    @rule(name=names)
    def spread_configuration(self, name):
        if self.live(name):
            self.world.do(self.fleet.publish, self.fleet.configuration, [name])

    @rule()
    def finish_epoch(self):
        """Operators remove ``previous`` once all daemons report that they are ready."""
        current = self.fleet.configuration
        daemons = self.fleet.daemons_by_name
        ready = all(
            self.live(name)
            and daemons[name].applied is current
            and daemons[name].keeper.is_ready()
            for name in NAMES
        )
        if ready and current.writes.previous is not None:
            self.fleet.configuration = self.make(
                names=[item.name for item in current.daemons],
                epoch=current.writes.epoch,
            )


class FleetMachine(FaultRules, WriteRules, EpochRules, RuleBasedStateMachine):
    """All rules. Tests replace the classes to switch a guard off."""

    keeper_class = Keeper
    coordinator_class = WriteCoordinator
    # None: as configured, which is drawn for each example.
    service_checks = None

    def __init__(self):
        super().__init__()
        self.world = None
        self.old_runs = []
        self.sent = []

    @initialize(checks=st.booleans(), stops=st.sampled_from([0, 1, 2, 3, 20]))
    def start(self, checks, stops):
        self.stops_left = stops
        Counters.examples += 1
        self.checks = checks
        service_checks = checks if self.service_checks is None else self.service_checks
        self.fleet = Fleet(
            make_configuration(names=NAMES, checks_fencing_numbers=checks),
            self.keeper_class,
            self.coordinator_class,
            ServiceFaults(checks_fencing_numbers=service_checks),
        )
        self.world = World(self.fleet)
        self.world.do(self.fleet.publish, self.make(names=NAMES))
        self.writes = WriteOracle(self.fleet.service)

    @invariant()
    def check(self):
        Counters.steps += 1
        if self.world is not None:
            self.writes.check()

    def teardown(self):
        if self.world is None:
            return
        try:
            self.world.do(self.repair)
            self.repair_service()
            self.world.advance(END_S)
            self.writes.check_end(self.world.open_callers())
            self.check_new_write()
        finally:
            self.world.close()
