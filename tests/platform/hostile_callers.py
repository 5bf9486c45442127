"""Callers that make a gateway process hold much, and what the process then uses.

They send what the limits of a single message allow, and stop just before the end or
read nothing. All stay open until the test has looked at the process.
"""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import time

from snipetrestle_standins.gateway_fleet import HOSTNAME

BODY_BYTES = 4_194_304
HEAD_BYTES = 16_384
PIECE_BYTES = 65_536
SMALL_BUFFER_BYTES = 4096
# The process counts as idle when it uses less than this share of a core for so long.
IDLE_CHECK_S = 0.5
IDLE_CPU_SHARE = 0.15
# Callers that open again at once pause for this long, so that others run as well.
REOPEN_PAUSE_S = 0.01
RESET_CHECK_S = 0.05
# The state of a connection in /proc/net/tcp.
_ESTABLISHED = "01"
# The states of a thread in /proc/PID/stat that does not run: stopped, or ended.
_HALTED = "TZX"
HALT_POLL_INTERVAL_S = 0.0005
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def head(*lines, path="/entry/a", method="POST"):
    """Returns a request head with further lines."""
    start = f"{method} {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Request-Id: r\r\n"
    return (start + "".join(f"{line}\r\n" for line in lines) + "\r\n").encode()


def pieces_of(content, size=PIECE_BYTES):
    """Returns a content in pieces."""
    return [content[start : start + size] for start in range(0, len(content), size)]


def chunk(data):
    """Returns a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def whole_body():
    """A body of the largest size without its last byte, at once."""
    return [head(f"Content-Length: {BODY_BYTES}") + b"x" * (BODY_BYTES - 1)]


def body_in_pieces():
    """The same in pieces that are sent one after the other."""
    (content,) = whole_body()
    return pieces_of(content)


def large_chunks():
    """A body of nearly the largest size in large chunks, without the last one."""
    count = BODY_BYTES // PIECE_BYTES - 1
    return [head("Transfer-Encoding: chunked"), *[chunk(b"x" * PIECE_BYTES)] * count]


def small_chunks(size):
    """A body of 200,000 chunks of a few bytes, without the last one."""
    content = chunk(b"x" * size) * 200_000
    return [head("Transfer-Encoding: chunked"), *pieces_of(content)]


def short_lines(line):
    """A head of thousands of short lines, without its end."""
    start = head()[:-2]
    return [start + line * ((HEAD_BYTES - 2 * len(start)) // len(line))]


def whole_heads(line):
    """Complete requests of thousands of short lines each."""
    (start,) = short_lines(line)
    return [start.replace(b"POST /entry", b"GET /lookup") + b"\r\n"] * 4


def pipelined(path):
    """Small requests that are pipelined in great number."""
    return pieces_of(head(path=path, method="GET") * 8000)


def unread_answers(path):
    """Requests with large answers, of which nothing is read."""
    return [head(path=path, method="GET")] * 8


class HostileCaller:
    """Sends pieces on a connection, and reads only if ``reads`` is set."""

    def __init__(self, address, pieces, reads):
        self._address = address
        self._pieces = pieces
        self._reads = reads
        self._sock = None

    async def send(self):
        """Sends all pieces, or as many as the process takes before it closes."""
        loop = asyncio.get_running_loop()
        self._sock = socket.socket()
        self._sock.setblocking(False)
        if not self._reads:
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
        reader = None
        with contextlib.suppress(OSError):
            await loop.sock_connect(self._sock, self._address)
            if self._reads:
                reader = asyncio.create_task(self._read())
            for piece in self._pieces:
                await loop.sock_sendall(self._sock, piece)
                # The other callers send in between.
                await asyncio.sleep(0)
        return reader

    async def _read(self):
        with contextlib.suppress(OSError):
            while await asyncio.get_running_loop().sock_recv(self._sock, PIECE_BYTES):
                pass

    def close(self):
        if self._sock is not None:
            self._sock.close()


class HostileCallers:
    """A number of callers that all send the same pieces at once.

    A caller whose bytes the process no longer takes stays open all the same.
    """

    def __init__(self, address, count, pieces, reads=True):
        self._callers = [HostileCaller(address, pieces, reads) for _ in range(count)]
        self._tasks = []

    def start(self):
        self._tasks = [asyncio.create_task(item.send()) for item in self._callers]

    async def stop(self):
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.result() is not None:
                self._tasks.append(task.result())
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for caller in self._callers:
            caller.close()


class ProcessUsage:
    """What the kernel tells of a process."""

    def __init__(self, pid):
        self._folder = pathlib.Path(f"/proc/{pid}")

    @property
    def peak_memory_bytes(self):
        """The largest memory that the process has used so far."""
        return self._status_bytes("VmHWM")

    @property
    def memory_bytes(self):
        """The memory that the process uses."""
        return self._status_bytes("VmRSS")

    def _status_bytes(self, name):
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1]) * 1024
        raise LookupError(name)

    @property
    def descriptor_count(self):
        """The number of its open descriptors."""
        return len(list((self._folder / "fd").iterdir()))

    @property
    def socket_count(self):
        """The number of its open sockets and pipes."""
        count = 0
        for path in (self._folder / "fd").iterdir():
            # It may have been closed since the folder was read.
            with contextlib.suppress(FileNotFoundError):
                count += os.readlink(path).startswith(("socket:", "pipe:"))
        return count

    def count_connections_to(self, port):
        """Returns the number of connections to a port of this machine.

        Those that have been closed or reset do not count, whatever the other side has
        noticed. The process is stopped meanwhile: the table is read in parts, for up to
        0.3 s, in which closed connections would count beside those that replace them.
        """
        with self._halted():
            lines = (self._folder / "net/tcp").read_text().splitlines()[1:]
        fields = [line.split() for line in lines]
        remote_end = f":{port:04X}"
        return sum(
            item[2].endswith(remote_end) and item[3] == _ESTABLISHED for item in fields
        )

    @contextlib.contextmanager
    def _halted(self):
        """Stops the process and all its threads while the context is open."""
        pid = int(self._folder.name)
        os.kill(pid, signal.SIGSTOP)
        try:
            while not self._is_halted:
                time.sleep(HALT_POLL_INTERVAL_S)
            yield
        finally:
            os.kill(pid, signal.SIGCONT)

    @property
    def _is_halted(self):
        paths = (self._folder / "task").glob("*/stat")
        return all(_state_of(path.read_text()) in _HALTED for path in paths)

    @property
    def cpu_s(self):
        """The time for which it has run."""
        fields = (self._folder / "stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    async def wait_idle(self):
        """Waits until the process has nothing more to do for what was sent to it."""
        await self.wait_idle_or(lambda: False)

    async def wait_idle_or(self, condition):
        """The same, or until ``condition()`` is true."""
        used_s = float("inf")
        while used_s > IDLE_CPU_SHARE * IDLE_CHECK_S and not condition():
            before_s = self.cpu_s
            await asyncio.sleep(IDLE_CHECK_S)
            used_s = self.cpu_s - before_s


def _state_of(stat):
    """Returns the letter of a thread's state, from the text of its file ``stat``."""
    return stat.rpartition(")")[2].split()[0]


