"""Small HTTP/1.1 server for stand-ins that write raw bytes, also malformed ones."""

import asyncio
import contextlib
import socket
import struct

import msgspec

REASON_PHRASE = "Stand-In"


class StandInRequest:
    """An HTTP request. Header names are in lower case."""

    __slots__ = ("method", "target", "headers", "body")

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def json(self):
        return msgspec.json.decode(self.body)


async def read_request(reader):
    """Returns a StandInRequest, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return StandInRequest(method, target, headers, body)


def response(status, headers=(), body=b""):
    """Returns the bytes of a response with a Content-Length."""
    lines = [f"HTTP/1.1 {status} {REASON_PHRASE}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def json_response(status, content, headers=()):
    return response(
        status,
        [("Content-Type", "application/json"), *headers],
        msgspec.json.encode(content),
    )


def reset_on_close(writer):
    """Makes the end of a connection a reset, which may discard what was sent before."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class StandInServer:
    """Listens on loopback; subclasses answer each request in ``serve``.

    ``connections`` counts the connections that were accepted.
    """

    def __init__(self):
        self.port = None
        self.connections = 0
        self.open_writers = set()
        self._tasks = set()
        self._server = None

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Closes the port and all connections."""
        self._server.close()
        self.reset_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset_connections(self):
        for writer in list(self.open_writers):
            writer.transport.abort()

    def _accept(self, reader, writer):
        task = asyncio.get_running_loop().create_task(
            self._serve_connection(reader, writer)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_connection(self, reader, writer):
        self.connections += 1
        self.open_writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while (request := await read_request(reader)) is not None:
                    await self.serve(request, writer)
                    await writer.drain()
        finally:
            self.open_writers.discard(writer)
            writer.close()

    async def serve(self, request, writer):
        """Answers a request by writing to ``writer``."""
        raise NotImplementedError
