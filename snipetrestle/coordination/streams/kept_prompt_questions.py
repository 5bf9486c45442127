"""Asks the leader what software version keeps a prompt part.

If each host listed the replicas itself, that would be too much for them. A host whose
leader does not answer lists the replicas of small backends.
"""

import anyio

from snipetrestle.coordination.messaging.datagram_requests import (
    ANSWER_TIMEOUT_S as RESEND_S,
)
from snipetrestle.coordination.messaging.messages import (
    KeptPromptReply,
    KeptPromptRequest,
)
from snipetrestle.gateway.configuration import MAX_NAME_LENGTH
from snipetrestle.gateway.streams.kept_prompts import MIN_INTERVAL_S, ROUND_TIMEOUT_S
from snipetrestle.gateway.streams.stream_origin import StreamOrigin
from snipetrestle.limits.rate_pool import RatePool

# The pauses between two sends double up to this: a successor of a lost leader is asked
# with the next one.
MAX_RESEND_S = 0.3
# A request waits for a leader, and for its answer, no longer than this. An election
# takes 0.5 to 2 s after a restart of all hosts.
ASK_TIMEOUT_S = 2.0
# A stream is left this much time to go on, or its caller to get the refusal.
END_MARGIN_S = 0.3
# Without a leader, this host lists the replicas of a backend with at most as many.
MAX_OWN_REPLICAS = 32
# Left for that, if the leader does not answer.
OWN_LISTING_S = MIN_INTERVAL_S + ROUND_TIMEOUT_S
# Questions at the same time. Callers can name any number of streams that nobody knows.
MAX_QUESTIONS = 1024
# A question takes some three datagrams of 80 bytes.
QUESTIONS_PER_S = 32
QUESTIONS_BURST = 1024


class _Question:
    """A question to the leader; ``reply`` is None until it has answered.

    It was last sent to ``address``, and is sent there again after ``pause_s``.
    ``position`` is the StorePosition of this host when it asked.
    """

    __slots__ = (
        "number",
        "names",
        "position",
        "answered",
        "reply",
        "address",
        "pause_s",
    )

    def __init__(self, number, names, position):
        self.number = number
        self.names = names
        self.position = position
        self.answered = anyio.Event()
        self.reply = None
        self.address = None
        self.pause_s = RESEND_S


class KeptPromptQuestions:
    """Finds the software version that keeps a prompt part, through the leader.

    ``answers`` is the KeptPromptAnswers of this host, ``kept_prompts`` its KeptPrompts,
    ``replicas`` the ReplicaDirectory, and ``reads`` the FreshReads of the prefix that
    lists the replicas.
    """

    def __init__(
        self, hosts, leadership, endpoint, answers, kept_prompts, replicas, reads
    ):
        self._hosts = hosts
        self._leadership = leadership
        self._endpoint = endpoint
        self._answers = answers
        self._kept_prompts = kept_prompts
        self._replicas = replicas
        self._reads = reads
        self._last_number = 0
        self._questions_by_number = {}
        self._open_count = 0
        self._rate = RatePool(QUESTIONS_PER_S, QUESTIONS_BURST)
        endpoint.register(KeptPromptReply, self._on_reply)

    async def only_origin(self, backend, adapter, part, due_at):
        """Returns the StreamOrigin of the replicas that keep a prompt part, or None.

        ``adapter`` is the AdapterKey of the request, and ``due_at`` the time at which it
        is refused if nothing is known.
        """
        names = (backend, adapter.model, part)
        if max(map(len, names)) > MAX_NAME_LENGTH:
            return None
        if self._open_count >= MAX_QUESTIONS or self._rate.wait_s(1) > 0:
            return None
        self._rate.take(1)
        self._open_count += 1
        try:
            version = await self._find(names, due_at - END_MARGIN_S)
        finally:
            self._open_count -= 1
        return StreamOrigin(backend, version) if version else None

    async def _find(self, names, ends_at):
        """Returns the version, or an empty text if it is not known by a time."""
        is_small = self._is_small(names[0])
        ask_until = ends_at - OWN_LISTING_S if is_small else ends_at
        ask_until = min(ask_until, anyio.current_time() + ASK_TIMEOUT_S)
        version = await self._ask_leader(names, ask_until)
        if version is None and (is_small or self._answers.may_answer):
            with anyio.CancelScope(deadline=ends_at):
                version = await self._kept_prompts.only_version(*names)
        return version or ""

    def _is_small(self, backend):
        return len(self._replicas.listed_replicas(backend)) <= MAX_OWN_REPLICAS

    async def _ask_leader(self, names, until):
        """Returns what the leader says; None without a final answer until a time.

        Returns None as well once this host may answer itself, and if the answer names a
        version by a list of replicas that may be older than the question.
        """
        question = self._begin(names)
        try:
            while anyio.current_time() < until and not self._answers.may_answer:
                next_at = anyio.current_time() + self._send(question)
                with anyio.CancelScope(deadline=min(until, next_at)):
                    await question.answered.wait()
                if question.reply is not None:
                    return _fresh_version(question)
            return None
        finally:
            del self._questions_by_number[question.number]

    def _begin(self, names):
        self._last_number += 1
        question = _Question(self._last_number, names, self._reads.position)
        self._questions_by_number[question.number] = question
        return question

    def _send(self, question):
        """Asks the leader, if one is known; returns the time to the next try in s."""
        address = self._address()
        if address != question.address:
            question.address, question.pause_s = address, RESEND_S
        if address is None:
            return RESEND_S
        boot = self._hosts.own.boot
        request = KeptPromptRequest(boot, question.number, *question.names)
        self._endpoint.send(request, address)
        pause_s = question.pause_s
        question.pause_s = min(MAX_RESEND_S, 2 * pause_s)
        return pause_s

    def _address(self):
        """Returns the address of the leader that this host follows, or None."""
        if not self._leadership.has_recent_leader:
            return None
        return self._leadership.leader_address()

    def _on_reply(self, message, address):
        question = self._questions_by_number.get(message.number)
        if question is None or message.boot != self._hosts.own.boot:
            return
        if message.final:
            question.reply = message
            question.answered.set()


def _fresh_version(question):
    """Returns the version of a reply, None if its list of replicas is too old.

    A leader of an older release names no position, as it has not read the store.
    """
    reply = question.reply
    if not reply.version:
        return ""
    if reply.position is None or reply.position < question.position:
        return None
    return reply.version