def short_chunked_body():
    """A chunked body that stops after its first byte."""
    return [head("Transfer-Encoding: chunked") + b"400\r\na"]


def whole_requests(count, body_bytes):
    """Pipelined requests with bodies."""
    return [head(f"Content-Length: {body_bytes}") + b"x" * body_bytes] * count


def requests_before_unfinished(count, body_bytes):
    """The same before a request that stops a byte short."""
    return [*whole_requests(count, body_bytes), *body_in_pieces()]


class PersistentCallers:
    """Callers that open a new connection as soon as theirs is ended.

    ``reads`` tells whether they read what they get, and ``stays`` whether they wait for
    the end of a connection, or end it themselves once all is sent. Use as an async
    context manager. ``ended_count`` is the number of connections that were ended, or not
    accepted.
    """

    def __init__(self, address, count, pieces, reads=True, stays=True):
        self.ended_count = 0
        self._address = address
        self._count = count
        self._pieces = pieces
        self._reads = reads
        self._stays = stays
        self._tasks = []

    async def __aenter__(self):
        self._tasks = [asyncio.create_task(self._run()) for _ in range(self._count)]
        return self

    async def __aexit__(self, *details):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self):
        while True:
            with contextlib.suppress(OSError):
                await self._send()
            self.ended_count += 1
            await asyncio.sleep(REOPEN_PAUSE_S)

    async def _send(self):
        """Sends all pieces, and returns once the connection has ended."""
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, self._address)
            sender = asyncio.create_task(self._send_pieces(sock))
            try:
                if not self._stays:
                    await sender
                    return
                while self._reads and await loop.sock_recv(sock, PIECE_BYTES):
                    pass
                await sender
                if not self._reads:
                    await self._wait_reset(sock)
            finally:
                sender.cancel()
                await asyncio.gather(sender, return_exceptions=True)

    async def _send_pieces(self, sock):
        with contextlib.suppress(OSError):
            for piece in self._pieces:
                await asyncio.get_running_loop().sock_sendall(sock, piece)

    async def _wait_reset(self, sock):
        """Waits until a connection of which nothing is read has been reset."""
        while not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):  # noqa: ASYNC110
            await asyncio.sleep(RESET_CHECK_S)
