"""Request queue of one replica: fairness, deadlines and grouping of batch requests."""

import heapq
import itertools
import math

import anyio

from snipetrestle.codes import ResultCode, ServingError

DEFAULT_QUEUE_LIMIT = 512
# Batch requests with less than this time left until their deadline precede the others.
URGENT_WITHIN_S = 300.0
# Batch requests of one adapter that run in a row, with equal policy weights, before the
# request with the lowest start tag is next.
BATCH_RUN_QUANTUM = 32
# Retry-After in seconds of a full queue when no service time has been measured.
DEFAULT_RETRY_AFTER_S = 1.0


class QueueEntry:
    """An accepted request that waits for dispatch.

    ``cost`` is its number of tokens. ``start_tag`` is its start tag in start-time fair
    queueing and ``number`` its position in order of arrival.
    """

    __slots__ = (
        "handle",
        "is_batch",
        "customer",
        "cost",
        "arrived",
        "deadline",
        "start_tag",
        "number",
        "queued",
    )

    def __init__(self, handle, is_batch, customer, cost, deadline):
        self.handle = handle
        self.is_batch = is_batch
        self.customer = customer
        self.cost = cost
        self.arrived = anyio.current_time()
        self.deadline = deadline
        self.start_tag = 0.0
        self.number = 0
        self.queued = False

    def __lt__(self, other):
        return (self.start_tag, self.number) < (other.start_tag, other.number)


class _StartTimeFairQueueing:
    """Start-time fair queueing of the requests of one class between customers.

    Entries run in order of their start tags. The finish tag of a customer's entry, its
    start tag plus its cost divided by the customer's weight, is the earliest start tag
    of the customer's next entry.
    """

    __slots__ = ("_finish_by_customer", "_virtual_time")

    def __init__(self):
        self._finish_by_customer = {}
        self._virtual_time = 0.0

    def assign_start_tag(self, entry, weight):
        start = max(
            self._virtual_time, self._finish_by_customer.get(entry.customer, 0.0)
        )
        entry.start_tag = start
        self._finish_by_customer[entry.customer] = start + entry.cost / weight

    def advance_virtual_time(self, entry):
        self._virtual_time = max(self._virtual_time, entry.start_tag)

    def clear(self):
        self._finish_by_customer.clear()


class _ClassQueue:
    """Entries of one class, in a heap by start tag for each adapter handle."""

    __slots__ = ("heaps_by_handle", "counts_by_handle", "fair_queueing", "count")

    def __init__(self):
        self.heaps_by_handle = {}
        self.counts_by_handle = {}
        self.fair_queueing = _StartTimeFairQueueing()
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
        """Removes an entry; ``head`` removes it from the heap later."""
        entry.queued = False
        self.count -= 1
        remaining = self.counts_by_handle[entry.handle] - 1
        if remaining:
            self.counts_by_handle[entry.handle] = remaining
        else:
            del self.counts_by_handle[entry.handle]
            del self.heaps_by_handle[entry.handle]
        if not self.count:
            self.fair_queueing.clear()


class RequestQueue:
    """Accepted requests of one replica, waiting and batch (``is_batch``) apart.

    The cost of a step is linear in the number of slots or logarithmic in the number of
    entries. ``policy`` is the published PolicyWeights: the higher the weight of batch
    efficiency, the longer the runs of one adapter. Entries leave the queue only by
    ``pop`` and ``remove``.
    """

    def __init__(self, policy, limit=DEFAULT_QUEUE_LIMIT):
        self.limit = limit
        self._classes = {False: _ClassQueue(), True: _ClassQueue()}
        self._arrival_numbers = itertools.count()
        self._last_batch_handle = None
        self._run_length = 0
        self.set_policy(policy)

    def set_policy(self, policy):
        if policy.load_stalls <= 0:
            self._max_run_length = math.inf if policy.batch_efficiency > 0 else 1
        else:
            ratio = policy.batch_efficiency / policy.load_stalls
            self._max_run_length = max(1, round(BATCH_RUN_QUANTUM * ratio))

    def __len__(self):
        return self._classes[False].count + self._classes[True].count

    def class_count(self, is_batch):
        return self._classes[is_batch].count

    def count(self, handle, is_batch):
        return self._classes[is_batch].counts_by_handle.get(handle, 0)

    def handles(self, is_batch):
        return self._classes[is_batch].counts_by_handle

    def head(self, handle, is_batch):
        return self._classes[is_batch].head(handle)

    def check_capacity(self, is_batch, retry_after_s=DEFAULT_RETRY_AFTER_S):
        """Raises ServingError if the queue is full for the class.

        Batch requests fill at most three quarters of the queue, so that there is room
        for waiting requests. The error carries ``retry_after_s``.
        """
        if is_batch:
            full = self._classes[True].count >= self.limit * 3 // 4
        else:
            full = len(self) >= self.limit
        if full:
            raise ServingError(ResultCode.QUEUE_FULL, retry_after=retry_after_s)

    def put(self, entry, weight=1.0):
        """Queues an entry, for which ``check_capacity`` must have passed."""
        entry.number = next(self._arrival_numbers)
        queue = self._classes[entry.is_batch]
        queue.fair_queueing.assign_start_tag(entry, weight)
        queue.push(entry)

    def requeue(self, entry):
        """Queues a paused entry again with its old start tag; it is never refused."""
        self._classes[entry.is_batch].push(entry)

    def remove(self, entry):
        if entry.queued:
            self._classes[entry.is_batch].remove(entry)

    def next(self, handles, is_batch, running_handles=()):
        """Returns the entry to run next among those of ``handles``, or None.

        Among batch entries, handles in ``running_handles`` already run and are
        preferred.
        """
        queue = self._classes[is_batch]
        heads = [entry for entry in map(queue.head, handles) if entry is not None]
        if not heads:
            return None
        if not is_batch:
            return min(heads)
        return self._next_batch(heads, running_handles)

    def _next_batch(self, heads, running_handles):
        now = anyio.current_time()
        urgent = [entry for entry in heads if entry.deadline - now < URGENT_WITHIN_S]
        if urgent:
            return min(urgent, key=lambda entry: entry.deadline)
        if self._run_length < self._max_run_length:
            for entry in heads:
                if entry.handle == self._last_batch_handle:
                    return entry
            running = [entry for entry in heads if entry.handle in running_handles]
            if running and self._max_run_length > 1:
                return max(running, key=lambda entry: self.count(entry.handle, True))
        return min(heads)

    def pop(self, entry):
        """Removes an entry for dispatch."""
        queue = self._classes[entry.is_batch]
        queue.remove(entry)
        queue.fair_queueing.advance_virtual_time(entry)
        if entry.is_batch:
            if entry.handle == self._last_batch_handle:
                self._run_length += 1
            else:
                self._last_batch_handle = entry.handle
                self._run_length = 1
