"""A request on its way through the gateway, and how it ends without an answer."""

from snipetrestle.codes import ResultCode
from snipetrestle.gateway.configuration import RequestKind


class Refused(Exception):
    """The request ends with a result code."""

    def __init__(self, code, retry_after_s=None, **fields):
        self.code = code
        self.retry_after_s = retry_after_s
        self.fields = fields
        super().__init__(str(code))


class Job:
    """A request on its way. Times are in seconds of the runtime's clock.

    ``sent_to`` lists the replicas that it was sent to, ``ran_at`` those at which it may
    have run, ``misplaced_at`` those that refused it for an adapter that is not there.
    """

    __slots__ = (
        "request",
        "facts",
        "route",
        "backend",
        "caller",
        "deadline_at",
        "sent_to",
        "ran_at",
        "misplaced_at",
        "sendings",
        "streaming",
        "last_event_id",
        "connect_failures",
        "version",
        "first_at",
        "passed_response",
    )

    def __init__(self, request, facts, route, backend, caller, deadline_at):
        self.request = request
        self.facts = facts
        self.route = route
        self.backend = backend
        self.caller = caller
        self.deadline_at = deadline_at
        self.sent_to = []
        self.ran_at = []
        self.misplaced_at = []
        self.sendings = 0
        self.streaming = False
        self.last_event_id = facts.last_event_id
        self.connect_failures = 0
        self.version = None
        self.first_at = None
        self.passed_response = None

    @property
    def may_have_run(self):
        return bool(self.ran_at)

    @property
    def attempts_left(self):
        """Whether the route allows one more replica at which the request may run."""
        return len(set(self.ran_at)) < self.route.attempts

    @property
    def request_id(self):
        return self.facts.request_id.decode("latin-1")

    @property
    def unknown_code(self):
        """The code for a request that may have run and has no answer."""
        if self.route.kind is RequestKind.STREAM:
            return ResultCode.STREAM_BROKEN
        return ResultCode.ANSWER_MISMATCH
