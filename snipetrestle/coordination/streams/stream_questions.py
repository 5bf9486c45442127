"""Asks other hosts for the origin of a stream, all at the same time."""

import asyncio

import anyio
import msgspec

from snipetrestle.coordination.messaging.datagram_requests import ANSWER_TIMEOUT_S
from snipetrestle.coordination.messaging.messages import OriginReply, OriginRequest

MAX_SENDS = 2
# For so long after a certain answer, the others are waited for. Hosts that run answer
# at about the same time; a longer wait for one that was killed would delay each stream
# that was begun before.
SETTLE_S = 0.002
# Streams that are asked for at the same time. Callers can name any number of streams
# that nobody knows, and each takes up to MAX_SENDS datagrams to each keeper.
MAX_QUESTIONS = 256


class _Question:
    """A question to several hosts, shared by all that wait for its answer.

    ``unanswered`` contains the hosts that have not answered, by the number of the
    request to each, and ``answers`` a (host, reply) of each that knows the stream. One
    of them is certain if it ``settles``.
    """

    __slots__ = (
        "key",
        "unanswered",
        "sends",
        "timer",
        "ended",
        "answers",
        "settles",
    )

    def __init__(self, key, unanswered):
        self.key = key
        self.unanswered = unanswered
        self.sends = 0
        self.timer = None
        self.ended = anyio.Event()
        self.answers = []
        self.settles = False


class StreamQuestions:
    """Sends OriginRequests and waits for the OriginReplies that know the stream.

    After a certain one, the others have SETTLE_S left: hosts on two sides of a cut may
    have been told different origins. One that was only inferred counts if no other host
    knows better.
    Timers drive a question, so it goes on when one of those that wait is cancelled.
    """

    def __init__(self, hosts, endpoint):
        self._hosts = hosts
        self._endpoint = endpoint
        self._last_number = 0
        self._questions_by_key = {}
        self._questions_by_number = {}
        endpoint.register(OriginReply, self._on_reply)

    async def ask(self, key, hosts):
        """Returns (host, its OriginReply) of the first that knows a stream, or None.

        The reply has no origin if those of several hosts differ. Nobody is asked while MAX_QUESTIONS others are open.
        """
        question = self._questions_by_key.get(key)
        if question is None:
            if not hosts or len(self._questions_by_key) >= MAX_QUESTIONS:
                return None
            question = self._begin(key, hosts)
        await question.ended.wait()
        return _agreed(question.answers)

    def _begin(self, key, hosts):
        first = self._last_number + 1
        self._last_number += len(hosts)
        question = _Question(key, dict(enumerate(hosts, first)))
        self._questions_by_key[key] = question
        for number in question.unanswered:
            self._questions_by_number[number] = question
        self._send(question)
        return question

    def _send(self, question):
        question.sends += 1
        question.timer = asyncio.get_running_loop().call_later(
            ANSWER_TIMEOUT_S, self._on_timeout, question
        )
        for number, host in question.unanswered.items():
            request = OriginRequest(self._hosts.own.boot, number, question.key)
            self._endpoint.send(request, host.address)

    def _on_timeout(self, question):
        if question.sends < MAX_SENDS:
            self._send(question)
        else:
            self._end(question)

    def _end(self, question):
        question.timer.cancel()
        del self._questions_by_key[question.key]
        for number in question.unanswered:
            del self._questions_by_number[number]
        question.ended.set()

    def _on_reply(self, message, address):
        question = self._questions_by_number.get(message.number)
        if question is None or message.boot != self._hosts.own.boot:
            return
        del self._questions_by_number[message.number]
        host = question.unanswered.pop(message.number)
        if message.life_ms:
            question.answers.append((host, message))
        if not question.unanswered:
            self._end(question)
        elif _is_certain(message) and not question.settles:
            self._settle(question)

    def _settle(self, question):
        question.settles = True
        question.timer.cancel()
        question.timer = asyncio.get_running_loop().call_later(
            SETTLE_S, self._end, question
        )


def _is_certain(reply):
    """Whether a reply knows a stream, and not only by an inference."""
    origin = reply.origin
    return bool(reply.life_ms) and (origin is None or origin.names_process)


def _agreed(answers):
    """Returns the first (host, reply) of those that count, None without any."""
    counted = [item for item in answers if _is_certain(item[1])] or answers
    if not counted:
        return None
    host, reply = counted[0]
    if any(other.origin != reply.origin for _, other in counted):
        life_ms = max(other.life_ms for _, other in counted)
        reply = msgspec.structs.replace(reply, origin=None, life_ms=life_ms)
    return host, reply
