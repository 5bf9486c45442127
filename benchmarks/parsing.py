"""Measures what each byte of a peer costs the parsers, in pieces of several sizes.

A peer chooses the size of its pieces, and all requests of a host share one event loop.
The last line is one JSON object with nanoseconds a byte by parser and piece size, the
ratio of the slowest to the fastest for pieces of 64 bytes and more, and the growth: the
time a byte for the whole content relative to that for its first quarter, in pieces of
64 bytes. It is about 1 if the cost is linear, and 4 if it is quadratic.
"""

import asyncio
import time
import types
import typing

import msgspec

from snipetrestle.gateway.backends.http_client import (
    MAX_OVERHEAD_BYTES,
    ReplicaConnection,
)
from snipetrestle.gateway.callers.http_listener import HttpServer
from snipetrestle.gateway.callers.http_server import CallerConnection
from snipetrestle.gateway.configuration import CallerLimits
from snipetrestle.gateway.exchange import Exchange
from snipetrestle.gateway.streams.event_stream import EventSplitter
from snipetrestle.http_responses import MessageSplitter

CONTENT_BYTES = 1_048_576
PIECE_BYTES = (1, 64, 1448)
# Smaller pieces cost what a call costs.
MIN_RATIO_PIECE_BYTES = 64
# The growth is compared between this part of the content and all of it, by the best of
# some runs.
GROWTH_PART = 0.25
GROWTH_PIECE_BYTES = 64
GROWTH_RUNS = 5


class Parser(typing.NamedTuple):
    """A parser to measure: its input and what takes it, piece by piece."""

    feed: typing.Callable
    content: bytes
    # Called after the last piece.
    finish: typing.Callable = lambda: None


class _Transport:
    """Transport of a connection whose bytes come from the benchmark."""

    def get_extra_info(self, name):
        return self

    def setsockopt(self, *options):
        pass

    def set_write_buffer_limits(self, high):
        pass

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        pass

    def write(self, data):
        pass

    def fileno(self):
        return -1

    def can_write_eof(self):
        return True

    def write_eof(self):
        pass

    def close(self):
        pass

    def abort(self):
        raise RuntimeError("the connection was closed")

    def is_closing(self):
        return False

    def resume_reading(self):
        pass


class _Pieces:
    """The reading end of a connection that has all pieces of a body."""

    def __init__(self):
        self._pieces = []
        self.add = self._pieces.append
        self._read_count = 0

    async def read(self):
        self._read_count += 1
        if self._read_count > len(self._pieces):
            return b""
        return self._pieces[self._read_count - 1]


def _run_ready(coroutine):
    """Runs a coroutine that has nothing to wait for, and returns its result."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise RuntimeError("the coroutine waits")


def endless_event():
    return Parser(EventSplitter().feed, b"data: " + b"x" * (CONTENT_BYTES - 6))


def short_events():
    lines = []
    size = number = 0
    while size < CONTENT_BYTES:
        number += 1
        lines.append(b"id: %d\ndata: %b\n\n" % (number, b"x" * 100))
        size += len(lines[-1])
    return Parser(EventSplitter().feed, b"".join(lines))


def endless_engine_event():
    return Parser(MessageSplitter(b"\n\n", CONTENT_BYTES).feed, b"x" * CONTENT_BYTES)


def short_engine_events():
    event = b"data: %b\n\n" % (b"x" * 100)
    content = event * (CONTENT_BYTES // len(event))
    return Parser(MessageSplitter(b"\n\n", CONTENT_BYTES).feed, content)


def request_body():
    connection = _open_connection()
    connection.data_received(
        b"POST / HTTP/1.1\r\nHost: example\r\nContent-Length: %d\r\n\r\n"
        % CONTENT_BYTES
    )
    return Parser(connection.data_received, b"x" * (CONTENT_BYTES - 1))


def pipelined_bytes():
    """Bytes that wait while a request is handled."""
    connection = _open_connection()
    connection.busy = True
    return Parser(connection.data_received, b"x" * CONTENT_BYTES)


def _open_connection():
    limits = CallerLimits(max_body_bytes=2 * CONTENT_BYTES)
    connection = CallerConnection(HttpServer(None, lambda: limits))
    connection.connection_made(_Transport())
    return connection


def response_head():
    """A header field of a replica, nearly as long as all of a response's overhead."""
    connection = _open_replica_connection()
    connection.data_received(b"HTTP/1.1 200 OK\r\nX-Field: ")
    return Parser(connection.data_received, b"x" * (MAX_OVERHEAD_BYTES - 1000))


