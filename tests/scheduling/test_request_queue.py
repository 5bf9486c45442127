"""Tests of the order of a replica's queue."""

import testtools

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.published import PolicyWeights
from snipetrestle.scheduling import QueueEntry, RequestQueue
from snipetrestle_standins.clock import run_advanced

FAR_S = 1e6


def drain(queue, handles, is_batch=False):
    order = []
    while (entry := queue.next(handles, is_batch)) is not None:
        queue.pop(entry)
        order.append(entry)
    return order


class RequestQueueTest(testtools.TestCase):
    def run_on_clock(self, function):
        async def main():
            function()

        run_advanced(main)

    def make(self, stalls=1.0, efficiency=1.0, limit=512):
        return RequestQueue(PolicyWeights(stalls, efficiency), limit)

    def test_idle_customer_precedes_a_backlog(self):
        """Guards against a storm of one customer that delays all others."""

        def check():
            queue = self.make()
            for _ in range(100):
                queue.put(QueueEntry("a", False, "storm", 10, FAR_S))
            queue.put(QueueEntry("b", False, "idle", 10, FAR_S))
            order = [entry.customer for entry in drain(queue, ["a", "b"])]
            self.assertLess(order.index("idle"), 2)
            self.assertEqual(101, len(order))

        self.run_on_clock(check)

    def test_contract_weights_divide_the_service(self):
        """Guards against customers that are served alike whatever they pay for."""

        def check():
            queue = self.make()
            for _ in range(40):
                queue.put(QueueEntry("a", False, "three", 10, FAR_S), 3.0)
                queue.put(QueueEntry("a", False, "one", 10, FAR_S), 1.0)
            first = [entry.customer for entry in drain(queue, ["a"])[:40]]
            self.assertAlmostEqual(30, first.count("three"), delta=2)

        self.run_on_clock(check)

    def test_batch_is_grouped_by_weight_and_aged(self):
        """Guards against batch streams of many adapters, and against missed ends."""

        def switches(queue):
            for number in range(64):
                queue.put(QueueEntry(f"a{number % 4}", True, "c", 10, FAR_S))
            handles = [e.handle for e in drain(queue, ["a0", "a1", "a2", "a3"], True)]
            return sum(
                one != other for one, other in zip(handles, handles[1:], strict=False)
            )

        def check():
            self.assertLess(switches(self.make(1.0, 2.0)), 6)
            self.assertGreater(switches(self.make(1.0, 0.0)), 50)
            queue = self.make()
            for _ in range(5):
                queue.put(QueueEntry("a", True, "c", 10, FAR_S))
            late = QueueEntry("b", True, "c", 10, 10.0)
            queue.put(late)
            self.assertIs(late, queue.next(["a", "b"], True))

        self.run_on_clock(check)

    def test_full_queue_refuses_with_a_number(self):
        """Guards against batch that fills the queue for waiting requests."""

        def check():
            queue = self.make(limit=8)
            for _ in range(6):
                queue.check_room(True)
                queue.put(QueueEntry("a", True, "c", 10, FAR_S))
            error = self.assertRaises(ServingError, queue.check_room, True)
            self.assertIs(ResultCode.QUEUE_FULL, error.code)
            self.assertGreater(error.retry_after, 0.0)
            queue.check_room(False)
            self.assertEqual(6, len(queue))

        self.run_on_clock(check)
