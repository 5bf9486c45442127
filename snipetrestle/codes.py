"""Numbered result codes and the exception that has one.

Each code states whether the request ran. Callers use that to decide whether to retry a
request, so a code has the outcome "did not run" only if that is certain.
"""

import enum


class Outcome(enum.StrEnum):
    """States whether a request ran."""

    RAN = "ran"
    DID_NOT_RUN = "did_not_run"
    UNKNOWN = "outcome_unknown"


class ResultCode(enum.Enum):
    """Result codes: (number, HTTP status, outcome, retry can help, meaning)."""

    BAD_KEY = (1001, 401, Outcome.DID_NOT_RUN, False, "the API key is not known")
    MALFORMED_REQUEST = (
        1002,
        400,
        Outcome.DID_NOT_RUN,
        False,
        "the request is malformed",
    )
    BODY_TOO_LARGE = (
        1003,
        413,
        Outcome.DID_NOT_RUN,
        False,
        "the request body is too large",
    )
    UNKNOWN_MODEL = (1004, 404, Outcome.DID_NOT_RUN, False, "the model is not known")
    UNKNOWN_ADAPTER = (
        1005,
        404,
        Outcome.DID_NOT_RUN,
        False,
        "the adapter is not known or not open to this customer",
    )
    UNKNOWN_VERSION = (
        1006,
        404,
        Outcome.DID_NOT_RUN,
        False,
        "the adapter has no such version",
    )
    UNKNOWN_SERVICE = (
        1007,
        404,
        Outcome.DID_NOT_RUN,
        False,
        "the service or operation is not known",
    )
    KEY_REQUIRED = (
        1008,
        400,
        Outcome.DID_NOT_RUN,
        False,
        "the operation needs an Idempotency-Key",
    )
    KEY_REUSED = (
        1009,
        422,
        Outcome.DID_NOT_RUN,
        False,
        "the Idempotency-Key was used with another request",
    )
    UNKNOWN_BATCH = (1010, 404, Outcome.DID_NOT_RUN, False, "the batch is not known")
    UNKNOWN_PATH = (1011, 404, Outcome.DID_NOT_RUN, False, "there is no such path")
    REQUEST_TIMEOUT = (
        1012,
        408,
        Outcome.DID_NOT_RUN,
        True,
        "the request did not arrive in time",
    )
    HEADERS_TOO_LARGE = (
        1013,
        431,
        Outcome.DID_NOT_RUN,
        False,
        "the request's headers are too large",
    )

    RATE_LIMIT = (
        1101,
        429,
        Outcome.DID_NOT_RUN,
        True,
        "the customer's request rate is used up",
    )
    CONCURRENCY_LIMIT = (
        1102,
        429,
        Outcome.DID_NOT_RUN,
        True,
        "the customer has too many requests in progress",
    )
    TOKEN_LIMIT = (
        1103,
        429,
        Outcome.DID_NOT_RUN,
        True,
        "the customer's token rate is used up",
    )
    RETRY_BUDGET = (
        1104,
        429,
        Outcome.DID_NOT_RUN,
        True,
        "the customer's retry budget is used up",
    )
    QUEUE_FULL = (1105, 503, Outcome.DID_NOT_RUN, True, "the queue is full")
    DEADLINE_UNREACHABLE = (
        1106,
        504,
        Outcome.DID_NOT_RUN,
        False,
        "the request cannot be answered within its deadline",
    )
    BATCH_ALLOWANCE = (
        1107,
        429,
        Outcome.DID_NOT_RUN,
        True,
        "the customer's batch allowance is used up",
    )

    NOT_READY = (
        1201,
        503,
        Outcome.DID_NOT_RUN,
        True,
        "the daemon is not ready",
    )
    DRAINING = (1202, 503, Outcome.DID_NOT_RUN, True, "the daemon is stopping")
    NO_REPLICA = (
        1203,
        503,
        Outcome.DID_NOT_RUN,
        True,
        "no replica of the model is available",
    )
    LOAD_FAILED = (
        1204,
        503,
        Outcome.DID_NOT_RUN,
        True,
        "the adapter could not be loaded",
    )
    NOT_OWNER = (
        1205,
        503,
        Outcome.DID_NOT_RUN,
        True,
        "the daemon does not own the replica",
    )
    FENCED = (
        1206,
        503,
        Outcome.DID_NOT_RUN,
        True,
        "the engine refused an old fencing number",
    )

    REQUEST_QUARANTINED = (
        1207,
        503,
        Outcome.DID_NOT_RUN,
        True,
        "replicas crashed on this request or on prompts with a part of its prompt",
    )
    STREAM_NOT_RESUMABLE = (
        1208,
        503,
        Outcome.DID_NOT_RUN,
        False,
        "no replica is known that can go on with the stream",
    )

    STREAM_BROKEN = (
        1301,
        502,
        Outcome.UNKNOWN,
        True,
        "the stream broke and could not be resumed",
    )
    ANSWER_MISMATCH = (
        1302,
        502,
        Outcome.UNKNOWN,
        True,
        "the engine answered for another request, adapter or version",
    )
    DEADLINE_PASSED = (
        1303,
        504,
        Outcome.UNKNOWN,
        False,
        "the deadline passed while the request ran",
    )
    SERVICE_UNREACHABLE = (
        1304,
        502,
        Outcome.DID_NOT_RUN,
        True,
        "the service could not be reached",
    )
    SERVICE_NO_ANSWER = (
        1305,
        504,
        Outcome.UNKNOWN,
        True,
        "the service did not answer in time",
    )

    WRITE_UNKNOWN = (
        1401,
        503,
        Outcome.UNKNOWN,
        True,
        "the outcome of the write is unknown",
    )
    WRITE_DID_NOT_RUN = (
        1402,
        409,
        Outcome.DID_NOT_RUN,
        False,
        "the write did not run and will not run under this key",
    )
    WRITE_RESULT_EXPIRED = (
        1403,
        410,
        Outcome.RAN,
        False,
        "the write ran and its result is no longer kept",
    )
    WRITE_IN_PROGRESS = (
        1404,
        503,
        Outcome.UNKNOWN,
        True,
        "the write is in progress",
    )
    WRITE_TABLE_FULL = (
        1405,
        503,
        Outcome.UNKNOWN,
        True,
        "the table of write records is full",
    )
    WRITE_REFUSED_AT_DOOR = (
        1406,
        429,
        Outcome.UNKNOWN,
        True,
        "this attempt was refused; retry it with the same key",
    )

    BATCH_LOST = (
        1501,
        410,
        Outcome.UNKNOWN,
        False,
        "all daemons that held the batch are gone",
    )
    BATCH_NOT_HELD = (
        1502,
        503,
        Outcome.DID_NOT_RUN,
        True,
        "no second failure domain can hold the batch",
    )

    INVALID_SETTINGS = (1601, 400, Outcome.DID_NOT_RUN, False, "settings are invalid")
    INVALID_CONFIGURATION = (
        1602,
        400,
        Outcome.DID_NOT_RUN,
        False,
        "the published configuration is invalid",
    )
    PEER_UNREACHABLE = (
        1603,
        503,
        Outcome.UNKNOWN,
        True,
        "another daemon could not be reached",
    )
    INTERNAL = (1901, 500, Outcome.UNKNOWN, False, "an internal error occurred")

    def __init__(self, number, http_status, outcome, retryable, meaning):
        self.number = number
        self.http_status = http_status
        self.outcome = outcome
        self.retryable = retryable
        self.meaning = meaning

    def __str__(self):
        return f"SN-{self.number}"


codes_by_number = {code.number: code for code in ResultCode}


class ServingError(Exception):
    """A failure with a numbered result code.

    ``field``, ``value`` and ``rule`` describe the invalid input, if any.
    ``retry_after`` is in seconds. ``outcome`` overrides the code's outcome if more is
    known.
    """

    def __init__(
        self,
        code,
        detail="",
        *,
        field=None,
        value=None,
        rule=None,
        retry_after=None,
        outcome=None,
    ):
        self.code = code
        self.detail = detail
        self.field = field
        self.value = value
        self.rule = rule
        self.retry_after = retry_after
        self.outcome = outcome or code.outcome
        super().__init__(f"{code}: {code.meaning}" + (f": {detail}" if detail else ""))
