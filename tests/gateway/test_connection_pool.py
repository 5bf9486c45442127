"""Tests of the pool of kept connections to a replica."""

import asyncio
import math
import socket

import testtools

from snipetrestle.gateway.backends.connection_pool import (
    ConnectionPool,
    ConnectionsExhausted,
    OpenConnections,
)
from snipetrestle.gateway.backends.http_client import ExchangeAbandoned
from tests.systems import with_own_system

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class BlockingReplica:
    """A replica whose sends and closes are in the pool's socket as they return."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        self.sock = None

    def close(self):
        self._listener.close()
        if self.sock is not None:
            self.sock.close()

    async def exchange(self, pool):
        """Lets a pool's connection carry a request, and returns it to the pool."""
        connection = await pool.acquire()
        if self.sock is None:
            self.sock, _ = self._listener.accept()
        connection.send_request(b"GET / HTTP/1.1\r\n\r\n", lambda head: True)
        self.sock.recv(1024)
        self.sock.sendall(RESPONSE)
        await connection.read_head()
        await connection.read_all(0)
        pool.release(connection)
        return connection


class RoomTest(testtools.TestCase):
    """Pools of servers that keep connections open; requests are never answered."""

    def run_pools(self, function, count=1, all_open=math.inf):
        async def run():
            everything = OpenConnections(lambda: all_open)
            server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
            address = server.sockets[0].getsockname()
            pools = [
                ConnectionPool(*address, lambda: 3, everything) for _ in range(count)
            ]
            try:
                await function(*pools)
            finally:
                server.close()

        asyncio.run(run())

    def keep(self, pool, connection):
        """Returns a connection to its pool as after a complete response."""
        connection._recent_request_ids.append(b"r")
        self.patch(connection, "finish", lambda: True)
        pool.release(connection)

    @with_own_system("run_pools")
    async def test_idle_connections_make_room(self, pool):
        """Each request with an id that all idle connections had carried opened one
        more, without end."""
        first, *others = [await pool.acquire(b"r") for _ in range(3)]
        for connection in (first, *others):
            self.keep(pool, connection)
        open_connection = pool._open
        closed_before = []

        def open_another():
            closed_before.append(first.closed)
            return open_connection()

        self.patch(pool, "_open", open_another)
        for _ in range(5):
            self.keep(pool, await pool.acquire(b"r"))
            self.assertEqual(3, pool.open_count)
        # A replica counts a connection until it has been closed.
        self.assertEqual([True] * 5, closed_before)

    @with_own_system("run_pools")
    async def test_requests_of_one_turn_make_room_each(self, pool):
        """They counted the connection that the first one had closed for themselves:
        60 callers held 119 connections to a replica that accepts 100."""
        for connection in [await pool.acquire(b"r") for _ in range(3)]:
            self.keep(pool, connection)
        await asyncio.gather(*(pool.acquire(b"r") for _ in range(3)))
        self.assertEqual(3, pool.open_count)

    @with_own_system("run_pools", count=2, all_open=2)
    async def test_requests_of_one_turn_share_the_bound_of_all_pools(self, busy, idle):
        """The same, of the connections of all pools together."""
        for connection in [await idle.acquire(b"r") for _ in range(2)]:
            self.keep(idle, connection)
        idle._max_open = lambda: 2
        results = await asyncio.gather(
            *(pool.acquire(b"r") for pool in (idle, busy, idle)),
            return_exceptions=True,
        )
        self.assertIsInstance(results[2], ConnectionsExhausted)
        self.assertEqual([1, 1], [idle.open_count, busy.open_count])

    @with_own_system("run_pools")
    async def test_request_that_ends_while_it_waits_takes_no_room(self, pool):
        """Its place would be lost to all later requests."""
        for connection in [await pool.acquire(b"r") for _ in range(3)]:
            self.keep(pool, connection)
        waiting = asyncio.create_task(pool.acquire(b"r"))
        await asyncio.sleep(0)
        self.assertEqual(3, pool.open_count)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual(2, pool.open_count)

    @with_own_system("run_pools")
    async def test_requests_without_callers_make_room(self, pool):
        """Callers that send a write and leave could take all connections."""
        left, *others = [await pool.acquire(b"r") for _ in range(3)]
        pool.note_abandoned(left)
        await pool.acquire(b"r")
        self.assertEqual(3, pool.open_count)
        with testtools.ExpectedException(ExchangeAbandoned):
            await left.read_head()
        # Those whose callers wait go on, and more may be opened for others.
        for _ in range(3):
            self.assertTrue(pool.has_room)
            await pool.acquire(b"r")
        self.assertFalse(pool.has_room)
        with testtools.ExpectedException(ConnectionsExhausted):
            await pool.acquire(b"r")
        # Orders are few, and must reach a replica that callers keep busy.
        await pool.acquire()

    @with_own_system("run_pools", count=2, all_open=2)
    async def test_idle_connections_of_other_pools_make_room(self, busy, idle):
        """Without descriptors, no request could be sent to any replica."""
        self.keep(idle, await idle.acquire(b"r"))
        for _ in range(2):
            await busy.acquire(b"r")
        self.assertEqual([2, 0], [busy.open_count, idle.open_count])
        with testtools.ExpectedException(ConnectionsExhausted):
            await idle.acquire(b"r")


class ConnectionPoolTest(testtools.TestCase):
    def check_reuse(self, act, reused):
        """``act(socket)`` is done by the replica, just before the next request."""

        async def run():
            replica = BlockingReplica()
            pool = ConnectionPool(*replica.address)
            try:
                connection = await replica.exchange(pool)
                act(replica.sock)
                self.assertEqual(reused, await pool.acquire() is connection)
            finally:
                pool.close()
                replica.close()

        asyncio.run(run())

    def test_connection_that_the_replica_has_just_closed_is_not_used(self):
        """A write was sent on it, got a reset and had an unknown outcome, though no
        replica had seen it."""
        self.check_reuse(lambda sock: sock.close(), reused=False)

    def test_connection_with_bytes_that_answer_nothing_is_not_used(self):
        """A late second response would have been read as the next one."""
        self.check_reuse(lambda sock: sock.sendall(RESPONSE), reused=False)

    def test_quiet_connection_is_used_again(self):
        """Opening a connection for each request costs the replica a slot."""
        self.check_reuse(lambda sock: None, reused=True)

    def test_connection_that_is_being_closed_is_not_used(self):
        """A connection with a late second response, read in the same turn, was used: the
        request was not sent, and a sound replica was noted as silent."""

        async def run():
            replica = BlockingReplica()
            pool = ConnectionPool(*replica.address)
            try:
                connection = await replica.exchange(pool)
                # As the event loop does, in the turn of the next request.
                connection.data_received(RESPONSE)
                self.assertIsNot(connection, await pool.acquire())
            finally:
                pool.close()
                replica.close()

        asyncio.run(run())
