"""Client process of the path benchmark: sends requests and measures first-token times.

Its arguments are a JSON list of TrafficSpecs and a seed. It prints a JSON list of
TrafficResults, whose histograms are in microseconds.
"""

import asyncio
import itertools
import os
import random
import sys

import msgspec
from hdrh.histogram import HdrHistogram

from snipetrestle_standins.engine import expected_text

# One answer in this many is compared with the expected text.
ANSWERS_PER_CHECK = 20
# End of a body in chunked encoding.
LAST_CHUNK = b"0\r\n\r\n"
# The last bytes of a complete stream and of one that broke off contain these.
COMPLETE_MARKER = b"data: [DONE]"
ERROR_MARKER = b"event: error"
# An error event with its JSON body is shorter than this.
TAIL_BYTES = 2048
MAX_FIRST_TOKEN_US = 60_000_000


class TrafficSpec(msgspec.Struct):
    """Requests at a mean ``rate`` per second for ``seconds``, in turn to the addresses.

    ``direct`` requests go to an engine in its own format. First-token times count from
    ``warm_up_s`` on. The adapters are numbered from ``first_adapter``.
    """

    name: str
    addresses: tuple[str, ...]
    direct: bool
    model: str
    adapters: int
    first_adapter: int
    rate: float
    seconds: float
    warm_up_s: float
    max_tokens: int
    key: str


class TrafficResult(msgspec.Struct):
    """Counts and first-token times of one TrafficSpec; ``histogram`` is encoded.

    ``window_answers`` were complete between the warm-up and the end of the sending.
    ``broken`` streams ended with an error event after their first token, as they should
    when they cannot go on; they are failures too. ``wrong`` ones have another text.
    """

    name: str
    histogram: str
    answers: int
    window_answers: int
    failures: int
    wrong: int
    broken: int = 0


class Connection(asyncio.Protocol):
    """Keep-alive connection for one request at a time.

    Unless ``keep_body`` is set it keeps an answer only up to the first token, and its
    last bytes.
    """

    def __init__(self):
        self.transport = None
        self.parts = []
        self.tail = b""
        self.first_token_at = None
        self.done = None
        self.keep_body = False

    def connection_made(self, transport):
        self.transport = transport

    def send_request(self, data, keep_body):
        """Sends a request and returns a future of the end of its answer."""
        self.parts = []
        self.tail = b""
        self.first_token_at = None
        self.keep_body = keep_body
        self.done = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.done

    def data_received(self, data):
        if self.first_token_at is None and b"data: " in data:
            self.first_token_at = asyncio.get_running_loop().time()
        if self.keep_body or self.first_token_at is None:
            self.parts.append(data)
        self.tail = (self.tail + data)[-TAIL_BYTES:]
        if data.endswith(LAST_CHUNK) and not self.done.done():
            self.done.set_result(None)

    def connection_lost(self, error):
        if self.done is not None and not self.done.done():
            self.done.set_exception(error or ConnectionError("closed"))


