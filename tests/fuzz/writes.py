"""Writes: requests with few keys, service faults, old runs and epochs."""

import hypothesis.strategies as st
from hypothesis.stateful import initialize, precondition, rule

from snipetrestle.writes import Keeper, WriteCoordinator
from snipetrestle_standins.service import ServiceFaults
from snipetrestle_standins.writes_fleet import (
    WritesFleet,
    daemon_entries,
    make_configuration,
)
from tests.fuzz.base import (
    NAMES,
    BaseMachine,
    Counters,
    names,
    stop_budgets,
    subsets,
    waits,
)
from tests.fuzz.oracle import WriteOracle, require

KEYS = ["k1", "k2", "k3"]


class OldRunRules:
    """Old runs that go on beside their empty replacement, and differing views."""

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

    @rule(name=names, members=subsets)
    def limit_view(self, name, members):
        if self.live(name):
            self.fleet.set_visible_members(name, members)


class WriteRules:
    """Requests with few keys and bodies, and the service's faults."""

    async def _write(self, name, key, body, operation, time_left_s):
        code, answer = await self.fleet.write(name, key, operation, body, time_left_s)
        Counters.answers[code] += 1
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
        then=names,
    )
    def pause_home_during_write(self, name, key, operation, seconds, then):
        """Stops the home between two of its messages while a caller retries elsewhere."""
        self.send(name, key, b"1", operation, 6.0, seconds)
        self.pause(self.fleet.coordinator_of(key))
        self.retry_last_elsewhere(then, 7.0)

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
    @rule(left_out=names, is_complete=st.booleans())
    def next_epoch(self, left_out, is_complete):
        """Publishes an epoch; an incomplete one lacks ``previous`` at first."""
        current = self.fleet.configuration
        if current.writes.previous is not None or self.late_configuration is not None:
            return
        previous = {
            "epoch": current.writes.epoch,
            "daemons": daemon_entries([item.name for item in current.daemons]),
        }
        changes = {
            "names": [name for name in NAMES if name != left_out],
            "epoch": current.writes.epoch + 1,
        }
        complete = self.make(**changes, previous=previous)
        self.fleet.configuration = complete if is_complete else self.make(**changes)
        self.late_configuration = None if is_complete else complete

    @precondition(lambda self: self.late_configuration is not None)
    @rule()
    def complete_epoch(self):
        self.fleet.configuration = self.late_configuration
        self.late_configuration = None

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


class WriteMachine(OldRunRules, WriteRules, EpochRules, BaseMachine):
    """P3, P4, P5 and P9 of writes. Tests replace the classes to switch a guard off."""

    keeper_class = Keeper
    coordinator_class = WriteCoordinator
    # False: the configuration says that the service checks numbers, and it does not.
    service_is_honest = True

    def __init__(self):
        super().__init__()
        self.old_runs = []
        self.sent = []
        self.late_configuration = None

    @initialize(checks=st.booleans(), stops=stop_budgets)
    def start(self, checks, stops):
        self.checks = checks or not self.service_is_honest
        fleet = WritesFleet(
            make_configuration(names=NAMES, checks_fencing_numbers=self.checks),
            self.keeper_class,
            self.coordinator_class,
            ServiceFaults(checks_fencing_numbers=checks and self.service_is_honest),
        )
        self.open(fleet, stops)
        self.world.do(fleet.publish, self.make(names=NAMES))
        self.writes = WriteOracle(fleet.service)
        self.oracles.append(self.writes)

    def repair(self):
        while self.old_runs:
            self.old_runs.pop().endpoint.resume()
        super().repair()
        self.repair_service()
        for name in NAMES:
            self.fleet.set_visible_members(name, NAMES)
            self.fleet.publish(self.fleet.configuration, [name])

    def check_end(self):
        super().check_end()
        self.check_new_write()
