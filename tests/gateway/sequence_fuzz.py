"""Sends random sequences of requests in pieces to a gateway and checks all answers.

``python -m tests.gateway.sequence_fuzz`` runs fresh seeds; --seed and --sequences
repeat and bound a run.
"""

import argparse
import asyncio
import contextlib
import random
import sys

from loguru import logger

from snipetrestle_standins.gateway_fleet import GatewayFleet, configuration
from tests.gateway.raw_answers import Incomplete, NotAnAnswer, read_answer
from tests.gateway.request_sequences import SequenceMaker
from tests.waiting import wait_until

CONCURRENT_SEQUENCES = 16
# Long enough for a head that is sent byte by byte on a busy machine.
HEADER_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 8.0
ANSWER_TIMEOUT_S = 8.0
# Time in which a second answer, or an unasked end, would come.
QUIET_S = 0.03
PIECE_SIZES_BYTES = (1, 3, 20, 200, 5000)
# Longer than the time for a head, shorter than that of an idle connection.
LATE_S = 2.3
# Larger sequences are sent in larger pieces.
MAX_PIECES = 200
EVENT_INTERVAL_S = 0.001
EVENT_IDS = [b"1", b"2", b"3", b"4", b"5", b"6"]
# Routes whose requests must not run twice.
RUN_ONCE_PATHS = ("/entry/", "/night/")


class WrongAnswers(Exception):
    """The answers on a connection are not those to its requests."""


class SequenceCheck:
    """One sequence on one connection. ``run`` raises WrongAnswers."""

    def __init__(self, requests, rng):
        self._requests = requests
        self._expected = [item for item in requests if item.status is not None]
        self._rng = rng
        self._received = b""
        self._has_ended = False
        self._changed = asyncio.Event()

    async def run(self, address):
        reader, writer = await asyncio.open_connection(*address)
        reading = asyncio.create_task(self._read(reader))
        sending = asyncio.create_task(self._send(writer))
        try:
            await self._wait_for_answers()
            await asyncio.sleep(QUIET_S)
            self._check_answers(self._read_answers())
        finally:
            writer.close()
            for task in (reading, sending):
                task.cancel()
            await asyncio.gather(reading, sending, return_exceptions=True)
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()

    async def _read(self, reader):
        try:
            while data := await reader.read(65_536):
                self._received += data
                self._changed.set()
        except ConnectionError:
            pass
        self._has_ended = True
        self._changed.set()

    async def _send(self, writer):
        """Sends all requests in pieces, and held bodies once they are asked for."""
        rng = self._rng
        answers_before = 0
        content = b""
        for request in self._requests:
            content += request.blank_lines
            if request.is_late:
                await self._send_pieces(writer, content)
                await asyncio.sleep(LATE_S)
                content = b""
            content += request.content
            if request.held_body:
                await self._send_pieces(writer, content)
                await self._wait_for_continue(answers_before)
                content = request.held_body
            answers_before += request.status is not None
            if rng.random() < 0.2:
                await self._send_pieces(writer, content)
                content = b""
        await self._send_pieces(writer, content)

    async def _send_pieces(self, writer, content):
        rng = self._rng
        sizes = [
            size
            for size in PIECE_SIZES_BYTES
            if size * MAX_PIECES >= len(content) or size == PIECE_SIZES_BYTES[-1]
        ]
        largest = rng.choice(sizes)
        position = 0
        while position < len(content):
            end = position + rng.randint(1, largest)
            writer.write(content[position:end])
            position = end
            await asyncio.sleep(0.001 if rng.random() < 0.05 else 0)

    async def _wait_for_continue(self, answers_before):
        """Waits for the interim response behind the answers to earlier requests."""
        while True:
            self._changed.clear()
            try:
                _, position = self._read_some(answers_before)
            except Incomplete:
                position = None
            if position is not None:
                rest = self._received[position:]
                if rest.startswith(b"HTTP/1.1 100 ") and b"\r\n\r\n" in rest:
                    return
            await self._changed.wait()

    async def _wait_for_answers(self):
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while not self._is_done():
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            raise self._wrong("answers are missing") from None

    def _is_done(self):
        """Whether all answers have come, and the end if there must be one."""
        if self._has_ended:
            return True
        try:
            self._read_some(len(self._expected))
        except Incomplete:
            return False
        except NotAnAnswer:
            return True
        return not self._expected[-1].closes

    def _read_some(self, count):
        """Returns the first answers and the position behind them. Raises Incomplete."""
        answers = []
        position = 0
        for request in self._expected[:count]:
            answer, position = read_answer(self._received, position, request.method)
            answers.append(answer)
        return answers, position

    def _read_answers(self):
        """Returns one answer for each request. Raises WrongAnswers."""
        try:
            answers, position = self._read_some(len(self._expected))
        except Incomplete:
            raise self._wrong("the connection ended too early") from None
        except NotAnAnswer as error:
            raise self._wrong(str(error)) from None
        if self._received[position:]:
            raise self._wrong(f"unasked bytes: {self._received[position:][:200]!r}")
        return answers

    def _check_answers(self, answers):
        for request, answer in zip(self._expected, answers, strict=True):
            problem = _problem_of(request, answer)
            if problem:
                raise self._wrong(f"{problem}: {request} got {answer}")
        if self._has_ended != self._expected[-1].closes:
            raise self._wrong(f"the connection's end: {self._has_ended}")

    def _wrong(self, reason):
        return WrongAnswers(
            f"{reason}\nrequests: {[item.blank_lines + item.content for item in self._requests]}"
            f"\nreceived: {self._received!r}"
        )

    def check_runs(self, arrived_by_id):
        """Checks what reached the replicas: all of it, in one piece, and once.

        Removes these requests from ``arrived_by_id``.
        """
        for request in self._requests:
            if request.path is None:
                continue
            arrived = arrived_by_id.pop(request.id, [])
            if not arrived or any(item.body != request.body for item in arrived):
                raise self._wrong(f"{request.id} did not reach a replica whole")
            if len(arrived) > 1 and request.path.startswith(RUN_ONCE_PATHS):
                raise self._wrong(f"{request.id} ran {len(arrived)} times")


