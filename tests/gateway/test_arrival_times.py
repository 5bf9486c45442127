"""Tests of requests that wait in the socket while the event loop is held up."""

import asyncio
import socket
import time

import testtools

from snipetrestle.gateway.callers.arrival_times import ArrivalTimingLoop
from snipetrestle_standins.gateway_fleet import Caller
from tests.gateway.running import run_fleet
from tests.gateway.test_caller_deadlines import (
    DEADLINE_S,
    RETURN_PATH_S,
    stop_answering,
)
from tests.systems import with_system

# About what a host of 0.4 cores needs for a configuration with some hundred routes.
HELD_UP_S = 0.2


class Arrival(asyncio.Protocol):
    """Notes when the first data has arrived, by the event loop."""

    def __init__(self):
        loop = asyncio.get_running_loop()
        self.arrived_at = loop.create_future()

    def data_received(self, data):
        self.arrived_at.set_result(asyncio.get_running_loop().data_arrived_at())


class ArrivalTimeTest(testtools.TestCase):
    def arrival(self, write):
        """Returns when data has arrived by the event loop.

        ``await write(send)`` calls ``send()``, which writes the data.
        """

        async def main():
            loop = asyncio.get_running_loop()
            near, far = socket.socketpair()
            with near, far:
                _, protocol = await loop.create_connection(Arrival, sock=near)
                await asyncio.sleep(0.01)
                await write(lambda: far.send(b"a"))
                return await protocol.arrived_at

        with asyncio.Runner(loop_factory=ArrivalTimingLoop) as runner:
            return runner.run(main())

    def test_data_that_waited_in_the_socket(self):
        """Guards against a deadline that counts from when the loop reads."""
        written_at = []

        async def write(send):
            written_at.append(time.monotonic())
            send()
            time.sleep(HELD_UP_S)  # noqa: ASYNC251 - holds the event loop up

        arrived_at = self.arrival(write)
        self.assertLessEqual(arrived_at, written_at[0])

    def test_data_that_the_loop_waited_for(self):
        """Guards against the time of an idle loop taken off a caller's deadline."""
        written_at = []

        def write_later(send):
            time.sleep(0.05)
            written_at.append(time.monotonic())
            send()

        async def write(send):
            await asyncio.to_thread(write_later, send)

        arrived_at = self.arrival(write)
        self.assertLessEqual(written_at[0], arrived_at)


class HeldUpRequestTest(testtools.TestCase):
    @with_system(run_fleet, loop_factory=ArrivalTimingLoop)
    async def test_request_beside_a_large_configuration_is_refused_in_time(self, fleet):
        """Guards against a caller that leaves before its refusal is sent."""
        stop_answering(fleet)
        loop = asyncio.get_running_loop()
        async with Caller(fleet.live[0].settings.callers) as caller:
            await asyncio.sleep(0.1)
            started_at = loop.time()
            caller.writer.write(
                b"POST /entry/a HTTP/1.1\r\nHost: desk.example\r\n"
                b"X-Request-Id: held-up\r\nX-Deadline-Ms: 800\r\n"
                b"Content-Length: 1\r\n\r\na"
            )
            time.sleep(HELD_UP_S)  # noqa: ASYNC251 - holds the event loop up
            answer = await caller.read_response()
            self.assertEqual((504, True), (answer.status, answer.complete))
            self.assertLess(loop.time() - started_at, DEADLINE_S - RETURN_PATH_S)
