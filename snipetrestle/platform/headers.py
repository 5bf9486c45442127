"""Translates between the platform's HTTP headers and the gateway's types."""

import re

from snipetrestle.coordination.messaging.messages import MAX_RATE_PER_S
from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle.gateway.dialect import (
    KeyProblem,
    RequestMetadata,
    ResponseMetadata,
    TokenCount,
)
from snipetrestle.gateway.quarantine.request_fingerprint import (
    MAX_PROMPT_PARTS,
    prompt_part_key,
)
from snipetrestle.platform.documents import key_digest

REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
MODEL = b"x-model"
TOKEN_COUNT = b"x-token-count"
LAST_EVENT_ID = b"last-event-id"
# The id of the request that got the first event of a stream.
RESUMES = b"resumes"
PROMPT_PREFIX = b"x-prompt-prefix"
REQUEST_LIMIT = b"server-limit"
STORE_EPOCH = b"store-era"
REPLICA_LEAVING = b"server-leaving"
REPLICA_ID = b"x-instance-id"
RETRY_AFTER = b"retry-after"
API_KEY = b"x-credential"
TENANT = b"x-tenant"

# Hop-by-hop headers, which apply to one connection only.
_CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Headers that only the gateway may set, and the API key, which replicas never see; they
# are removed from callers' requests.
_RESERVED_HEADERS = frozenset(
    {
        API_KEY,
        DEADLINE_MS,
        LAST_EVENT_ID,
        TENANT,
        b"x-expect-instance",
        b"x-expect-version",
        b"x-request-priority",
        b"x-pin-ms",
        b"x-hold",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)
_DROPPED_FROM_REQUESTS = _CONNECTION_HEADERS | _RESERVED_HEADERS
# A caller cannot have these removed by naming them in ``Connection``.
_NEVER_DROPPED = frozenset({b"host", REQUEST_ID, MODEL, TOKEN_COUNT, PROMPT_PREFIX})
# Priorities are numbered from the highest, 0.
LOWEST_PRIORITY = 9
# Longer numbers are malformed. Python's own limit would raise an unexpected error.
MAX_NUMBER_DIGITS = 18
# Lower limits would hold requests for hours; they cannot be meant.
MIN_REQUEST_LIMIT_PER_S = 0.001
MAX_API_KEY_BYTES = 256
MAX_RESUMES_BYTES = 256
_SECONDS = re.compile(rb"\d{1,9}(\.\d{1,9})?")


class PlatformDialect:
    """Implements gateway.dialect.Dialect for the users' platform."""

    def read_request(self, headers):
        values = dict(headers)
        request_id = values.get(REQUEST_ID)
        if not request_id:
            return None
        facts = RequestMetadata(request_id)
        deadline = values.get(DEADLINE_MS)
        if deadline is not None:
            deadline_ms = _number(deadline)
            if deadline_ms is None:
                return None
            facts.deadline_s = deadline_ms / 1000
        facts.last_event_id = _number(values.get(LAST_EVENT_ID, b""))
        resumed_ids = [value for name, value in headers if name == RESUMES]
        if resumed_ids:
            facts.resumes = resumed_ids[0]
            facts.has_bad_resumes = not _is_good_resumes(resumed_ids, facts)
        model = values.get(MODEL)
        if model is not None:
            name, _, adapter = model.decode("latin-1").partition("/")
            facts.adapter = AdapterKey(name, adapter)
        counts = [_number(item) for item in values.get(TOKEN_COUNT, b"").split(b",")]
        if len(counts) == 2 and None not in counts:
            facts.prompt_tokens, facts.output_tokens = counts
        facts.token_count = _token_count_state(headers, counts)
        facts.key_digest, facts.key_problem = _api_key(headers)
        facts.shared_prompt_parts = _shared_prompt_parts(values.get(PROMPT_PREFIX))
        facts.own_prompt_part = _own_prompt_part(values.get(PROMPT_PREFIX))
        return facts

    def request_head(self, method, target, headers, body_length, attempt):
        dropped = _DROPPED_FROM_REQUESTS
        named = _named_by_connection(headers)
        if named:
            dropped = dropped | (named - _NEVER_DROPPED)
        parts = [b"%b %b HTTP/1.1\r\n" % (method, target)]
        has_length = False
        for name, value in headers:
            if name == b"content-length" or name == b"transfer-encoding":
                has_length = True
            if name not in dropped:
                parts.append(b"%b: %b\r\n" % (name, value))
        if has_length or body_length:
            parts.append(b"content-length: %d\r\n" % body_length)
        parts.append(
            b"x-deadline-ms: %d\r\nx-expect-instance: %b\r\nx-request-priority: %d\r\n"
            % (
                attempt.remaining_s * 1000,
                attempt.replica_id.encode(),
                min(attempt.priority, LOWEST_PRIORITY),
            )
        )
        if attempt.version is not None:
            parts.append(b"x-expect-version: %d\r\n" % attempt.version)
        if attempt.last_event_id is not None:
            parts.append(b"last-event-id: %d\r\n" % attempt.last_event_id)
        if attempt.tenant is not None:
            parts.append(b"%b: %b\r\n" % (TENANT, attempt.tenant.encode()))
        parts.append(b"\r\n")
        return b"".join(parts)

    def read_response(self, status, headers):
        facts = ResponseMetadata(None, False, status == 421, False, None, [])
        named = _named_by_connection(headers)
        for name, value in headers:
            if name == REQUEST_ID:
                facts.request_id = value
            elif name == b"x-server-signature":
                facts.signed = True
            elif name == b"x-not-executed":
                facts.not_executed = True
            elif name == b"content-encoding":
                facts.content_encoded = value.strip().lower() != b"identity"
            elif name == b"keep-alive":
                facts.idle_timeout_s = _idle_timeout_s(value)
            elif name == b"content-length":
                facts.content_length = _number(value)
            elif name == REQUEST_LIMIT:
                facts.request_limit_per_s = _request_limit_per_s(value)
            elif name == REPLICA_LEAVING:
                facts.replica_leaving = value.strip() == b"1"
            elif name == REPLICA_ID:
                facts.replica_id = value.decode("latin-1")
            elif name == RETRY_AFTER and status == 503:
                # Asks this host to pause. Other replicas may serve the caller at once.
                facts.pause_s = _seconds(value)
                continue
            if name not in _CONNECTION_HEADERS and name not in named:
                facts.headers.append((name, value))
        return facts


def read_store_epoch(headers):
    """Returns the epoch that a response of the store names; 0 if it names none.

    Raises ValueError if it is no number.
    """
    value = dict(headers).get(STORE_EPOCH)
    if value is None:
        return 0
    epoch = _number(value)
    if epoch is None:
        raise ValueError(f"the epoch {value!r} is no number")
    return epoch


def _number(value):
    """Returns the whole number of a header; None if it is none, or too long."""
    digits = value.strip()
    if not digits.isdigit() or len(digits) > MAX_NUMBER_DIGITS:
        return None
    return int(digits)


def _token_count_state(headers, counts):
    """Returns the TokenCount of a request. ``counts`` are the numbers of its header.

    A header that comes twice is malformed: nothing tells which one counts.
    """
    occurrences = sum(name == TOKEN_COUNT for name, _ in headers)
    if not occurrences:
        return TokenCount.ABSENT
    is_valid = occurrences == 1 and len(counts) == 2 and None not in counts
    return TokenCount.VALID if is_valid else TokenCount.MALFORMED


def _is_good_resumes(resumed_ids, facts):
    """Whether the ids of resumed streams name one, and an event to go on from."""
    if len(resumed_ids) > 1 or facts.last_event_id is None:
        return False
    return 0 < len(resumed_ids[0]) <= MAX_RESUMES_BYTES


def _api_key(headers):
    """Returns (digest, KeyProblem) of a caller's API key; one of them is None."""
    keys = [value.strip(b" \t") for name, value in headers if name == API_KEY]
    if not keys:
        return None, KeyProblem.MISSING
    if len(keys) > 1:
        return None, KeyProblem.REPEATED
    (key,) = keys
    if not key:
        return None, KeyProblem.EMPTY
    if len(key) > MAX_API_KEY_BYTES:
        return None, KeyProblem.TOO_LONG
    return key_digest(key), None


def _shared_prompt_parts(value):
    """Returns the keys of all listed prompt parts (``ID:TOKENS``) but the last.

    The last part belongs to the request itself or to its session.
    """
    if value is None:
        return ()
    parts = value.decode("latin-1").split(",")[:-1]
    return tuple(
        prompt_part_key(part.partition(":")[0].strip())
        for part in parts[:MAX_PROMPT_PARTS]
    )


def _own_prompt_part(value):
    """Returns the id of the last part (``ID:TOKENS``) of a prompt, None without any."""
    if value is None:
        return None
    part_id = value.rpartition(b",")[2].partition(b":")[0]
    return part_id.strip().decode("latin-1") or None


def _named_by_connection(headers):
    """Returns the names that the ``Connection`` headers list as hop-by-hop."""
    named = set()
    for name, value in headers:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return named


def _request_limit_per_s(value):
    """Returns a limit in requests a second; None if it is none that can be kept."""
    try:
        limit_per_s = float(value)
    except ValueError:
        return None
    is_usable = MIN_REQUEST_LIMIT_PER_S <= limit_per_s <= MAX_RATE_PER_S
    return limit_per_s if is_usable else None


def _seconds(value):
    """Returns a number of seconds; None if the value is none, for instance a date."""
    value = value.strip()
    return float(value) if _SECONDS.fullmatch(value) else None


def _idle_timeout_s(value):
    """Returns the timeout of a ``Keep-Alive`` header; None if it has none."""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