def _problem_of(request, answer):
    """Returns what is wrong with an answer, None if nothing is."""
    if answer.status != request.status:
        return "wrong status"
    answer_id = answer.fields.get(b"x-request-id", b"").decode() or None
    if answer_id != request.id:
        return "answer to another request"
    if answer.closes != request.closes:
        return "wrong announcement of the connection's end"
    if answer.interim_statuses != (100,) and (
        answer.interim_statuses or request.held_body
    ):
        return "wrong interim responses"
    if answer.interim_statuses and not request.may_continue:
        return "unasked interim response"
    if request.path is not None:
        return _problem_of_content(request, answer)
    return None


def _problem_of_content(request, answer):
    if request.is_stream:
        if answer.body is None:
            return None
        ids = [
            line[4:] for line in answer.body.split(b"\n") if line.startswith(b"id: ")
        ]
        return None if ids == EVENT_IDS else "wrong events"
    content = f"register {request.method} {request.path}".encode()
    if answer.fields.get(b"content-length") != str(len(content)).encode():
        return "wrong length"
    return None if answer.body in (None, content) else "wrong body"


async def _set_timeouts(fleet):
    """Publishes a configuration with the time-outs of the sequences."""
    limits = {
        "header_timeout_ms": int(HEADER_TIMEOUT_S * 1000),
        "idle_timeout_ms": int(IDLE_TIMEOUT_S * 1000),
    }
    fleet.store.put("op/config", configuration(version=2, **limits))
    state = fleet.gateways[0].state
    await wait_until(lambda: state.configuration.version == 2)


def _arrived_by_id(replicas):
    """Returns the requests that reached replicas. Raises WrongAnswers for one without id.

    A body that was read as a request has none.
    """
    arrived_by_id = {}
    for replica in replicas:
        for request in replica.arrived_requests:
            request_id = request.headers.get("x-request-id")
            if request_id is None:
                raise WrongAnswers(
                    f"reached {replica.id} without an id: {request.method} "
                    f"{request.target} {request.headers} {request.body[:200]!r}"
                )
            arrived_by_id.setdefault(request_id, []).append(request)
    return arrived_by_id


async def run_sequences(seed, count):
    """Runs ``count`` sequences, several at a time. Raises WrongAnswers.

    Returns the number of requests.
    """
    async with GatewayFleet() as fleet:
        await _set_timeouts(fleet)
        for replica in fleet.models:
            replica.event_interval_s = EVENT_INTERVAL_S
        address = fleet.gateways[0].settings.callers
        numbers = iter(range(count))
        checks = []

        async def work():
            for number in numbers:
                name = f"s{seed}n{number}"
                rng = random.Random(name)
                requests = SequenceMaker(rng, name).make()
                check = SequenceCheck(requests, rng)
                checks.append((check, len(requests)))
                try:
                    await check.run(address)
                except WrongAnswers as error:
                    raise WrongAnswers(f"sequence {name}: {error}") from None

        workers = [asyncio.create_task(work()) for _ in range(CONCURRENT_SEQUENCES)]
        try:
            await asyncio.gather(*workers)
        finally:
            for worker in workers:
                worker.cancel()
            await asyncio.gather(*workers, return_exceptions=True)
        arrived_by_id = _arrived_by_id(fleet.replicas)
        for check, _ in checks:
            check.check_runs(arrived_by_id)
        if arrived_by_id:
            raise WrongAnswers(f"reached a replica: {sorted(arrived_by_id)}")
        return sum(request_count for _, request_count in checks)


def main(argv=None):
    """Runs one seed, by default a fresh one. Returns the exit status."""
    parser = argparse.ArgumentParser(prog="python -m tests.gateway.sequence_fuzz")
    parser.add_argument("--seed", type=int, help="default: a fresh one")
    parser.add_argument("--sequences", type=int, default=1000)
    options = parser.parse_args(argv)
    seed = options.seed
    if seed is None:
        seed = random.SystemRandom().randrange(1_000_000)
    print(f"seed {seed}")
    logger.disable("snipetrestle")
    try:
        request_count = asyncio.run(run_sequences(seed, options.sequences))
    except WrongAnswers as error:
        print(error)
        return 1
    print(f"{options.sequences} sequences, {request_count} requests")
    return 0


if __name__ == "__main__":
    sys.exit(main())
