"""Measures what each byte of a peer costs the parsers, in pieces of several sizes.

A peer chooses the size of its pieces, and all requests of a host share one event loop.
The last line is one JSON object with nanoseconds a byte by parser and piece size, and
the ratio of the slowest to the fastest for pieces of 64 bytes and more.
"""

import asyncio
import time

import msgspec

from snipetrestle.gateway.app import HttpServer
from snipetrestle.gateway.configuration import CallerLimits
from snipetrestle.gateway.event_stream import EventSplitter
from snipetrestle.gateway.http_server import CallerConnection
from snipetrestle.http_responses import MessageSplitter

CONTENT_BYTES = 1_048_576
PIECE_BYTES = (1, 64, 1448)
# Smaller pieces cost what a call costs.
MIN_RATIO_PIECE_BYTES = 64


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

    def close(self):
        pass


def endless_event():
    return EventSplitter().feed, b"data: " + b"x" * (CONTENT_BYTES - 6)


def short_events():
    lines = []
    size = number = 0
    while size < CONTENT_BYTES:
        number += 1
        lines.append(b"id: %d\ndata: %b\n\n" % (number, b"x" * 100))
        size += len(lines[-1])
    return EventSplitter().feed, b"".join(lines)


def endless_engine_event():
    return MessageSplitter(b"\n\n", CONTENT_BYTES).feed, b"x" * CONTENT_BYTES


def short_engine_events():
    event = b"data: %b\n\n" % (b"x" * 100)
    content = event * (CONTENT_BYTES // len(event))
    return MessageSplitter(b"\n\n", CONTENT_BYTES).feed, content


def request_body():
    connection = _open_connection()
    connection.data_received(
        b"POST / HTTP/1.1\r\nHost: example\r\nContent-Length: %d\r\n\r\n"
        % CONTENT_BYTES
    )
    return connection.data_received, b"x" * (CONTENT_BYTES - 1)


def pipelined_bytes():
    """Bytes that wait while a request is handled."""
    connection = _open_connection()
    connection.busy = True
    return connection.data_received, b"x" * CONTENT_BYTES


def _open_connection():
    limits = CallerLimits(max_body_bytes=2 * CONTENT_BYTES)
    connection = CallerConnection(HttpServer(None, lambda: limits))
    connection.connection_made(_Transport())
    return connection


PARSERS = (
    endless_event,
    short_events,
    endless_engine_event,
    short_engine_events,
    request_body,
    pipelined_bytes,
)


def measure(parser, piece_bytes):
    """Returns the nanoseconds of processor time for each byte."""
    feed, content = parser()
    started_ns = time.process_time_ns()
    for start in range(0, len(content), piece_bytes):
        feed(content[start : start + piece_bytes])
    return (time.process_time_ns() - started_ns) / len(content)


async def main():
    result = {}
    for parser in PARSERS:
        by_size = {size: round(measure(parser, size), 1) for size in PIECE_BYTES}
        compared = [by_size[s] for s in PIECE_BYTES if s >= MIN_RATIO_PIECE_BYTES]
        ratio = round(max(compared) / max(0.1, min(compared)), 1)
        result[parser.__name__] = {"ns_per_byte": by_size, "ratio": ratio}
        print(f"{parser.__name__:20} {by_size} ratio {ratio}", flush=True)
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    asyncio.run(main())
