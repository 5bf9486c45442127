"""Fuzzes writes: requests with few keys, service faults, replaced daemons, epochs."""

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
    DAEMON_NAMES,
    BaseMachine,
    Counters,
    daemon_names,
    daemon_subsets,
    stop_budgets,
    wait_times_s,
)
from tests.fuzz.oracle import WriteOracle, require

KEYS = ["k1", "k2", "k3"]


class OldIncarnationRules:
    """Paused daemons that resume after they were replaced, and differing views."""

    @rule(name=daemon_names)
    def replace_while_paused(self, name):
        if len(self.old_incarnations) < 2 and self.take_stop(name):
            self.runner.call(self.fleet.network.pause, name)
            self.old_incarnations.append(
                self.runner.call(self.fleet.replace_paused, name)
            )
            self.runner.advance(0.0003)

    @precondition(lambda self: self.old_incarnations)
    @rule()
    def resume_old_incarnation(self):
        self.runner.call(self.old_incarnations.pop().endpoint.resume)

    @rule(name=daemon_names, members=daemon_subsets)
    def limit_view(self, name, members):
        """Makes a daemon see only some of the members."""
        if self.is_running(name):
            self.fleet.set_visible_members(name, members)


class WriteRules:
    """Requests with few keys and bodies, and faults of the service."""

    async def _write(self, name, key, body, operation, time_left_s):
        code, answer = await self.fleet.write(name, key, operation, body, time_left_s)
        Counters.answers_by_code[code] += 1
        self.oracle.record_answer(key, body, code, answer)

    @rule(
        name=daemon_names,
        key=st.sampled_from(KEYS),
        body=st.sampled_from([b"1", b"1", b"1", b"2"]),
        operation=st.sampled_from(["plain", "enter"]),
        time_left_s=st.sampled_from([0.1, 1.0, 6.0]),
        seconds=wait_times_s,
    )
    def send_write(self, name, key, body, operation, time_left_s, seconds):
        # Requests differ by their operation too, so the body contains its name.
        body = body + operation.encode()
        self.sent_writes.append((key, body, operation))
        self.runner.start_caller(self._write(name, key, body, operation, time_left_s))
        self.runner.advance(seconds)

    @precondition(lambda self: self.sent_writes)
    @rule(name=daemon_names, seconds=st.sampled_from([0.0, 0.0011, 2.5, 7.0, 7.0]))
    def retry_last_elsewhere(self, name, seconds):
        self.runner.start_caller(self._write(name, *self.sent_writes[-1], 6.0))
        self.runner.advance(seconds)

    @rule(
        key=st.sampled_from(KEYS),
        operation=st.sampled_from(["plain", "enter"]),
        seconds=wait_times_s,
    )
    def send_to_all(self, key, operation, seconds):
        """Sends the same write to all daemons at once."""
        for name in DAEMON_NAMES:
            body = b"1" + operation.encode()
            self.runner.start_caller(self._write(name, key, body, operation, 6.0))
        self.runner.advance(seconds)

    @rule(
        name=daemon_names,
        key=st.sampled_from(KEYS),
        operation=st.sampled_from(["plain", "enter"]),
        seconds=st.sampled_from([0.0003, 0.0006, 0.0008, 0.0011, 0.0016, 0.0026]),
        target_name=daemon_names,
    )
    def pause_coordinator_during_write(
        self, name, key, operation, seconds, target_name
    ):
        """Pauses the coordinator between messages and retries at ``target_name``."""
        self.send_write(name, key, b"1", operation, 6.0, seconds)
        self.pause(self.fleet.coordinator_of(key))
        self.retry_last_elsewhere(target_name, 7.0)

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
        """Checks that a new key can be written if all keepers are ready."""
        daemons = self.fleet.daemons_by_name.values()
        if not all(daemon.keeper.is_ready() for daemon in daemons):
            return
        code, answer = self.runner.run(self.fleet.write(DAEMON_NAMES[0], "fresh"))
        require(code == 0, "availability", f"a new write ended in {code}: {answer}")


