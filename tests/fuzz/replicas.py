"""Fuzzes replicas: generations through owners, engine faults, membership views."""

import hypothesis.strategies as st
from hypothesis.stateful import initialize, rule

from snipetrestle.codes import ServingError
from snipetrestle.engines.owner import ReplicaOwner
from snipetrestle.engines.ownership import ReplicaOwnership
from snipetrestle.peers.members import MemberState
from snipetrestle_standins.engine import expected_text
from snipetrestle_standins.replica_fleet import ReplicaFleet, engine_configuration
from tests.fuzz.base import (
    DAEMON_NAMES,
    BaseMachine,
    Counters,
    daemon_names,
    stop_budgets,
    wait_times_s,
)
from tests.fuzz.oracle import ReplicaOracle

ENGINES = ["engine-0", "engine-1"]
ADAPTERS = [f"adapter-{number}" for number in range(6)]
engines = st.sampled_from(ENGINES)
# No new work starts 3 s after the host list shows a leaving backend server (section 1.1
# of docs/design.md).
LEAVING_DELAY_S = 3.0


class ReplicaMachine(BaseMachine):
    """Checks P1, P2, P3, P6 and P9 of generations.

    Tests replace ``owner_class`` or ``ownership_class`` by one that lacks a safeguard.
    """

    owner_class = ReplicaOwner
    ownership_class = ReplicaOwnership

    @initialize(checks_fencing_numbers=st.booleans(), stop_budget=stop_budgets)
    def start(self, checks_fencing_numbers, stop_budget):
        configuration = engine_configuration(
            len(ENGINES), checks_fencing_numbers, adapter_slots=3
        )
        fleet = ReplicaFleet(
            configuration,
            len(DAEMON_NAMES),
            owner_class=self.owner_class,
            ownership_class=self.ownership_class,
        )
        self.open_fleet(fleet, stop_budget)
        self.oracle = ReplicaOracle(fleet.engines_by_name)
        self.oracles.append(self.oracle)

    async def _generate(self, name, replica, adapter, version, max_tokens):
        if not self.is_running(name):
            return
        call = self.fleet.send_request(
            name, adapter, version, max_tokens, replica=replica
        )
        try:
            is_answered, answer = await self.call_entry(name, call)
        except ServingError as error:
            Counters.answers_by_code[error.code.number] += 1
            return
        Counters.answers_by_code[0 if is_answered else None] += 1
        if is_answered:
            request_id, text = answer
            expected = expected_text(adapter, version, request_id, max_tokens)
            self.oracle.record_answer(request_id, expected, text)

    @rule(
        name=daemon_names,
        replica=engines,
        adapter=st.sampled_from(ADAPTERS),
        version=st.sampled_from(["1", "2"]),
        max_tokens=st.sampled_from([5, 100, 400]),
        seconds=wait_times_s,
    )
    def generate(self, name, replica, adapter, version, max_tokens, seconds):
        self.runner.start_caller(
            self._generate(name, replica, adapter, version, max_tokens)
        )
        self.runner.advance(seconds)

    @rule(name=daemon_names, replica=engines, seconds=wait_times_s)
    def generate_with_all_adapters(self, name, replica, seconds):
        """Uses more adapters than there are slots, so that copies must be evicted."""
        for adapter in ADAPTERS:
            self.runner.start_caller(self._generate(name, replica, adapter, "1", 50))
        self.runner.advance(seconds)

    @rule(replica=engines)
    def restart_engine(self, replica):
        self.runner.call(self.fleet.engine(replica).restart)

    @rule(replica=engines)
    def fail_load(self, replica):
        self.fleet.engine(replica).loads_to_fail += 1

    @rule(
        name=daemon_names,
        peer=daemon_names,
        state=st.sampled_from(
            [MemberState.FAILED, MemberState.SUSPECTED, MemberState.ALIVE]
        ),
    )
    def set_member_state(self, name, peer, state):
        """Changes the state in which one daemon sees another."""
        if self.is_running(name):
            daemon = self.fleet.daemons_by_name[name]
            if name != peer and peer in daemon.membership.members_by_name:
                self.runner.call(daemon.update_member_state, peer, state)

    @rule(replica=engines)
    def leave_temporarily(self, replica):
        """Lists an engine as leaving and checks that it gets no new work.

        All daemons run meanwhile, since a paused one cannot learn that it leaves.
        """
        for name in DAEMON_NAMES:
            self.resume(name)
        self._set_leaving([replica])
        self.runner.advance(LEAVING_DELAY_S)
        self.oracle.stream_counts_by_engine[replica] = self.fleet.engine(
            replica
        )._arrival_count
        self.runner.advance(LEAVING_DELAY_S)
        self.oracle.check()
        del self.oracle.stream_counts_by_engine[replica]
        self._set_leaving([])

    def _set_leaving(self, replicas):
        for daemon in self.fleet.daemons_by_name.values():
            self.runner.call(daemon.ownership.set_leaving, replicas)

    def repair(self):
        super().repair()
        for name in DAEMON_NAMES:
            self.fleet.set_member_state_everywhere(name, MemberState.ALIVE)
