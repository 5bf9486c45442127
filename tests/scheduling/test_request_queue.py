"""Tests of the order in which the queue of a replica is served."""

import testtools

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.published import PolicyWeights
from snipetrestle.scheduling import QueueEntry, RequestQueue
from snipetrestle_standins.clock import run_in_virtual_time

FAR_DEADLINE_S = 1e6


def pop_all(queue, handles, is_batch=False):
    """Returns the entries of a class in the order in which they are dispatched."""
    order = []
    while (entry := queue.next(handles, is_batch)) is not None:
        queue.pop(entry)
        order.append(entry)
    return order


class RequestQueueTest(testtools.TestCase):
    def run_on_simulated_clock(self, function):
        async def main():
            function()

        run_in_virtual_time(main)

    def make_queue(self, load_stalls=1.0, batch_efficiency=1.0, limit=512):
        return RequestQueue(PolicyWeights(load_stalls, batch_efficiency), limit)

    def test_idle_customer_precedes_a_backlog(self):
        """A burst of one customer must not delay all others."""

        def check():
            queue = self.make_queue()
            for _ in range(100):
                queue.put(QueueEntry("a", False, "storm", 10, FAR_DEADLINE_S))
            queue.put(QueueEntry("b", False, "idle", 10, FAR_DEADLINE_S))
            order = [entry.customer for entry in pop_all(queue, ["a", "b"])]
            self.assertLess(order.index("idle"), 2)
            self.assertEqual(101, len(order))

        self.run_on_simulated_clock(check)

    def test_service_is_shared_by_contract_weight(self):
        """Guards against contract weights that have no effect on the service."""

        def check():
            queue = self.make_queue()
            for _ in range(40):
                queue.put(QueueEntry("a", False, "three", 10, FAR_DEADLINE_S), 3.0)
                queue.put(QueueEntry("a", False, "one", 10, FAR_DEADLINE_S), 1.0)
            first = [entry.customer for entry in pop_all(queue, ["a"])[:40]]
            self.assertAlmostEqual(30, first.count("three"), delta=2)

        self.run_on_simulated_clock(check)

    def test_batch_is_grouped_by_adapter_until_a_deadline_is_near(self):
        """Ungrouped batch requests switch adapters often.

        Grouping must not lead to missed deadlines, though.
        """

        def count_switches(queue):
            for number in range(64):
                queue.put(QueueEntry(f"a{number % 4}", True, "c", 10, FAR_DEADLINE_S))
            handles = [e.handle for e in pop_all(queue, ["a0", "a1", "a2", "a3"], True)]
            return sum(
                previous != current
                for previous, current in zip(handles, handles[1:], strict=False)
            )

        def check():
            self.assertLess(count_switches(self.make_queue(1.0, 2.0)), 6)
            self.assertGreater(count_switches(self.make_queue(1.0, 0.0)), 50)
            queue = self.make_queue()
            for _ in range(5):
                queue.put(QueueEntry("a", True, "c", 10, FAR_DEADLINE_S))
            urgent = QueueEntry("b", True, "c", 10, 10.0)
            queue.put(urgent)
            self.assertIs(urgent, queue.next(["a", "b"], True))

        self.run_on_simulated_clock(check)

    def test_full_queue_refuses_with_retry_after(self):
        """Batch requests could fill the queue, with no room for waiting requests."""

        def check():
            queue = self.make_queue(limit=8)
            for _ in range(6):
                queue.check_capacity(True)
                queue.put(QueueEntry("a", True, "c", 10, FAR_DEADLINE_S))
            error = self.assertRaises(ServingError, queue.check_capacity, True)
            self.assertIs(ResultCode.QUEUE_FULL, error.code)
            self.assertGreater(error.retry_after, 0.0)
            queue.check_capacity(False)
            self.assertEqual(6, len(queue))

        self.run_on_simulated_clock(check)
