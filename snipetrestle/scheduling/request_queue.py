"""Queue of one replica: order of classes, fairness, deadlines and batch grouping."""

import heapq
import itertools
import math

import anyio

from snipetrestle.codes import ResultCode, ServingError

DEFAULT_LIMIT = 512
# Batch entries with less than this left until their end time precede other batch work.
URGENT_S = 300.0
# Batch requests of one adapter that run in a row, with equal policy weights, before
# the adapter with the oldest tag has its turn.
GROUP_QUANTUM = 32
# Retry-After of a full queue when no service time has been measured.
DEFAULT_RETRY_AFTER_S = 1.0


class QueueEntry:
    """One accepted request that waits for dispatch."""

    __slots__ = (
        "handle",
        "is_batch",
        "customer",
        "cost",
        "arrived",
        "deadline",
        "tag",
        "number",
        "item",
        "queued",
    )

    def __init__(self, handle, is_batch, customer, cost, deadline, item=None):
        self.handle = handle
        self.is_batch = is_batch
        self.customer = customer
        self.cost = cost
        self.arrived = anyio.current_time()
        self.deadline = deadline
        self.tag = 0.0
        self.number = 0
        self.item = item
        self.queued = False

    def __lt__(self, other):
        return (self.tag, self.number) < (other.tag, other.number)


class _FairTags:
    """Start-time fair queueing: tags that divide a class between customers."""

    __slots__ = ("_finish_by_customer", "_virtual")

    def __init__(self):
        self._finish_by_customer = {}
        self._virtual = 0.0

    def assign(self, entry, weight):
        start = max(self._virtual, self._finish_by_customer.get(entry.customer, 0.0))
        entry.tag = start
        self._finish_by_customer[entry.customer] = start + entry.cost / weight

    def served(self, entry):
        self._virtual = max(self._virtual, entry.tag)

    def clear(self):
        self._finish_by_customer.clear()


class _ClassQueue:
    """Entries of one class: a heap by tag for each adapter handle."""

    __slots__ = ("heaps_by_handle", "counts_by_handle", "tags", "count")

    def __init__(self):
        self.heaps_by_handle = {}
        self.counts_by_handle = {}
        self.tags = _FairTags()
        self.count = 0

    def push(self, entry):
        heapq.heappush(self.heaps_by_handle.setdefault(entry.handle, []), entry)
        self.counts_by_handle[entry.handle] = (
            self.counts_by_handle.get(entry.handle, 0) + 1
        )
        self.count += 1
        entry.queued = True

    def head(self, handle):
        heap = self.heaps_by_handle.get(handle)
        while heap:
            if heap[0].queued:
                return heap[0]
            heapq.heappop(heap)
        self.heaps_by_handle.pop(handle, None)
        return None

    def remove(self, entry):
        """Takes an entry out; its place in the heap is cleared later."""
        entry.queued = False
        self.count -= 1
        left = self.counts_by_handle[entry.handle] - 1
        if left:
            self.counts_by_handle[entry.handle] = left
        else:
            del self.counts_by_handle[entry.handle]
            del self.heaps_by_handle[entry.handle]
        if not self.count:
            self.tags.clear()


class RequestQueue:
    """Accepted requests of one replica. Each step costs the slots or a logarithm.

    ``policy`` is the published PolicyWeights: the heavier batch efficiency, the longer
    the runs of one adapter. Entries leave by ``pop`` or ``remove`` only.
    """

    def __init__(self, policy, limit=DEFAULT_LIMIT):
        self.limit = limit
        self._classes = {False: _ClassQueue(), True: _ClassQueue()}
        self._numbers = itertools.count()
        self._last_batch_handle = None
        self._run_length = 0
        self.set_policy(policy)

    def set_policy(self, policy):
        if policy.load_stalls <= 0:
            self._quantum = math.inf if policy.batch_efficiency > 0 else 1
        else:
            ratio = policy.batch_efficiency / policy.load_stalls
            self._quantum = max(1, round(GROUP_QUANTUM * ratio))

    def __len__(self):
        return self._classes[False].count + self._classes[True].count

    def count_of(self, is_batch):
        return self._classes[is_batch].count

    def count(self, handle, is_batch):
        return self._classes[is_batch].counts_by_handle.get(handle, 0)

    def handles(self, is_batch):
        return self._classes[is_batch].counts_by_handle

    def head(self, handle, is_batch):
        return self._classes[is_batch].head(handle)

    def check_room(self, is_batch, drain_s=DEFAULT_RETRY_AFTER_S):
        """Raises ServingError if an entry of the class would be refused.

        Batch work fills at most three quarters, so waiting requests find room.
        """
        if is_batch:
            full = self._classes[True].count >= self.limit * 3 // 4
        else:
            full = len(self) >= self.limit
        if full:
            raise ServingError(ResultCode.QUEUE_FULL, retry_after=drain_s)

    def put(self, entry, weight=1.0):
        """Queues an entry that ``check_room`` admitted."""
        entry.number = next(self._numbers)
        queue = self._classes[entry.is_batch]
        queue.tags.assign(entry, weight)
        queue.push(entry)

    def put_back(self, entry):
        """Queues a paused entry again at its old place; it is never refused."""
        self._classes[entry.is_batch].push(entry)

    def remove(self, entry):
        if entry.queued:
            self._classes[entry.is_batch].remove(entry)

    def next(self, handles, is_batch, running_by_handle=()):
        """Returns the entry to run next among the given handles, or None."""
        queue = self._classes[is_batch]
        heads = [entry for entry in map(queue.head, handles) if entry is not None]
        if not heads:
            return None
        if not is_batch:
            return min(heads)
        return self._next_batch(heads, running_by_handle)

    def _next_batch(self, heads, running_by_handle):
        now = anyio.current_time()
        urgent = [entry for entry in heads if entry.deadline - now < URGENT_S]
        if urgent:
            return min(urgent, key=lambda entry: entry.deadline)
        if self._run_length < self._quantum:
            for entry in heads:
                if entry.handle == self._last_batch_handle:
                    return entry
            running = [entry for entry in heads if entry.handle in running_by_handle]
            if running and self._quantum > 1:
                return max(running, key=lambda entry: self.count(entry.handle, True))
        return min(heads)

    def pop(self, entry):
        """Takes an entry out for dispatch."""
        queue = self._classes[entry.is_batch]
        queue.remove(entry)
        queue.tags.served(entry)
        if entry.is_batch:
            if entry.handle == self._last_batch_handle:
                self._run_length += 1
            else:
                self._last_batch_handle = entry.handle
                self._run_length = 1
