"""Test oracles: compare what the stand-ins executed with the answers to callers.

There is one oracle for each state machine. ``check()`` runs after every step,
``check_end(open_callers)`` after all faults have ended. Both raise ``PromiseBroken``.
"""

from snipetrestle.codes import Outcome


class PromiseBroken(Exception):
    """A promise does not hold.

    ``promise`` is a number of section 1.1 of docs/design.md (P1 to P9), or the name of
    a rule that only one oracle checks.
    """

    def __init__(self, promise, detail):
        self.promise = promise
        super().__init__(f"{promise}: {detail}")


def require(condition, promise, detail):
    """Raises PromiseBroken unless the condition holds."""
    if not condition:
        raise PromiseBroken(promise, detail)


class WriteOracle:
    """Checks promises P3, P4, P5 and P9 of writes.

    It uses only the requests, the answers and what the service executed.
    """

    def __init__(self, service):
        self._service = service
        # Answers by key: (body of the request, code, WriteResult or ServingError).
        self.answers_by_key = {}

    def record_answer(self, key, body, code, answer):
        """Stores the answer to a caller; ``code`` is None if its connection broke."""
        if code is not None:
            self.answers_by_key.setdefault(key, []).append((body, code, answer))

    def check(self):
        for key, count in self._service.executions_by_key.items():
            require(count <= 1, "P5", f"the write {key} ran {count} times")
        for key, answers in self.answers_by_key.items():
            self._check_answers(key, answers)

    def _check_answers(self, key, answers):
        executed = self._service.bodies_by_key.get(key, [])
        results = set()
        for body, code, answer in answers:
            if code == 0:
                require(
                    body in executed,
                    "P4",
                    f"{key} was answered as done but did not run",
                )
                results.add((answer.status, answer.body))
                expected = self._service.answers_by_key[key].body
                require(
                    answer.body == expected,
                    "P3",
                    f"{key} got the answer of another write",
                )
            elif answer.outcome is Outcome.DID_NOT_RUN:
                require(
                    body not in executed,
                    "P4",
                    f"{key} ran, but was answered as not run ({code})",
                )
            elif answer.outcome is Outcome.RAN:
                require(
                    body in executed, "P4", f"{key} was answered as run but did not run"
                )
        require(
            len(results) <= 1, "P5", f"{key} has several results: {sorted(results)}"
        )

    def check_end(self, open_callers):
        """Checks what must hold once the time-outs of all callers have passed."""
        self.check()
        require(open_callers == 0, "P9", f"{open_callers} callers have no answer")


class ReplicaOracle:
    """Checks promises P1, P2, P3, P6 and P9 of generations.

    It uses the expected text of each request and what the engines executed.
    """

    def __init__(self, engines_by_name):
        self._engines_by_name = engines_by_name
        self.answers = []
        # How many streams each leaving engine had started when its time for new work
        # ended, by engine name.
        self.stream_counts_by_engine = {}

    def record_answer(self, request_id, expected, text):
        """Stores a complete response and the text that it should have."""
        self.answers.append((request_id, expected, text))

    def check(self):
        for name, engine in self._engines_by_name.items():
            evicted = engine.in_use_evictions
            require(not evicted, "P2", f"{name} evicted {evicted} while in use")
            stream_count = self.stream_counts_by_engine.get(name, engine._arrival_count)
            require(
                engine._arrival_count == stream_count,
                "P6",
                f"{name} got new work while it was leaving",
            )
        for request_id, expected, text in self.answers:
            is_complete = len(text.split()) == len(expected.split())
            require(
                is_complete, "P3", f"{request_id} got a response of the wrong length"
            )
            require(
                text == expected,
                "P1",
                f"{request_id} got the tokens of another adapter or version",
            )

    def check_end(self, open_callers):
        self.check()
        require(open_callers == 0, "P9", f"{open_callers} callers have no answer")


class BatchOracle:
    """Checks promises P3, P7 and P9 of batches."""

    def __init__(self, fleet):
        self._fleet = fleet
        # Expected texts of the items of each accepted batch, by batch id.
        self.expected_texts_by_id = {}
        # False once there was a fault other than a planned stop: from then on items may
        # run twice.
        self.only_planned_stops = True
        # True if both holders of a batch may have stopped, so that it may be lost.
        self.can_be_lost = False

    def check(self):
        if self.only_planned_stops:
            for prompt, starts in self._fleet.starts_by_prompt.items():
                require(starts == 1, "P7", f"{prompt} was interrupted and ran again")

    def check_batch(self, batch_id, state, texts):
        """Compares the results of a batch that must have ended with its items."""
        if state == "lost" and self.can_be_lost:
            return
        require(state == "finished", "P9", f"{batch_id} is {state}")
        expected = self.expected_texts_by_id[batch_id]
        require(texts == expected, "P3", f"{batch_id} has wrong results")

    def check_end(self, open_callers):
        self.check()
        require(open_callers == 0, "P9", f"{open_callers} callers have no answer")


class ConfigurationOracle:
    """Checks promise P8: daemons apply valid published revisions and never go back."""

    def __init__(self, fleet):
        self._fleet = fleet
        # How many adapters each valid revision has.
        self.adapters_by_revision = {}
        self.last_is_valid = True
        self._highest_by_incarnation = {}

    def check(self):
        for name, daemon in self._fleet.daemons_by_name.items():
            spread = daemon.spread
            if spread.current is None:
                continue
            incarnation = (name, id(daemon))
            highest = self._highest_by_incarnation.get(incarnation, 0)
            require(
                spread.revision >= highest, "P8", f"{name} went back from {highest}"
            )
            self._highest_by_incarnation[incarnation] = spread.revision
            expected = self.adapters_by_revision.get(spread.revision)
            adapter_count = len(spread.current.adapters)
            require(
                adapter_count == expected,
                "P8",
                f"{name} has {adapter_count} adapters, not {expected}",
            )

    def check_end(self, open_callers):
        self.check()
        # If the last revision is invalid, the valid one before it may have been
        # replaced before any daemon read it.
        expected = max(self._highest_by_incarnation.values(), default=0)
        if self.last_is_valid:
            expected = max(self.adapters_by_revision)
        for name, daemon in self._fleet.daemons_by_name.items():
            revision = daemon.spread.revision
            require(
                revision == expected,
                "P8",
                f"{name} is at revision {revision}, not {expected}",
            )
