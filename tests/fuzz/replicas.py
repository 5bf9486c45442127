"""Replicas: generations through owners, engine faults, views and leaving engines."""

import hypothesis.strategies as st
from hypothesis.stateful import initialize, rule

from snipetrestle.codes import ServingError
from snipetrestle.engines.owner import ReplicaOwner
from snipetrestle.engines.ownership import ReplicaOwnership
from snipetrestle.peers.members import MemberState
from snipetrestle_standins.engine import expected_text
from snipetrestle_standins.replica_fleet import ReplicaFleet, engine_configuration
from tests.fuzz.base import NAMES, BaseMachine, Counters, names, stop_budgets, waits
from tests.fuzz.oracle import ReplicaOracle

ENGINES = ["engine-0", "engine-1"]
ADAPTERS = [f"adapter-{number}" for number in range(6)]
engines = st.sampled_from(ENGINES)
# Design section 1.1: no new work 3 s after the host list shows a leaving server.
LEAVING_S = 3.0


class ReplicaMachine(BaseMachine):
    """P1, P2, P3, P6 and P9 of generations. Tests replace the classes."""

    owner_class = ReplicaOwner
    ownership_class = ReplicaOwnership

    @initialize(checks=st.booleans(), stops=stop_budgets)
    def start(self, checks, stops):
        configuration = engine_configuration(len(ENGINES), checks, adapter_slots=3)
        fleet = ReplicaFleet(
            configuration,
            len(NAMES),
            owner_class=self.owner_class,
            ownership_class=self.ownership_class,
        )
        self.open(fleet, stops)
        self.replicas = ReplicaOracle(fleet.engines_by_name)
        self.oracles.append(self.replicas)
        self.leaving = []

    async def _ask(self, name, replica, adapter, version, max_tokens):
        if not self.live(name):
            return
        call = self.fleet.send_request(
            name, adapter, version, max_tokens, replica=replica
        )
        try:
            is_answered, answer = await self.call_entry(name, call)
        except ServingError as error:
            Counters.answers[error.code.number] += 1
            return
        Counters.answers[0 if is_answered else None] += 1
        if is_answered:
            request_id, text = answer
            expected = expected_text(adapter, version, request_id, max_tokens)
            self.replicas.tell(request_id, expected, text)

    @rule(
        name=names,
        replica=engines,
        adapter=st.sampled_from(ADAPTERS),
        version=st.sampled_from(["1", "2"]),
        max_tokens=st.sampled_from([5, 100, 400]),
        seconds=waits,
    )
    def ask(self, name, replica, adapter, version, max_tokens, seconds):
        self.world.send(self._ask(name, replica, adapter, version, max_tokens))
        self.world.advance(seconds)

    @rule(name=names, replica=engines, seconds=waits)
    def ask_for_many(self, name, replica, seconds):
        """More adapters than slots, so that copies must be evicted."""
        for adapter in ADAPTERS:
            self.world.send(self._ask(name, replica, adapter, "1", 50))
        self.world.advance(seconds)

    @rule(replica=engines)
    def restart_engine(self, replica):
        self.world.do(self.fleet.engine(replica).restart)

    @rule(replica=engines)
    def fail_load(self, replica):
        self.fleet.engine(replica).loads_to_fail += 1

    @rule(
        name=names,
        other=names,
        state=st.sampled_from(
            [MemberState.FAILED, MemberState.SUSPECTED, MemberState.ALIVE]
        ),
    )
    def see(self, name, other, state):
        if self.live(name):
            daemon = self.fleet.daemons_by_name[name]
            if name != other and other in daemon.membership.members_by_name:
                self.world.do(daemon.set_member_state, other, state)

    @rule(replica=engines)
    def leave_for_a_while(self, replica):
        """An engine leaves; all daemons run, since a paused one cannot know it."""
        for name in NAMES:
            self.resume(name)
        self._set_leaving([replica])
        self.world.advance(LEAVING_S)
        self.replicas.started_by_engine[replica] = self.fleet.engine(
            replica
        )._arrival_count
        self.world.advance(LEAVING_S)
        self.replicas.check()
        del self.replicas.started_by_engine[replica]
        self._set_leaving([])

    def _set_leaving(self, replicas):
        for daemon in self.fleet.daemons_by_name.values():
            self.world.do(daemon.ownership.set_leaving, replicas)

    def repair(self):
        super().repair()
        for name in NAMES:
            self.fleet.set_member_state_everywhere(name, MemberState.ALIVE)
