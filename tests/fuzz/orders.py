"""Orders to replicas: leaders that come and go, lost orders and restarted replicas."""

import anyio
import hypothesis.strategies as st
from hypothesis.stateful import initialize, rule

from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle_standins.orders_fleet import MODEL, Loss, OrdersFleet
from tests.fuzz.base import NAMES, BaseMachine, names, stop_budgets
from tests.fuzz.oracle import require

REPLICAS = 3
replica_ids = st.sampled_from([f"replica-{number}" for number in range(REPLICAS)])
# More adapters than places, a few of them popular.
adapters = st.sampled_from([1, 1, 1, 2, 2, 3, *range(4, 16)])
# A new leader waits for its predecessor's lease, and replicas for their model.
SERVED_WITHIN_S = 20.0


def key_of(number):
    return AdapterKey(MODEL, f"a{number}")


class OrdersOracle:
    """No replica gets more adapters than places, or one token from two holders.

    In the end every host is told a place where an adapter really is.
    """

    def __init__(self, fleet):
        self._fleet = fleet

    def check(self):
        for replica in self._fleet.replicas_by_id.values():
            require(not replica.overfilled, "LIMIT", f"{replica.id} is overfilled")
            holder_by_token = {}
            for _, token, holder in replica.accepted:
                known = holder_by_token.setdefault(token, holder)
                require(
                    known == holder,
                    "ONE",
                    f"{known} and {holder} ordered {replica.id} with token {token}",
                )

    def check_end(self, open_callers):
        self.check()
        require(not open_callers, "P9", f"{open_callers} questions have no answer")


class OrdersMachine(BaseMachine):
    """Orders with fencing tokens, places, and answers to those who ask for places."""

    fleet_class = OrdersFleet

    @initialize(stops=stop_budgets)
    def start(self, stops):
        self.open(self.fleet_class(NAMES, REPLICAS), stops)
        self.oracles.append(OrdersOracle(self.fleet))
        self.world.advance(3.0)

    @rule(name=names, number=adapters)
    def ask(self, name, number):
        if self.live(name):
            self.world.send(self._ask(name, key_of(number)))

    async def _ask(self, name, key):
        locator = self.fleet.daemons_by_name[name].locator
        locator.cached_locations(key)
        with anyio.move_on_after(SERVED_WITHIN_S):
            await locator.look_up(key)

    @rule(replica_id=replica_ids, loss=st.sampled_from(Loss))
    def lose(self, replica_id, loss):
        self.fleet.replicas_by_id[replica_id].loss = loss

    @rule(replica_id=replica_ids)
    def restart_replica(self, replica_id):
        self.world.do(self.fleet.restart_replica, replica_id)

    @rule(replica_id=replica_ids, number=adapters)
    def use(self, replica_id, number):
        """A request in progress keeps an adapter in its place."""
        self.fleet.replicas_by_id[replica_id].in_use.add(key_of(number))

    @rule(replica_id=replica_ids, number=adapters)
    def stop_using(self, replica_id, number):
        model = self.fleet.replicas_by_id[replica_id]
        self.world.do(model.stop_using, key_of(number))

    def repair(self):
        super().repair()
        for model in self.fleet.replicas_by_id.values():
            model.loss = Loss.NOTHING
            for key in list(model.in_use):
                model.stop_using(key)

    def check_end(self):
        super().check_end()
        for number, name in enumerate(NAMES):
            self.world.run(self._check_served(name, key_of(100 + number)))

    async def _check_served(self, name, key):
        locator = self.fleet.daemons_by_name[name].locator
        end = anyio.current_time() + SERVED_WITHIN_S
        while anyio.current_time() < end:
            places = await locator.look_up(key)
            models = [self.fleet.replicas_by_id[replica_id] for replica_id in places]
            await anyio.sleep(0.5)
            if any(model.holds(key) for model in models):
                return
        require(False, "P9", f"{name} is told no place of {key.adapter}")