def response_body():
    return _response_body(b"Content-Length: %d" % CONTENT_BYTES, b"x" * CONTENT_BYTES)


def response_tiny_chunks():
    chunk = b"1\r\nx\r\n"
    content = chunk * (CONTENT_BYTES // len(chunk))
    return _response_body(b"Transfer-Encoding: chunked", content)


def _response_body(framing, content):
    connection = _open_replica_connection()
    connection.data_received(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % framing)

    def feed(data):
        connection.data_received(data)
        if connection.has_unread_body:
            _run_ready(connection.read())

    return Parser(feed, content)


def unread_response_body():
    """A body of which the pieces wait, and are then joined for a slow caller."""
    connection = _open_replica_connection()
    connection.data_received(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % CONTENT_BYTES
    )
    return Parser(
        connection.data_received,
        b"x" * CONTENT_BYTES,
        lambda: _run_ready(connection.read()),
    )


def _open_replica_connection():
    connection = ReplicaConnection()
    connection.connection_made(_Transport())
    connection.send_request(b"GET / HTTP/1.1\r\n\r\n", lambda head: True)
    return connection


def collected_answer():
    """The body of an answer to an order, a report or a read of the store."""
    pieces = _Pieces()
    return Parser(
        pieces.add,
        b"x" * CONTENT_BYTES,
        lambda: _run_ready(ReplicaConnection.read_all(pieces, CONTENT_BYTES)),
    )


def collected_response():
    """The body of a replica's response to a call."""
    pieces = _Pieces()
    replica = types.SimpleNamespace(note_heard=lambda: None)
    exchange = Exchange(None, None, replica)
    exchange._connection = pieces
    return Parser(
        pieces.add, b"x" * CONTENT_BYTES, lambda: _run_ready(exchange.read_body())
    )


PARSERS = (
    endless_event,
    short_events,
    endless_engine_event,
    short_engine_events,
    request_body,
    pipelined_bytes,
    response_head,
    response_body,
    response_tiny_chunks,
    unread_response_body,
    collected_answer,
    collected_response,
)


def measure(parser, piece_bytes, part=1.0):
    """Returns the nanoseconds of processor time for each byte of a part."""
    feed, content, finish = parser()
    content = content[: int(part * len(content))]
    started_ns = time.process_time_ns()
    for start in range(0, len(content), piece_bytes):
        feed(content[start : start + piece_bytes])
    finish()
    return (time.process_time_ns() - started_ns) / len(content)


def measure_growth(parser):
    """Returns the time a byte for all content relative to that for a part of it."""
    whole, part = (
        min(measure(parser, GROWTH_PIECE_BYTES, part) for _ in range(GROWTH_RUNS))
        for part in (1.0, GROWTH_PART)
    )
    return whole / part


async def main():
    result = {}
    for parser in PARSERS:
        by_size = {size: round(measure(parser, size), 1) for size in PIECE_BYTES}
        compared = [by_size[s] for s in PIECE_BYTES if s >= MIN_RATIO_PIECE_BYTES]
        ratio = round(max(compared) / max(0.1, min(compared)), 1)
        growth = round(measure_growth(parser), 2)
        result[parser.__name__] = {
            "ns_per_byte": by_size,
            "ratio": ratio,
            "growth": growth,
        }
        print(
            f"{parser.__name__:20} {by_size} ratio {ratio} growth {growth}", flush=True
        )
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    asyncio.run(main())
