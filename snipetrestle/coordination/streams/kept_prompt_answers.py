"""Answers of the leader to other hosts, which ask what version keeps a prompt part."""

import asyncio
import collections

import anyio

from snipetrestle.coordination.messaging.messages import (
    KeptPromptReply,
    KeptPromptRequest,
)
from snipetrestle.gateway.streams.kept_prompts import KeptAt
from snipetrestle.supervision import run_isolated

# Requests that wait for listings at the same time.
MAX_OPEN_REQUESTS = 1024
# An answer is kept for as long as its request may be repeated.
ANSWER_LIFE_S = 3.0
MAX_ANSWERS = 4096


class _Answer:
    """A request and its ``reply``, None while replicas are being listed."""

    __slots__ = ("begun_at", "reply")

    def __init__(self, begun_at):
        self.begun_at = begun_at
        self.reply = None


class KeptPromptAnswers:
    """Answers KeptPromptRequests while this host leads.

    ``kept_prompts`` is the KeptPrompts. ``is_ready()`` tells whether this host has a
    configuration and knows the replicas.
    """

    def __init__(self, leadership, kept_prompts, endpoint, is_ready):
        self._leadership = leadership
        self._kept_prompts = kept_prompts
        self._endpoint = endpoint
        self._is_ready = is_ready
        # By the sender's address, its boot and the number of the request, in the order
        # in which the requests came.
        self._answers_by_request = collections.OrderedDict()
        self._tasks = set()
        endpoint.register(KeptPromptRequest, self._on_request)

    @property
    def may_answer(self):
        """Whether this host lists replicas for all hosts."""
        return (
            self._leadership.leads
            and self._is_ready()
            and self._kept_prompts.lists_all_replicas
        )

    def _on_request(self, message, address):
        request = (address, message.boot, message.number)
        answer = self._answers_by_request.get(request)
        if answer is not None:
            if answer.reply is not None:
                self._endpoint.send(answer.reply, address)
            return
        if not self.may_answer:
            self._send(message, address, KeptAt(), is_final=False)
        elif len(self._tasks) >= MAX_OPEN_REQUESTS:
            self._send(message, address, KeptAt(), is_final=True)
        else:
            self._begin(request, message)

    def _begin(self, request, message):
        answers = self._answers_by_request
        now = anyio.current_time()
        while answers and self._is_dispensable(next(iter(answers.values())), now):
            answers.popitem(last=False)
        answer = answers[request] = _Answer(now)
        work = run_isolated(self._answer, answer, message, request[0])
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_dispensable(self, answer, now):
        is_old = now - answer.begun_at > ANSWER_LIFE_S
        return is_old or len(self._answers_by_request) >= MAX_ANSWERS

    async def _answer(self, answer, message, address):
        kept_at = await self._kept_prompts.find(
            message.backend, message.model, message.part
        )
        answer.reply = self._send(message, address, kept_at, is_final=True)

    def _send(self, message, address, kept_at, is_final):
        """Sends and returns a KeptPromptReply."""
        reply = KeptPromptReply(
            message.boot, message.number, kept_at.version, is_final, kept_at.position
        )
        self._endpoint.send(reply, address)
        return reply
