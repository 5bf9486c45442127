"""What callers and replicas saw of each request, and which promises that breaks."""

import collections

EXPECTED_EVENTS = [1, 2, 3, 4, 5, 6]
# Statuses that promise that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)


class Sent:
    """A request that a caller sent. Times are in seconds of the soak's clock."""

    __slots__ = ("id", "route", "host", "expected", "sent_at", "ended_at", "answer")

    def __init__(self, request_id, route, host, expected, sent_at):
        self.id = request_id
        self.route = route
        self.host = host
        # Body of a call by backend; None for a stream.
        self.expected = expected
        self.sent_at = sent_at
        self.ended_at = None
        self.answer = None


class Oracle:
    """Checks the promises. ``repeatable`` names the routes that may run repeatedly."""

    def __init__(self, repeatable):
        self._repeatable = repeatable
        self.sent_by_id = {}
        self.broken = []
        self.served = collections.Counter()

    def note_sent(self, sent):
        self.sent_by_id[sent.id] = sent

    def note_answer(self, sent, answer, now):
        """Checks an answer as it comes; None if there was none."""
        sent.ended_at = now
        sent.answer = answer
        if answer is None or answer.status != 200:
            return
        if sent.expected is None:
            self._check_stream(sent, answer)
        elif answer.complete and answer.body != sent.expected:
            self._break("MIXED", sent, f"the body is {answer.body!r}")
        if answer.headers.get("x-request-id") != sent.id:
            self._break("MIXED", sent, "the answer belongs to another request")
        if "x-server-signature" not in answer.headers:
            self._break("MIXED", sent, "a success without a replica's proof")
        if answer.complete:
            self.served[sent.route] += 1

    def _check_stream(self, sent, answer):
        ids = answer.event_ids
        if ids != EXPECTED_EVENTS[: len(ids)]:
            self._break("ORDER", sent, f"events {ids}")
        elif answer.complete and ids != EXPECTED_EVENTS:
            self._break("ORDER", sent, f"complete after events {ids}")

    def check_replicas(self, replicas):
        """Checks what the replicas ran and which orders they got, at the end."""
        runs = collections.Counter(
            request_id for replica in replicas for request_id, _ in replica.runs
        )
        for replica in replicas:
            self._check_orders(replica)
        for request_id, count in runs.items():
            self._check_runs(request_id, count)

    def _check_runs(self, request_id, count):
        sent = self.sent_by_id.get(request_id)
        if sent is None:
            self.broken.append(f"UNASKED {request_id}: nobody sent it")
            return
        if sent.route in self._repeatable:
            return
        if count > 1:
            self._break("TWICE", sent, f"it ran {count} times")
        if sent.answer is not None and sent.answer.status in NOT_RUN:
            self._break("REFUSED", sent, f"it ran, and {sent.answer.status} was told")

    def _check_orders(self, replica):
        if replica.overfilled:
            self.broken.append(f"LIMIT {replica.id}: more adapters than places")
        holder_by_token = {}
        for order in replica.orders:
            token, holder = order["fence_token"], order["holder"]
            if holder_by_token.setdefault(token, holder) != holder:
                self.broken.append(f"ONE {replica.id}: two holders with token {token}")

    def note_cut(self, sent):
        """Notes a request cut off with nothing but a planned stop to explain it."""
        self._break("LOST", sent, "cut off by a planned stop")

    def _break(self, rule, sent, what):
        self.broken.append(f"{rule} {sent.id} ({sent.route} at {sent.host}): {what}")
