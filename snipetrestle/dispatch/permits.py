"""What a host asks for before it sends to a crowded backend, and what it gets."""

from snipetrestle.dispatch.group_dispatcher import Outcome


class Wanted:
    """A request that needs a permit.

    ``allowed_ids`` are the ids of the replicas that it may be sent to.
    """

    __slots__ = ("backend", "priority", "max_wait_s", "time_left_s", "allowed_ids")

    def __init__(self, backend, priority, max_wait_s, time_left_s, allowed_ids):
        self.backend = backend
        self.priority = priority
        self.max_wait_s = max_wait_s
        self.time_left_s = time_left_s
        self.allowed_ids = allowed_ids


class Permit:
    """A permit to send one request to a replica now."""

    __slots__ = ("replica_id", "_end")

    def __init__(self, replica_id, end):
        self.replica_id = replica_id
        self._end = end

    def end(self, outcome=Outcome.UNKNOWN, service_s=0.0):
        """Gives the place back, once; further calls have no effect."""
        if self._end is not None:
            end, self._end = self._end, None
            end(outcome, service_s)


class NoRoom(Exception):
    """No replica has a place in time; one is expected to after ``wait_s``."""

    def __init__(self, wait_s):
        self.wait_s = wait_s
        super().__init__(f"no place within {wait_s:.3f} s")
