"""Why the connections of callers end, and what the callers are owed at that moment."""

import enum

# A caller that leaves after this time without a byte of its host has given up on it.
HOST_SILENCE_S = 1.5


class EndReason(enum.StrEnum):
    """Why a caller's connection ended.

    The caller ended it in the first three cases, this host in the others.
    CALLER_TIMED_OUT stands for a caller that this host had not answered by its
    deadline, or had sent nothing for HOST_SILENCE_S. After ANNOUNCED, the caller had
    been told so in the last response. DRAIN stands for kept connections that a planned
    stop closes, and CROWDED_OUT for idle ones that had to make room for new ones.
    """

    CALLER_TIMED_OUT = "caller_timed_out"
    CALLER_CLOSED = "caller_closed"
    CALLER_LOST = "caller_lost"
    ANNOUNCED = "announced"
    IDLE = "idle"
    DRAIN = "drain"
    CROWDED_OUT = "crowded_out"
    REQUEST_REFUSED = "request_refused"
    RESPONSE_UNREAD = "response_unread"
    RESPONSE_ABORTED = "response_aborted"
    INTERNAL_ERROR = "internal_error"
    PROCESS_END = "process_end"


class Unanswered(enum.StrEnum):
    """What of a caller's request is unanswered when its connection ends.

    UNREAD_BYTES have arrived at the host, and nobody has read them.
    """

    NOTHING = "nothing"
    UNREAD_BYTES = "unread_bytes"
    PARTIAL_REQUEST = "partial_request"
    REQUEST = "request"
    PARTIAL_RESPONSE = "partial_response"


class ConnectionEnd:
    """The end of a caller's connection.

    ``request_id`` is that of the request in progress, or None; ``deadline_s`` is the
    one that its caller named, and ``silent_s`` the time for which this host had sent
    nothing although the request was in progress. ``replica_silent_s`` is the time for
    which the replicas at work on it had sent nothing on any connection to this host,
    None if there were none. ``request_fields`` are the fields of its log line that its
    handler knows. ``quiet_s`` is the time between the
    last byte of the caller and the end, and ``idle_limit_s`` the limit that was in
    force for it. ``unread_bytes`` were not read; ``late_bytes`` of them came after the
    end. ``age_s`` is the time since the connection was opened.
    """

    __slots__ = (
        "reason",
        "unanswered",
        "request_id",
        "deadline_s",
        "silent_s",
        "replica_silent_s",
        "request_fields",
        "quiet_s",
        "idle_limit_s",
        "unread_bytes",
        "late_bytes",
        "age_s",
    )

    def __init__(self, reason, unanswered, request_id, quiet_s, idle_limit_s):
        self.reason = reason
        self.unanswered = unanswered
        self.request_id = request_id
        self.deadline_s = None
        self.silent_s = None
        self.replica_silent_s = None
        self.request_fields = {}
        self.quiet_s = quiet_s
        self.idle_limit_s = idle_limit_s
        self.unread_bytes = 0
        self.late_bytes = 0
        self.age_s = 0.0
