"""Closes listening sockets without resetting the connections in the kernel's queue."""

import asyncio
import contextlib


class ListenerCloser:
    """Closes asyncio servers and serves the connections that the kernel has accepted.

    ``create_protocol()`` makes the protocol of a connection; ``tls`` is its
    ssl.SSLContext, if any.
    """

    def __init__(self, create_protocol, tls=None):
        self._create_protocol = create_protocol
        self._tls = tls
        self._tasks = set()

    @property
    def is_opening(self):
        """Whether connections have been taken whose protocols are not yet connected."""
        return bool(self._tasks)

    def close(self, server):
        """Closes the sockets of a server; new connections are refused from now on."""
        if not server.is_serving():
            return
        # The queue is reset with the last descriptor of its socket.
        listeners = [sock.dup() for sock in server.sockets]
        server.close()
        for listener in listeners:
            with listener:
                self._take_queued(listener)

    def _take_queued(self, listener):
        listener.setblocking(False)
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                sock.setblocking(False)
                task = asyncio.create_task(self._open(sock))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _open(self, sock):
        loop = asyncio.get_running_loop()
        # A caller that has left, or that fails the TLS handshake, gets no answer.
        with contextlib.suppress(OSError):
            await loop.connect_accepted_socket(
                self._create_protocol, sock, ssl=self._tls
            )
