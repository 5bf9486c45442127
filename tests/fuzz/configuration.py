"""Fuzzes the configuration: valid and invalid revisions, a stale service, restarts."""

import hypothesis.strategies as st
from hypothesis.stateful import initialize, rule

from snipetrestle_standins.fleet import MembershipFleet, encode_document, small_document
from tests.fuzz.base import DAEMON_NAMES, BaseMachine, stop_budgets
from tests.fuzz.oracle import ConfigurationOracle


class NamedFleet(MembershipFleet):
    """Fleet of membership and configuration whose daemons can be started by name."""

    async def __aenter__(self):
        await super().__aenter__()
        self.start_all()
        return self

    def start(self, host):
        if isinstance(host, str):
            host = self.host(DAEMON_NAMES.index(host))
            if host.name in self.daemons_by_name:
                self.kill(host.name)
        return super().start(host)


class ConfigurationMachine(BaseMachine):
    """Checks P8: daemons apply only valid revisions and never go back."""

    fleet_class = NamedFleet
    # Time for daemons to rejoin after the faults, and 14 s for a revision to spread.
    settle_time_s = 90.0

    @initialize(stop_budget=stop_budgets)
    def start(self, stop_budget):
        self.open_fleet(self.fleet_class(len(DAEMON_NAMES)), stop_budget)
        self.oracle = ConfigurationOracle(self.fleet)
        self.oracles.append(self.oracle)
        self.publish(3)
        self.runner.advance(20.0)

    @rule(adapters=st.integers(1, 9))
    def publish(self, adapters):
        document = encode_document(small_document(adapters))
        revision = self.runner.call(self.fleet.configuration.publish, document)
        self.oracle.adapters_by_revision[revision] = adapters
        self.oracle.last_is_valid = True

    @rule(adapters=st.integers(1, 9))
    def publish_invalid(self, adapters):
        document = encode_document({**small_document(adapters), "models": []})
        self.runner.call(self.fleet.configuration.publish, document)
        self.oracle.last_is_valid = False

    @rule(down=st.booleans())
    def change_availability(self, down):
        self.runner.call(self.fleet.configuration.set_down, down)

    @rule()
    def freeze_service(self):
        """Makes the service keep its present answers, as a lagging replica does."""
        self.fleet.configuration.freeze()

    @rule()
    def thaw_service(self):
        self.runner.call(self.fleet.configuration.thaw)

    def repair(self):
        super().repair()
        self.fleet.configuration.set_down(False)
        self.fleet.configuration.thaw()
