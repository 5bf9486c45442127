"""Configuration: valid and invalid revisions, a stale service and restarts."""

import hypothesis.strategies as st
from hypothesis.stateful import initialize, rule

from snipetrestle_standins.fleet import MembershipFleet, encode_document, small_document
from tests.fuzz.base import NAMES, BaseMachine, stop_budgets
from tests.fuzz.oracle import ConfigurationOracle


class NamedFleet(MembershipFleet):
    """The fleet of membership and configuration, with daemons started by name."""

    async def __aenter__(self):
        await super().__aenter__()
        self.start_all()
        return self

    def start(self, host):
        if isinstance(host, str):
            host = self.host(NAMES.index(host))
            if host.name in self.daemons_by_name:
                self.kill(host.name)
        return super().start(host)


class ConfigurationMachine(BaseMachine):
    """P8."""

    fleet_class = NamedFleet
    # Time to rejoin after the repair and for the spread, which has 14 s.
    end_s = 90.0

    @initialize(stops=stop_budgets)
    def start(self, stops):
        self.open(self.fleet_class(len(NAMES)), stops)
        self.configuration = ConfigurationOracle(self.fleet)
        self.oracles.append(self.configuration)
        self.publish(3)
        self.world.advance(20.0)

    @rule(adapters=st.integers(1, 9))
    def publish(self, adapters):
        document = encode_document(small_document(adapters))
        revision = self.world.do(self.fleet.configuration.publish, document)
        self.configuration.adapters_by_revision[revision] = adapters
        self.configuration.last_is_valid = True

    @rule(adapters=st.integers(1, 9))
    def publish_invalid(self, adapters):
        document = encode_document({**small_document(adapters), "models": []})
        self.world.do(self.fleet.configuration.publish, document)
        self.configuration.last_is_valid = False

    @rule(down=st.booleans())
    def change_service(self, down):
        self.world.do(self.fleet.configuration.set_down, down)

    @rule()
    def freeze_service(self):
        self.fleet.configuration.freeze()

    @rule()
    def thaw_service(self):
        self.world.do(self.fleet.configuration.thaw)

    def repair(self):
        super().repair()
        self.fleet.configuration.set_down(False)
        self.fleet.configuration.thaw()
