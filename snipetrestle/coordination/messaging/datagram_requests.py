"""Requests to another host as datagrams, and their answers."""

import anyio

ANSWER_TIMEOUT_S = 0.12


class _Pending:
    """A request that was sent; ``answer`` is None until it is answered."""

    __slots__ = ("answered", "answer")

    def __init__(self):
        self.answered = anyio.Event()
        self.answer = None


class DatagramRequests:
    """Sends requests and waits for their answers, which carry the same ``number``.

    ``on_answer(message)`` is called with each expected answer before the request that
    waits for it goes on.
    """

    def __init__(self, endpoint, answer_type, on_answer=None):
        self._endpoint = endpoint
        self._on_answer = on_answer
        self._last_number = 0
        self._pending_by_number = {}
        endpoint.register(answer_type, self._on_message)

    async def ask(self, build_request, address, max_sends=1):
        """Returns the answer to a request, or None without one.

        Each ``build_request(number, is_first)`` is sent, up to ``max_sends`` times. A
        datagram may be lost, or the receiver have stopped.
        """
        self._last_number += 1
        number = self._last_number
        pending = self._pending_by_number[number] = _Pending()
        try:
            for count in range(max_sends):
                self._endpoint.send(build_request(number, count == 0), address)
                with anyio.move_on_after(ANSWER_TIMEOUT_S):
                    await pending.answered.wait()
                    break
            return pending.answer
        finally:
            del self._pending_by_number[number]

    def _on_message(self, message, address):
        pending = self._pending_by_number.get(message.number)
        if pending is not None:
            if self._on_answer is not None:
                self._on_answer(message)
            pending.answer = message
            pending.answered.set()
