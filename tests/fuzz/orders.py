"""Fuzzes orders to replicas: changes of the leader, lost orders, replica restarts."""

import anyio
import hypothesis.strategies as st
from hypothesis.stateful import initialize, rule

from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle_standins.orders_fleet import (
    ADAPTER_LOAD_S,
    MODEL,
    Loss,
    OrdersFleet,
    turns_within_lease,
)
from tests.fuzz.base import DAEMON_NAMES, BaseMachine, daemon_names, stop_budgets
from tests.fuzz.oracle import require

REPLICA_COUNT = 3
replica_ids = st.sampled_from([f"replica-{number}" for number in range(REPLICA_COUNT)])
# More adapters than the replicas have slots for; the first three are used most.
adapter_numbers = st.sampled_from([1, 1, 1, 2, 2, 3, *range(4, 16)])
# From before the time-out of an order to long after the state was read again.
order_delays_s = st.sampled_from([0.3, 1.0, 2.0, 3.0, 4.5])
# Includes the wait of a new leader for the end of its predecessor's lease, and the load
# of the model at the replicas.
LOOKUP_TIMEOUT_S = 20.0


def adapter_key(number):
    return AdapterKey(MODEL, f"a{number}")


class OrdersOracle:
    """Checks the orders to replicas and, at the end, that all lookups were answered.

    LIMIT: no replica gets more adapters than it has slots. ONE: no two leaders send
    orders with the same fencing token to one replica, or take turns within a lease.
    """

    def __init__(self, fleet):
        self._fleet = fleet

    def check(self):
        for replica in self._fleet.replicas_by_id.values():
            require(
                not replica.overfilled,
                "LIMIT",
                f"{replica.id} got more adapters than slots",
            )
            holder_by_token = {}
            for order in replica.accepted:
                first_holder = holder_by_token.setdefault(order.token, order.holder)
                require(
                    first_holder == order.holder,
                    "ONE",
                    f"{first_holder} and {order.holder} ordered {replica.id},"
                    f" token {order.token}",
                )
            require(
                not turns_within_lease(replica.accepted),
                "ONE",
                f"two leaders ordered {replica.id} in turns",
            )

    def check_end(self, open_callers):
        self.check()
        require(not open_callers, "P9", f"{open_callers} lookups have no answer")


class OrdersMachine(BaseMachine):
    """Checks orders with fencing tokens and the lookups of adapter locations."""

    fleet_class = OrdersFleet

    @initialize(stop_budget=stop_budgets)
    def start(self, stop_budget):
        self.open_fleet(self.fleet_class(DAEMON_NAMES, REPLICA_COUNT), stop_budget)
        self.oracles.append(OrdersOracle(self.fleet))
        self.runner.advance(3.0)

    @rule(name=daemon_names, number=adapter_numbers)
    def locate(self, name, number):
        if self.is_running(name):
            self.runner.start_caller(self._locate(name, adapter_key(number)))

    @rule(
        name=daemon_names,
        replica_id=replica_ids,
        loss=st.sampled_from([Loss.ORDER, Loss.LATE_ORDER, Loss.REPEATED_ORDER]),
        late_s=order_delays_s,
        pause_s=st.sampled_from([0.5, 1.6, 2.2]),
    )
    def lose_messages_for_a_moment(self, name, replica_id, loss, late_s, pause_s):
        """Disturbs the orders to a replica while lookups fill and replace its slots."""
        model = self.fleet.replicas_by_id[replica_id]
        self._locate_many(name, range(20, 24))
        model.loss, model.late_order_s = loss, late_s
        self.runner.advance(0.1)
        model.loss = Loss.NOTHING
        self.runner.advance(pause_s)
        self._locate_many(name, range(24, 32))
        self.runner.advance(late_s)

    def _locate_many(self, name, numbers):
        for number in numbers:
            self.locate(name, number)

    async def _locate(self, name, key):
        locator = self.fleet.daemons_by_name[name].locator
        locator.cached_locations(key)
        with anyio.move_on_after(LOOKUP_TIMEOUT_S):
            await locator.look_up(key)

    @rule(replica_id=replica_ids, loss=st.sampled_from(Loss), late_s=order_delays_s)
    def lose_messages(self, replica_id, loss, late_s):
        """Loses, delays or repeats all orders to a replica, or loses all its answers.

        This lasts until the next change.
        """
        model = self.fleet.replicas_by_id[replica_id]
        model.loss, model.late_order_s = loss, late_s

    @rule(replica_id=replica_ids, load_s=st.sampled_from([0.02, ADAPTER_LOAD_S, 3.0]))
    def change_load_time(self, replica_id, load_s):
        self.fleet.replicas_by_id[replica_id].load_s = load_s

    @rule(replica_id=replica_ids)
    def restart_replica(self, replica_id):
        self.runner.call(self.fleet.restart_replica, replica_id)

    @rule(replica_id=replica_ids, number=adapter_numbers)
    def use_adapter(self, replica_id, number):
        """Starts a request that keeps an adapter from being evicted."""
        self.fleet.replicas_by_id[replica_id].in_use.add(adapter_key(number))

    @rule(replica_id=replica_ids, number=adapter_numbers)
    def stop_using_adapter(self, replica_id, number):
        model = self.fleet.replicas_by_id[replica_id]
        self.runner.call(model.stop_using, adapter_key(number))

    def repair(self):
        super().repair()
        for model in self.fleet.replicas_by_id.values():
            model.loss = Loss.NOTHING
            model.load_s = ADAPTER_LOAD_S
            for key in list(model.in_use):
                model.stop_using(key)

    def check_end(self):
        super().check_end()
        for number, name in enumerate(DAEMON_NAMES):
            self.runner.run(self._check_location(name, adapter_key(100 + number)))

    async def _check_location(self, name, key):
        """Checks that a host soon gets the id of a replica that holds the adapter."""
        locator = self.fleet.daemons_by_name[name].locator
        deadline = anyio.current_time() + LOOKUP_TIMEOUT_S
        while anyio.current_time() < deadline:
            locations = await locator.look_up(key)
            models = [self.fleet.replicas_by_id[replica_id] for replica_id in locations]
            await anyio.sleep(0.5)
            if any(model.holds(key) for model in models):
                return
        require(False, "P9", f"{name} got no replica that holds {key.adapter}")
