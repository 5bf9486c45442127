"""Server for tests that answers HTTP requests with prepared bytes, also broken ones."""

import asyncio
import contextlib

from snipetrestle_standins.platform_http import StandInServer, reset_on_close

# An endless answer stops by itself at this size, so that a test ends.
MAX_ENDLESS_BYTES = 64 * 1024 * 1024
RESET_DELAY_S = 0.02
FILLER = b"x" * 1000
# Statuses that HTTP does not define. Three digits are well-formed in any case.
UNDEFINED_STATUSES = ("000", "001", "099", "600", "999")


def ok(body, *headers):
    """Returns a complete answer with status 200."""
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class Endless:
    """An answer that begins with ``start`` and repeats ``part`` until it is closed."""

    def __init__(self, start, part=FILLER, pause_s=0.0):
        self.start = start
        self.part = part
        self.pause_s = pause_s


class Closing:
    """An answer that ends with its connection, which may be reset instead of closed."""

    def __init__(self, content, is_reset=False):
        self.content = content
        self.is_reset = is_reset


CHUNKED_START = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_ANSWERS = {
    "no HTTP": Endless(b""),
    "blank lines": Endless(b"", b"\r\n" * 500),
    "status line": Endless(b"HTTP/1.1 200 "),
    "head": Endless(b"HTTP/1.1 200 OK\r\n", b"X-F: %b\r\n" % FILLER),
    "interim answers": Endless(b"", b"HTTP/1.1 103 Early\r\nX-F: %b\r\n\r\n" % FILLER),
    "body": Endless(CHUNKED_START, b"3e8\r\n%b\r\n" % FILLER),
    "body without length": Endless(b"HTTP/1.1 200 OK\r\n\r\n"),
    "chunk extension": Endless(CHUNKED_START + b"5;"),
    "trailers": Endless(CHUNKED_START + b"0\r\n", b"X-F: %b\r\n" % FILLER),
    "trickling body": Endless(
        b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n", b"x", 0.05
    ),
}


class RawServer(StandInServer):
    """Answers each request by the next item of ``answers``, or the last one again.

    An item is the bytes of an answer, a Closing or an Endless. ``second_copy_delay_s``, if set,
    sends each answer again after this time. ``sent_bytes`` counts endless answers.
    """

    def __init__(self, *answers):
        super().__init__()
        self.answers = list(answers)
        self.requests = []
        self.second_copy_delay_s = None
        self.answer_delay_s = 0.0
        self.sent_bytes = 0

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def serve(self, request, writer):
        self.requests.append(request)
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if isinstance(answer, Endless):
            await self._send_without_end(answer, writer)
            return
        await asyncio.sleep(self.answer_delay_s)
        if isinstance(answer, Closing):
            await self._send_closing(answer, writer)
            return
        writer.write(answer)
        if self.second_copy_delay_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self.second_copy_delay_s, writer.write, answer)

    async def _send_closing(self, answer, writer):
        writer.write(answer.content)
        if answer.is_reset:
            # A reset discards what has not been read.
            await asyncio.sleep(RESET_DELAY_S)
            reset_on_close(writer)
        writer.close()

    async def _send_without_end(self, answer, writer):
        writer.write(answer.start)
        while self.sent_bytes < MAX_ENDLESS_BYTES:
            if writer.transport.is_closing():
                return
            writer.write(answer.part)
            self.sent_bytes += len(answer.part)
            await writer.drain()
            await asyncio.sleep(answer.pause_s)


@contextlib.asynccontextmanager
async def raw_server(*answers):
    """Runs a RawServer while the context is open."""
    server = RawServer(*answers)
    await server.start()
    try:
        yield server
    finally:
        await server.stop()
