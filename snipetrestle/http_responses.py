"""Bounds what a peer sends in answer to one request, in bytes and in time.

Every byte of a peer passes through a ReadBudget on its way from the socket to the HTTP
parser, and callers see only a BoundedResponse, which has no unbounded read.
"""

import anyio
import httpcore

# Bytes of an answer that are not its body: heads, interim answers, chunk sizes and
# extensions, trailers. A body in chunks of one byte needs five for each of them.
MAX_OVERHEAD_BYTES = 256 * 1024
OVERHEAD_PER_BODY_BYTE = 16
# RFC 9110, section 15. Parsers accept any three digits.
MIN_STATUS = 100
MAX_STATUS = 599


def is_defined_status(status):
    """Whether HTTP defines the class of a status code; else a response is malformed."""
    return MIN_STATUS <= status <= MAX_STATUS


class ReadBudget:
    """Bytes and seconds that are left for the answer to one request.

    A new budget has neither, so nothing can be read before ``start``.
    """

    __slots__ = ("_deadline", "_overhead_bytes")

    def __init__(self):
        self._deadline = float("-inf")
        self._overhead_bytes = 0

    def start(self, timeout):
        """Begins the answer to a request, which may take ``timeout`` seconds."""
        self.extend(timeout)
        self._overhead_bytes = MAX_OVERHEAD_BYTES

    def extend(self, timeout):
        """Moves the deadline to ``timeout`` seconds from now."""
        self._deadline = anyio.current_time() + timeout

    def credit_body(self, size):
        """Notes that ``size`` bytes of body have arrived, which allows more overhead."""
        self._overhead_bytes = min(
            MAX_OVERHEAD_BYTES,
            self._overhead_bytes + (1 + OVERHEAD_PER_BODY_BYTE) * size,
        )

    def charge(self, size):
        """Notes ``size`` bytes from the socket. Raises RemoteProtocolError."""
        self._overhead_bytes -= size
        if self._overhead_bytes < 0:
            raise httpcore.RemoteProtocolError("too many bytes that are no body")

    def remaining_s(self):
        """Returns the seconds up to the deadline. Raises ReadTimeout after it."""
        remaining_s = self._deadline - anyio.current_time()
        if remaining_s <= 0:
            raise httpcore.ReadTimeout("the answer took too long")
        return remaining_s


class BoundedBackend(httpcore.AsyncNetworkBackend):
    """Network backend whose streams read and write within a ReadBudget."""

    def __init__(self, backend, budget):
        self._backend = backend
        self._budget = budget

    async def connect_tcp(self, *args, **kwargs):
        stream = await self._backend.connect_tcp(*args, **kwargs)
        return _BoundedStream(stream, self._budget)

    async def sleep(self, seconds):
        await self._backend.sleep(seconds)


class _BoundedStream(httpcore.AsyncNetworkStream):
    """Network stream that reads and writes within a ReadBudget."""

    def __init__(self, stream, budget):
        self._stream = stream
        self._budget = budget

    async def read(self, max_bytes, timeout=None):
        # The budget's deadline takes the place of a time-out for each read.
        data = await self._stream.read(max_bytes, self._budget.remaining_s())
        self._budget.charge(len(data))
        return data

    async def write(self, buffer, timeout=None):
        remaining_s = self._budget.remaining_s()
        if timeout is not None:
            remaining_s = min(timeout, remaining_s)
        await self._stream.write(buffer, remaining_s)

    async def aclose(self):
        await self._stream.aclose()

    async def start_tls(self, ssl_context, server_hostname=None, timeout=None):
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return _BoundedStream(stream, self._budget)

    def get_extra_info(self, info):
        return self._stream.get_extra_info(info)


class BoundedResponse:
    """Status, headers and body of an answer, whose body can still be arriving.

    ``answer`` is the ArrivingAnswer that counts what its body holds, or None. Raises
    RemoteProtocolError for a status that HTTP does not define.
    """

    def __init__(self, response, budget, answer=None):
        if not is_defined_status(response.status):
            raise httpcore.RemoteProtocolError(f"undefined status {response.status}")
        self.status = response.status
        self.headers = response.headers
        self._response = response
        self._budget = budget
        self._answer = answer

    async def read_body(self, max_bytes):
        """Returns the body, which must arrive within the time of its request.

        Raises RemoteProtocolError if it is larger than ``max_bytes``.
        """
        # A buffer instead of a list of chunks, whose objects would take a multiple of
        # the size of a body that arrives in chunks of a few bytes.
        body = bytearray()
        async for chunk in self._iterate_chunks():
            body += chunk
            if len(body) > max_bytes:
                raise httpcore.RemoteProtocolError("the answer is too large")
            await self._note_held(len(body))
        return bytes(body)

    async def _note_held(self, size):
        """Notes what the body holds; waits while all answers hold too much.

        Raises ReadTimeout if the time of the request ends meanwhile.
        """
        if self._answer is None:
            return
        self._answer.note_body(size)
        while self._answer.must_wait:
            has_room = anyio.Event()
            self._answer.on_room = has_room.set
            with anyio.move_on_after(self._budget.remaining_s()):
                await has_room.wait()

    async def iterate_messages(self, end, max_bytes, timeout):
        """Yields lists of complete messages of a body, without their ``end``.

        Each message may have ``max_bytes`` and take ``timeout`` seconds from the one
        before it. Raises RemoteProtocolError and ReadTimeout.
        """
        splitter = MessageSplitter(end, max_bytes)
        self._budget.extend(timeout)
        async for chunk in self._iterate_chunks():
            messages = splitter.feed(chunk)
            if messages:
                yield messages
                self._budget.extend(timeout)

    async def _iterate_chunks(self):
        async for chunk in self._response.aiter_stream():
            self._budget.credit_body(len(chunk))
            yield chunk


class MessageSplitter:
    """Splits bytes that arrive in pieces into messages that end with ``end``."""

    __slots__ = ("_end", "_max_bytes", "_partial_message")

    def __init__(self, end, max_bytes):
        self._end = end
        self._max_bytes = max_bytes
        self._partial_message = bytearray()

    def feed(self, data):
        """Returns the messages that are now complete.

        Raises RemoteProtocolError if a message exceeds the maximum, also an incomplete
        one.
        """
        # Searched again from its start, a message without end would take a time that
        # grows with the square of its size.
        search_from = max(0, len(self._partial_message) - len(self._end) + 1)
        self._partial_message += data
        messages = []
        if self._partial_message.find(self._end, search_from) >= 0:
            *messages, rest = bytes(self._partial_message).split(self._end)
            self._partial_message = bytearray(rest)
        largest = max(map(len, messages), default=0)
        if max(largest, len(self._partial_message)) > self._max_bytes:
            raise httpcore.RemoteProtocolError("a message is too large")
        return messages
