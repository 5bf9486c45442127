"""Oracle: compares what the stand-ins executed with what callers were told.

Each part of the system adds a class with ``check()``, which raises ``PromiseBroken``.
"""

from snipetrestle.codes import Outcome


class PromiseBroken(Exception):
    """A promise of the design page does not hold."""

    def __init__(self, promise, detail):
        self.promise = promise
        super().__init__(f"{promise}: {detail}")


def require(condition, promise, detail):
    if not condition:
        raise PromiseBroken(promise, detail)


class WriteOracle:
    """Promises P3, P4, P5 and P9 of writes.

    It knows only the requests, the answers and what the service executed.
    """

    def __init__(self, service):
        self._service = service
        # Answers by key: (body of the request, code, WriteResult or ServingError).
        self.answers_by_key = {}

    def tell(self, key, body, code, answer):
        """Notes the answer that a caller received."""
        if code is not None:
            self.answers_by_key.setdefault(key, []).append((body, code, answer))

    def check(self):
        for key, count in self._service.executions_by_key.items():
            require(count <= 1, "P5", f"the write {key} ran {count} times")
        for key, answers in self.answers_by_key.items():
            self._check_answers(key, answers)

    def _check_answers(self, key, answers):
        ran = self._service.bodies_by_key.get(key, [])
        results = set()
        for body, code, answer in answers:
            if code == 0:
                require(body in ran, "P4", f"{key} is told as done and did not run")
                results.add((answer.status, answer.body))
                expected = self._service.answers_by_key[key].body
                require(answer.body == expected, "P3", f"{key} got another answer")
            elif answer.outcome is Outcome.DID_NOT_RUN:
                require(
                    body not in ran, "P4", f"{key} ran after 'did not run' ({code})"
                )
            elif answer.outcome is Outcome.RAN:
                require(body in ran, "P4", f"{key} is told as run and did not run")
        require(len(results) <= 1, "P5", f"{key} has results {sorted(results)}")

    def check_end(self, open_callers):
        """Checks what must hold once every time-out of the callers has passed."""
        self.check()
        require(open_callers == 0, "P9", f"{open_callers} callers have no answer")
