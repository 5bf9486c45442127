"""Reads the answers on one connection from its raw bytes, apart from the product's code.

Strict: anything that is not exactly an answer, or its interim responses, is an error.
"""

import re
import typing

_STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3}) [^\r\n]*")
_FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+): ?([^\r\n]*)")
_CHUNK_SIZE = re.compile(rb"([0-9a-f]{1,8})\r\n")
BODILESS_STATUSES = (204, 304)


class NotAnAnswer(Exception):
    """Bytes that are not framed as an answer to the request in question."""


class Answer(typing.NamedTuple):
    """An answer, with the statuses of the interim responses before it.

    ``body`` is None for an answer that has none by its nature. Field names are in lower
    case.
    """

    status: int
    fields: dict
    body: bytes | None
    interim_statuses: tuple

    @property
    def closes(self):
        """Whether it announces the end of the connection."""
        return self.fields.get(b"connection", b"").lower() == b"close"


class Incomplete(Exception):
    """More bytes are needed."""


def _read_head(data, position):
    """Returns (status, fields, position behind the head)."""
    end = data.find(b"\r\n\r\n", position)
    if end < 0:
        raise Incomplete
    start_line, *lines = data[position:end].split(b"\r\n")
    match = _STATUS_LINE.fullmatch(start_line)
    if match is None:
        raise NotAnAnswer(f"no status line: {start_line[:80]!r}")
    fields = {}
    for line in lines:
        field = _FIELD.fullmatch(line)
        if field is None or field[1].lower() in fields:
            raise NotAnAnswer(f"malformed or repeated field: {line[:80]!r}")
        fields[field[1].lower()] = field[2]
    return int(match[1]), fields, end + 4


def _read_chunks(data, position):
    """Returns (body, position behind the last chunk)."""
    body = b""
    while True:
        match = _CHUNK_SIZE.match(data, position)
        if match is None:
            if b"\r\n" in data[position:]:
                raise NotAnAnswer(f"no chunk: {data[position : position + 80]!r}")
            raise Incomplete
        start = match.end()
        end = start + int(match[1], 16)
        if len(data) < end + 2:
            raise Incomplete
        if data[end : end + 2] != b"\r\n":
            raise NotAnAnswer("a chunk is longer than its size")
        body += data[start:end]
        position = end + 2
        if start == end:
            return body, position


def read_answer(data, position, method):
    """Returns the Answer to a request with this method, and the position behind it.

    ``method`` is None if the answer is one to no sound request. Raises Incomplete or
    NotAnAnswer.
    """
    interim_statuses = []
    while True:
        status, fields, position = _read_head(data, position)
        if status >= 200:
            break
        if fields:
            raise NotAnAnswer(f"interim response with {fields}")
        interim_statuses.append(status)
    length = fields.get(b"content-length")
    encoding = fields.get(b"transfer-encoding")
    if length is not None and (encoding is not None or not length.isdigit()):
        raise NotAnAnswer(f"unclear framing: {fields}")
    if method == "HEAD" or status in BODILESS_STATUSES:
        return Answer(status, fields, None, tuple(interim_statuses)), position
    if encoding is not None:
        if encoding != b"chunked":
            raise NotAnAnswer(f"unclear framing: {fields}")
        body, position = _read_chunks(data, position)
    elif length is not None:
        end = position + int(length)
        if len(data) < end:
            raise Incomplete
        body, position = data[position:end], end
    else:
        raise NotAnAnswer(f"the end of the body is not marked: {fields}")
    return Answer(status, fields, body, tuple(interim_statuses)), position