class EpochRules:
    """Epochs with changed daemon names, applied at one daemon after the other."""

    def make_epoch_configuration(self, **writes):
        return make_configuration(
            checks_fencing_numbers=self.checks_published, start="existing", **writes
        )

    @precondition(lambda self: self.fleet.configuration.writes.epoch < 3)
    @rule(omitted=daemon_names, is_complete=st.booleans())
    def next_epoch(self, omitted, is_complete):
        """Publishes a new epoch without one daemon.

        If it is not complete, its ``previous`` follows in ``complete_epoch``.
        """
        current = self.fleet.configuration
        if (
            current.writes.previous is not None
            or self.pending_configuration is not None
        ):
            return
        previous = {
            "epoch": current.writes.epoch,
            "daemons": daemon_entries([item.name for item in current.daemons]),
        }
        changes = {
            "names": [name for name in DAEMON_NAMES if name != omitted],
            "epoch": current.writes.epoch + 1,
        }
        complete = self.make_epoch_configuration(**changes, previous=previous)
        self.fleet.configuration = (
            complete if is_complete else self.make_epoch_configuration(**changes)
        )
        self.pending_configuration = None if is_complete else complete

    @precondition(lambda self: self.pending_configuration is not None)
    @rule()
    def complete_epoch(self):
        """Publishes the ``previous`` that the present epoch lacks."""
        self.fleet.configuration = self.pending_configuration
        self.pending_configuration = None

    @rule(name=daemon_names)
    def spread_configuration(self, name):
        """Applies the published configuration at one daemon."""
        if self.is_running(name):
            self.runner.call(self.fleet.publish, self.fleet.configuration, [name])

    @rule()
    def finish_epoch(self):
        """Removes ``previous`` if all daemons are ready, as operators do."""
        current = self.fleet.configuration
        daemons = self.fleet.daemons_by_name
        ready = all(
            self.is_running(name)
            and daemons[name].applied is current
            and daemons[name].keeper.is_ready()
            for name in DAEMON_NAMES
        )
        if ready and current.writes.previous is not None:
            self.fleet.configuration = self.make_epoch_configuration(
                names=[item.name for item in current.daemons],
                epoch=current.writes.epoch,
            )


class WriteMachine(OldIncarnationRules, WriteRules, EpochRules, BaseMachine):
    """Checks P3, P4, P5 and P9 of writes.

    Tests replace ``keeper_class`` or ``coordinator_class`` by one without a safeguard.
    """

    keeper_class = Keeper
    coordinator_class = WriteCoordinator
    # False if the service ignores fencing numbers although its configuration says that
    # it checks them.
    service_checks_as_published = True

    def __init__(self):
        super().__init__()
        self.old_incarnations = []
        self.sent_writes = []
        self.pending_configuration = None

    @initialize(checks_numbers=st.booleans(), stop_budget=stop_budgets)
    def start(self, checks_numbers, stop_budget):
        self.checks_published = checks_numbers or not self.service_checks_as_published
        fleet = WritesFleet(
            make_configuration(
                names=DAEMON_NAMES, checks_fencing_numbers=self.checks_published
            ),
            self.keeper_class,
            self.coordinator_class,
            ServiceFaults(
                checks_fencing_numbers=checks_numbers
                and self.service_checks_as_published
            ),
        )
        self.open_fleet(fleet, stop_budget)
        self.runner.call(
            fleet.publish, self.make_epoch_configuration(names=DAEMON_NAMES)
        )
        self.oracle = WriteOracle(fleet.service)
        self.oracles.append(self.oracle)

    def repair(self):
        while self.old_incarnations:
            self.old_incarnations.pop().endpoint.resume()
        super().repair()
        self.repair_service()
        for name in DAEMON_NAMES:
            self.fleet.set_visible_members(name, DAEMON_NAMES)
            self.fleet.publish(self.fleet.configuration, [name])

    def check_end(self):
        super().check_end()
        self.check_new_write()
