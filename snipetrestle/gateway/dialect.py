"""Interface between the gateway and the header format of a platform.

The platform's package implements ``Dialect``, so the gateway itself knows no header
names of a platform. Header names are lower-case bytes; values are bytes.
"""

import enum
import typing

import msgspec

from snipetrestle.gateway.configuration import AdapterKey


class TokenCount(enum.StrEnum):
    """Whether a request declares its numbers of tokens."""

    ABSENT = "absent"
    VALID = "valid"
    MALFORMED = "malformed"


class KeyProblem(enum.StrEnum):
    """Why a request has no API key that could be known."""

    MISSING = "no key"
    EMPTY = "empty key"
    TOO_LONG = "key too long"
    REPEATED = "several keys"


class RequestMetadata(msgspec.Struct):
    """Metadata from the headers of a caller's request.

    ``deadline_s`` is the time that the caller waits, from the first byte of the request.
    ``adapter`` has an empty adapter name for the base model, and is None for requests
    that name no model. Token counts are 0 if the caller gives none;
    ``token_count`` tells whether their header was absent, valid or malformed.
    ``shared_prompt_parts`` are the keys of the parts of the prompt, in order, without
    those that belong to this request alone; see ``prompt_part_key``. ``own_prompt_part``
    is the id of the part that does, or None. ``key_digest`` is
    the digest of the caller's API key; it is None with a ``key_problem``.
    ``resumes`` is the id of the request that began the stream which this one takes up,
    or None. ``has_bad_resumes`` tells that such an id is malformed, or lacks the event
    to go on from.
    """

    request_id: bytes
    deadline_s: float | None = None
    adapter: AdapterKey | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event_id: int | None = None
    shared_prompt_parts: tuple[str, ...] = ()
    token_count: TokenCount = TokenCount.ABSENT
    key_digest: str | None = None
    key_problem: KeyProblem | None = KeyProblem.MISSING
    own_prompt_part: str | None = None
    resumes: bytes | None = None
    has_bad_resumes: bool = False


class ResponseMetadata(msgspec.Struct):
    """Metadata from the headers of a replica's response.

    ``request_id`` is the id of the request that the response belongs to, or None.
    ``signed`` tells whether the response carries the replica's signature.
    ``not_executed`` states that the request did not run and will not run.
    ``content_encoded`` tells whether the body has a content coding such as gzip.
    ``idle_timeout_s`` is how long the replica keeps an idle connection open.
    ``headers`` are those to pass to the caller. ``request_limit_per_s`` is the number
    of requests a second that the replica takes from all hosts together, or None.
    ``replica_leaving`` tells that the replica takes no new requests until its next
    start. ``replica_id`` is the id that the response names its sender by, or None.
    ``pause_s`` is the time for which a replica that turned the request away wants
    nothing from this host, or None. ``content_length`` is the length that the response
    declares, or None.
    """

    request_id: bytes | None
    signed: bool
    not_executed: bool
    content_encoded: bool
    idle_timeout_s: float | None
    headers: list
    request_limit_per_s: float | None = None
    replica_leaving: bool = False
    replica_id: str | None = None
    pause_s: float | None = None
    content_length: int | None = None


class AttemptMetadata(msgspec.Struct):
    """Values that the gateway adds to the headers of one attempt at a replica.

    ``replica_id`` names the replica that must handle the request, ``remaining_s`` is
    the time until its deadline, and ``version`` the adapter version that it must run
    with. ``last_event_id`` is the last event that the caller has, so that a stream
    resumes. ``tenant`` is the name of the caller's tenant, or None.
    """

    replica_id: str
    remaining_s: float
    priority: int
    version: int | None = None
    last_event_id: int | None = None
    tenant: str | None = None


class Dialect(typing.Protocol):
    """Parses and builds HTTP headers in the format of a platform."""

    def read_request(self, headers) -> RequestMetadata | None:
        """Returns the metadata, or None if the headers are malformed."""

    def request_head(self, method, target, headers, body_length, attempt) -> bytes:
        """Returns the request line and headers to send to a replica."""

    def read_response(self, status, headers) -> ResponseMetadata:
        """Returns the metadata, with the headers to pass to the caller."""
