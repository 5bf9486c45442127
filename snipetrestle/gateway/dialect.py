"""What the gateway needs to know of a message, apart from how it is spelled.

The adapter of a platform implements ``Dialect``; the gateway knows no header names of a
platform. Header names are lower-case bytes; values are bytes.
"""

import typing

import msgspec

from snipetrestle.gateway.configuration import AdapterKey


class RequestFacts(msgspec.Struct):
    """What the headers of a caller's request say.

    ``deadline_s`` is the time that the caller waits, from the arrival of the request.
    ``adapter`` has an empty adapter name for the plain model, and is None for requests
    that name no model. Token counts are 0 where they are not given.
    """

    request_id: bytes
    deadline_s: float | None = None
    adapter: AdapterKey | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event_id: int | None = None


class ResponseFacts(msgspec.Struct):
    """What the headers of a replica's response say.

    ``request_id`` is the one that the response answers, None if it names none.
    ``proven`` tells whether the replica proves that the response is its own.
    ``not_executed`` states that the request did not run and will not run.
    ``idle_timeout_s`` is how long the replica keeps an idle connection.
    """

    request_id: bytes | None
    proven: bool
    not_executed: bool
    encoded: bool
    idle_timeout_s: float | None
    headers: list


class Sending(msgspec.Struct):
    """What the gateway adds to a request for one replica."""

    replica_id: str
    remaining_s: float
    priority: int
    version: int | None = None
    last_event_id: int | None = None


class Dialect(typing.Protocol):
    """Reads and writes the headers of a platform."""

    def read_request(self, headers) -> RequestFacts | None:
        """Returns the facts, or None if the headers are malformed."""

    def request_head(self, method, target, headers, body_length, sending) -> bytes:
        """Returns the head of the request for a replica."""

    def read_response(self, status, headers) -> ResponseFacts:
        """Returns the facts, with the headers that are passed to the caller."""
