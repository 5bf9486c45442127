"""Tests of the replacement of a silent exchange, with a fake forwarder."""

import types

import anyio
import testtools

from snipetrestle.codes import ResultCode
from snipetrestle.gateway.backends.http_client import ConnectFailed, ExchangeFailed
from snipetrestle.gateway.configuration import RequestKind
from snipetrestle.gateway.failover import MAX_REPLACEMENT_CONNECTS, Failover
from snipetrestle_standins.clock import run_in_virtual_time

SILENCE_S = 1.0


class FakeExchange:
    """An exchange with a replica that is silent, lost or sound."""

    has_unread_body = False

    def __init__(self, replica):
        self.state = replica.id
        self.replica = replica
        self.cancelled = anyio.Event()

    async def connect(self):
        if self.state.startswith("lost"):
            raise ConnectFailed("TimeoutError()")

    def watch(self, silence_s, on_silent, on_progress, on_early_silence):
        if self.state == "silent":
            self._on_silent = on_silent

    async def serve(self):
        if self.state != "silent":
            return self.state
        while not self.cancelled.is_set():
            with anyio.move_on_after(0.2):
                await self.cancelled.wait()
            if not self.cancelled.is_set() and anyio.current_time() >= SILENCE_S:
                self._on_silent(SILENCE_S)
        raise ExchangeFailed("cancelled")

    def cancel(self, reason):
        self.cancelled.set()

    def send(self):
        pass

    def close(self):
        pass


def replica(state):
    return types.SimpleNamespace(id=state, note_silence=lambda: None)


class FakeForwarder:
    """Finds replicas in the given order; nothing is refused."""

    def __init__(self, states):
        self.states = list(states)

    async def find_replacement(self, job):
        return replica(self.states.pop(0))

    def create_exchange(self, job, replica):
        return FakeExchange(replica)

    async def check_process(self, job, replica):
        pass

    def check_sendable(self, job):
        pass

    def may_retry(self, job):
        return True

    def try_book_retry(self, job, reason, exchange, silent_at):
        return True

    async def refusal_reason(self, job, exchange, max_wait_s):
        return None

    async def note_exchange_failed(self, job, replica, error):
        pass

    def log_replacement_dropped(self, job, reason):
        pass


def serve(states):
    """Returns who served a request whose replica is silent, and when."""

    async def main():
        job = types.SimpleNamespace(
            route=types.SimpleNamespace(kind=RequestKind.STREAM),
            unknown_outcome_code=ResultCode.STREAM_BROKEN,
            may_go_on_at=lambda replica: True,
            dropped_on=set(),
        )
        failover = Failover(FakeForwarder(states), job, SILENCE_S)
        result = await failover.serve(
            FakeExchange(replica("silent")), FakeExchange.serve
        )
        return result, anyio.current_time()

    return run_in_virtual_time(main)


class LostReplicasTest(testtools.TestCase):
    def test_replicas_that_accept_no_connection_cost_no_pause(self):
        """Guards against streams held while many replicas are lost at the same time."""
        lost = [f"lost-{number}" for number in range(MAX_REPLACEMENT_CONNECTS - 1)]
        self.assertEqual(serve(["sound"]), serve([*lost, "sound"]))

    def test_pause_follows_many_lost_replicas(self):
        """Guards against connections that are opened again and again without end."""
        lost = [f"lost-{number}" for number in range(MAX_REPLACEMENT_CONNECTS)]
        (_, at), (_, later) = serve(["sound"]), serve([*lost, "sound"])
        self.assertGreater(later, at)

    def test_only_lost_replica_is_not_tried_again_without_a_pause(self):
        """Guards against connections in a row to the only replica that is left."""
        (_, at), (_, later) = serve(["sound"]), serve(["lost", "lost", "sound"])
        self.assertGreater(later, at)
