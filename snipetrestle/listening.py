"""Listens for connections, and takes no more than there is room for.

asyncio's own servers take all connections that wait, before any other can be ended.
"""

import asyncio
import contextlib
import ipaddress
import socket

from snipetrestle.supervision import run_supervised

# Connections that the kernel keeps until the process takes them.
LISTEN_BACKLOG = 512
# Pause after the kernel could not give a descriptor or memory.
ACCEPT_RETRY_S = 0.1
# While there is no room, it is looked for at this interval.
ROOM_CHECK_INTERVAL_S = 0.005
# Connections that are taken, but not counted yet as their protocols are not connected.
MAX_OPENING = 8


class ConnectionSlots:
    """Room for a fixed number of connections, none of which is ended for another."""

    def __init__(self, max_count):
        self._max_count = max_count
        self._count = 0

    async def wait_for_room(self, count_opening):
        """Returns once another connection may be taken.

        ``count_opening()`` returns the number of those that are not counted yet.
        """
        # No event tells that one of these has been counted, or has failed.
        while self._count + count_opening() >= self._max_count:  # noqa: ASYNC110
            await asyncio.sleep(ROOM_CHECK_INTERVAL_S)

    def count_free(self):
        """Returns how many connections may be taken now."""
        return max(0, int(self._max_count) - self._count)

    @contextlib.contextmanager
    def taken(self):
        """Counts a connection while the context lasts."""
        self._count += 1
        try:
            yield
        finally:
            self._count -= 1


class Listener:
    """Takes the connections of one address, one at a time.

    ``create_protocol()`` makes the protocol of a connection. ``room`` is a CallerMemory
    or a ConnectionSlots, which tells when there is room for another one.
    """

    def __init__(self, sock, create_protocol, room):
        self._socket = sock
        self._create_protocol = create_protocol
        self._room = room
        self._opening = set()
        self._task = asyncio.create_task(run_supervised(self._run))

    @classmethod
    def open(cls, address, create_protocol, room):
        """Listens at ``(ip, port)``. Raises OSError or ValueError."""
        return cls(_bind(address), create_protocol, room)

    @property
    def sockets(self):
        """The listening socket in a tuple, which is empty once it is closed."""
        return () if self._socket is None else (self._socket,)

    @property
    def is_opening(self):
        """Whether connections have been taken whose protocols are not yet connected."""
        return bool(self._opening)

    def _count_opening(self):
        return len(self._opening)

    async def _run(self):
        while True:
            while len(self._opening) >= MAX_OPENING:
                await asyncio.wait(self._opening, return_when="FIRST_COMPLETED")
            await self._room.wait_for_room(self._count_opening)
            try:
                sock, _ = self._socket.accept()
            except BlockingIOError:
                await self._wait_for_connection()
            except OSError:
                await asyncio.sleep(ACCEPT_RETRY_S)
            else:
                sock.setblocking(False)
                self._start(sock)

    async def _wait_for_connection(self):
        """Returns once a connection waits in the kernel.

        ``loop.sock_accept`` takes the connection before the task runs again. If the task
        was cancelled between the two, the connection was lost.
        """
        loop = asyncio.get_running_loop()
        waiting = loop.create_future()
        sock = self._socket

        def note():
            loop.remove_reader(sock)
            if not waiting.done():
                waiting.set_result(None)

        loop.add_reader(sock, note)
        await waiting

    def _start(self, sock):
        task = asyncio.create_task(self._connect(sock))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _connect(self, sock):
        loop = asyncio.get_running_loop()
        # A caller that has left gets no answer.
        with contextlib.suppress(OSError):
            await loop.connect_accepted_socket(self._create_protocol, sock)

    def close(self):
        """Refuses new connections from now on.

        Those that the kernel has accepted before are served as far as there is room. It
        resets the others.
        """
        sock = self._stop()
        if sock is None:
            return
        free_count = max(MAX_OPENING, self._room.count_free())
        with sock, contextlib.suppress(OSError):
            for _ in range(free_count):
                accepted, _ = sock.accept()
                accepted.setblocking(False)
                self._start(accepted)

    async def wait_closed(self):
        """Returns at once; for uvicorn, which waits for asyncio's servers."""

    def abort(self):
        """Closes the socket, also to connections that the kernel has accepted."""
        sock = self._stop()
        if sock is not None:
            sock.close()

    def _stop(self):
        """Ends the task, and returns the socket unless it is closed."""
        sock, self._socket = self._socket, None
        if sock is not None:
            self._task.cancel()
            # The task would end its wait only after the socket is closed.
            asyncio.get_running_loop().remove_reader(sock)
        return sock


def _bind(address):
    """Returns a listening socket. Raises OSError or ValueError."""
    is_v6 = ipaddress.ip_address(address[0]).version == 6
    sock = socket.socket(socket.AF_INET6 if is_v6 else socket.AF_INET)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if is_v6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        sock.bind(address)
        sock.listen(LISTEN_BACKLOG)
    except BaseException:
        sock.close()
        raise
    return sock