class Sender:
    """Sends the requests of one TrafficSpec."""

    def __init__(self, spec, seed):
        self.spec = spec
        self.histogram = HdrHistogram(1, MAX_FIRST_TOKEN_US, 3)
        self.answers = self.window_answers = self.failures = self.wrong = 0
        self.broken = 0
        self._idle_connections = {address: [] for address in spec.addresses}
        self._addresses = itertools.cycle(spec.addresses)
        self._random = random.Random(f"{seed}-{spec.name}")
        self._seed = seed
        self._request_numbers = itertools.count()
        self._answer_window = (0.0, 0.0)

    async def run(self):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._answer_window = (
            started_at + self.spec.warm_up_s,
            started_at + self.spec.seconds,
        )
        tasks = set()
        due_s = 0.0
        while due_s < self.spec.seconds:
            await asyncio.sleep(started_at + due_s - loop.time())
            is_measured = due_s >= self.spec.warm_up_s
            task = asyncio.create_task(self._send(is_measured))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            due_s += self._random.expovariate(self.spec.rate)
        await asyncio.wait(tasks, timeout=30.0)
        self.failures += len(tasks)

    async def _send(self, is_measured):
        number = next(self._request_numbers)
        adapter = f"adapter-{self.spec.first_adapter + number % self.spec.adapters}"
        prompt = f"{self.spec.name} {number}"
        address = next(self._addresses)
        keep_body = number % ANSWERS_PER_CHECK == 0
        data = self._request(address, adapter, prompt, number)
        loop = asyncio.get_running_loop()
        try:
            idle_connections = self._idle_connections[address]
            if idle_connections:
                connection = idle_connections.pop()
            else:
                host, _, port = address.partition(":")
                _, connection = await loop.create_connection(Connection, host, port)
            sent_at = loop.time()
            await connection.send_request(data, keep_body)
        except OSError:
            self.failures += 1
            return
        if connection.first_token_at is None:
            self.failures += 1
            return
        idle_connections.append(connection)
        if ERROR_MARKER in connection.tail:
            self.failures += 1
            self.broken += 1
            return
        self.answers += 1
        if self._answer_window[0] <= loop.time() < self._answer_window[1]:
            self.window_answers += 1
        if is_measured:
            self.histogram.record_value(
                int((connection.first_token_at - sent_at) * 1e6)
            )
        if keep_body:
            self._check(connection, adapter, prompt)

    def _check(self, connection, adapter, prompt):
        """Counts a wrong answer and prints on standard error how it differs."""
        expected = expected_text(adapter, "1", prompt, self.spec.max_tokens)
        text = text_of(b"".join(connection.parts), self.spec.direct)
        is_complete = self.spec.direct or COMPLETE_MARKER in connection.tail
        if text == expected and is_complete:
            return
        self.wrong += 1
        common_length = len(os.path.commonprefix([text, expected]))
        sys.stderr.write(
            f"wrong answer to {prompt!r} with {adapter}: {len(text)} of "
            f"{len(expected)} characters, the first {common_length} are right; "
            f"it ends with {connection.tail[-400:]!r}\n"
        )

    def _request(self, address, adapter, prompt, number):
        if self.spec.direct:
            path = "/v1/generate"
            body = {
                "request_id": f"{self._seed}.{self.spec.name}.{number}",
                "handle": f"{adapter}@1",
                "prompt": prompt,
                "prompt_tokens": 8,
                "max_tokens": self.spec.max_tokens,
                "priority": 0,
                "fencing_number": 1,
            }
        else:
            path = "/v1/completions"
            body = {
                "model": f"{self.spec.model}:{adapter}@1",
                "prompt": prompt,
                "max_tokens": self.spec.max_tokens,
                "stream": True,
            }
        content = msgspec.json.encode(body)
        header = (
            f"POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json"
            f"\r\nAuthorization: Bearer {self.spec.key}"
            f"\r\nContent-Length: {len(content)}\r\n\r\n"
        )
        return header.encode() + content

    def result(self):
        return TrafficResult(
            self.spec.name,
            self.histogram.encode().decode(),
            self.answers,
            self.window_answers,
            self.failures,
            self.wrong,
            self.broken,
        )


def text_of(data, direct):
    """Returns the text of a streamed answer in either format."""
    parts = []
    for line in data.split(b"\n"):
        if not line.startswith(b"data: {"):
            continue
        item = msgspec.json.decode(line[6:])
        if direct:
            parts.extend(item["tokens"])
        else:
            parts.extend(choice["text"] for choice in item["choices"])
    return "".join(parts)


async def main(specs, seed):
    senders = [Sender(spec, seed) for spec in specs]
    await asyncio.gather(*(sender.run() for sender in senders))
    results = [sender.result() for sender in senders]
    sys.stdout.write(msgspec.json.encode(results).decode() + "\n")


if __name__ == "__main__":
    asyncio.run(
        main(msgspec.json.decode(sys.argv[1], type=list[TrafficSpec]), int(sys.argv[2]))
    )
