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


class ReplicaOracle:
    """Promises P1, P2, P3, P6 and P9 of generations.

    It knows the expected text of each request, and what the engines executed.
    """

    def __init__(self, engines_by_name):
        self._engines_by_name = engines_by_name
        self.answers = []
        # Streams started at each leaving engine by the time they must have ended.
        self.started_by_engine = {}

    def tell(self, request_id, expected, text):
        """Notes a complete response."""
        self.answers.append((request_id, expected, text))

    def check(self):
        for name, engine in self._engines_by_name.items():
            evicted = engine.in_use_evictions
            require(not evicted, "P2", f"{name} lost {evicted} while they were in use")
            started = self.started_by_engine.get(name, engine._arrival_count)
            require(
                engine._arrival_count == started, "P6", f"{name} got work while leaving"
            )
        for request_id, expected, text in self.answers:
            whole = len(text.split()) == len(expected.split())
            require(whole, "P3", f"{request_id} got a response of another length")
            require(
                text == expected, "P1", f"{request_id} got another adapter's tokens"
            )

    def check_end(self, open_callers):
        self.check()
        require(open_callers == 0, "P9", f"{open_callers} callers have no answer")


class BatchOracle:
    """Promises P3, P7 and P9 of batch work."""

    def __init__(self, fleet):
        self._fleet = fleet
        # Expected texts by the id of an accepted batch.
        self.texts_by_id = {}
        # False after a fault other than a planned stop: items may then run twice.
        self.only_planned_stops = True
        # False after more stops than the two holders of a batch can survive.
        self.can_be_lost = False

    def check(self):
        if self.only_planned_stops:
            for prompt, starts in self._fleet.starts_by_prompt.items():
                require(starts == 1, "P7", f"{prompt} was interrupted and ran again")

    def check_batch(self, batch_id, status, texts):
        """Compares a batch, after its time, with what was accepted."""
        if status == "lost" and self.can_be_lost:
            return
        require(status == "finished", "P9", f"{batch_id} is {status}")
        expected = self.texts_by_id[batch_id]
        require(texts == expected, "P3", f"{batch_id} has other results")

    def check_end(self, open_callers):
        self.check()
        require(open_callers == 0, "P9", f"{open_callers} callers have no answer")


class ConfigurationOracle:
    """Promise P8: what is in effect is a published valid revision and never reverts."""

    def __init__(self, fleet):
        self._fleet = fleet
        # Number of adapters by valid revision.
        self.adapters_by_revision = {}
        self.last_is_valid = True
        self._highest_by_run = {}

    def check(self):
        for name, daemon in self._fleet.daemons_by_name.items():
            spread = daemon.spread
            if spread.current is None:
                continue
            run = (name, id(daemon))
            highest = self._highest_by_run.get(run, 0)
            require(spread.revision >= highest, "P8", f"{name} reverted from {highest}")
            self._highest_by_run[run] = spread.revision
            expected = self.adapters_by_revision.get(spread.revision)
            found = len(spread.current.adapters)
            require(found == expected, "P8", f"{name} has {found}, not {expected}")

    def check_end(self, open_callers):
        self.check()
        # A valid revision that an invalid one replaced at once may never have been read.
        expected = max(self._highest_by_run.values(), default=0)
        if self.last_is_valid:
            expected = max(self.adapters_by_revision)
        for name, daemon in self._fleet.daemons_by_name.items():
            revision = daemon.spread.revision
            require(
                revision == expected, "P8", f"{name} has {revision}, not {expected}"
            )
