"""Process of the path benchmark: sends requests at a fixed rate and takes the times.

Reads a JSON list of streams of requests from its first argument and prints one JSON
object with a histogram of first-token times for each, in microseconds.
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
CHECKED_SHARE = 20
END = b"0\r\n\r\n"
# What the last bytes of a complete stream, and of one that broke off, contain.
COMPLETE_MARK = b"data: [DONE]"
ERROR_MARK = b"event: error"
# An error event, with its JSON body, is shorter than this.
TAIL_BYTES = 2048
MAX_FIRST_TOKEN_US = 60_000_000


class Load(msgspec.Struct):
    """Requests at ``rate`` per second for ``seconds``, spread over addresses.

    ``direct`` requests go to an engine in its own format. First-token times count from
    ``warm_up_s`` on.
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


class LoadResult(msgspec.Struct):
    """What one Load measured; ``histogram`` is encoded.

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
    """One connection with one request at a time."""

    def __init__(self):
        self.transport = None
        self.parts = []
        self.tail = b""
        self.first_at = None
        self.done = None
        self.keep = False

    def connection_made(self, transport):
        self.transport = transport

    def begin(self, data, keep):
        self.parts = []
        self.tail = b""
        self.first_at = None
        self.keep = keep
        self.done = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.done

    def data_received(self, data):
        if self.first_at is None and b"data: " in data:
            self.first_at = asyncio.get_running_loop().time()
        if self.keep or self.first_at is None:
            self.parts.append(data)
        self.tail = (self.tail + data)[-TAIL_BYTES:]
        if data.endswith(END) and not self.done.done():
            self.done.set_result(None)

    def connection_lost(self, error):
        if self.done is not None and not self.done.done():
            self.done.set_exception(error or ConnectionError("closed"))


class Sender:
    """Sends the requests of one Load."""

    def __init__(self, load, seed):
        self.load = load
        self.histogram = HdrHistogram(1, MAX_FIRST_TOKEN_US, 3)
        self.answers = self.window_answers = self.failures = self.wrong = 0
        self.broken = 0
        self._idle = {address: [] for address in load.addresses}
        self._addresses = itertools.cycle(load.addresses)
        self._random = random.Random(f"{seed}-{load.name}")
        self._seed = seed
        self._numbers = itertools.count()
        self._window = (0.0, 0.0)

    async def run(self):
        loop = asyncio.get_running_loop()
        start = loop.time()
        self._window = (start + self.load.warm_up_s, start + self.load.seconds)
        tasks = set()
        due = 0.0
        while due < self.load.seconds:
            await asyncio.sleep(start + due - loop.time())
            counts = due >= self.load.warm_up_s
            task = asyncio.create_task(self._send(counts))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            due += self._random.expovariate(self.load.rate)
        await asyncio.wait(tasks, timeout=30.0)
        self.failures += len(tasks)

    async def _send(self, counts):
        number = next(self._numbers)
        adapter = f"adapter-{self.load.first_adapter + number % self.load.adapters}"
        prompt = f"{self.load.name} {number}"
        address = next(self._addresses)
        keep = number % CHECKED_SHARE == 0
        data = self._request(address, adapter, prompt, number)
        loop = asyncio.get_running_loop()
        try:
            idle = self._idle[address]
            if idle:
                connection = idle.pop()
            else:
                host, _, port = address.partition(":")
                _, connection = await loop.create_connection(Connection, host, port)
            sent_at = loop.time()
            await connection.begin(data, keep)
        except OSError:
            self.failures += 1
            return
        if connection.first_at is None:
            self.failures += 1
            return
        idle.append(connection)
        if ERROR_MARK in connection.tail:
            self.failures += 1
            self.broken += 1
            return
        self.answers += 1
        if self._window[0] <= loop.time() < self._window[1]:
            self.window_answers += 1
        if counts:
            self.histogram.record_value(int((connection.first_at - sent_at) * 1e6))
        if keep:
            self._check(connection, adapter, prompt)

    def _check(self, connection, adapter, prompt):
        """Counts a wrong answer, and tells on standard error how it differs."""
        wanted = expected_text(adapter, "1", prompt, self.load.max_tokens)
        text = text_of(b"".join(connection.parts), self.load.direct)
        is_complete = self.load.direct or COMPLETE_MARK in connection.tail
        if text == wanted and is_complete:
            return
        self.wrong += 1
        same = len(os.path.commonprefix([text, wanted]))
        sys.stderr.write(
            f"wrong answer to {prompt!r} with {adapter}: {len(text)} of {len(wanted)} "
            f"characters, the first {same} are right; it ends with "
            f"{connection.tail[-400:]!r}\n"
        )

    def _request(self, address, adapter, prompt, number):
        if self.load.direct:
            path = "/v1/generate"
            body = {
                "request_id": f"{self._seed}.{self.load.name}.{number}",
                "handle": f"{adapter}@1",
                "prompt": prompt,
                "prompt_tokens": 8,
                "max_tokens": self.load.max_tokens,
                "priority": 0,
                "fencing_number": 1,
            }
        else:
            path = "/v1/completions"
            body = {
                "model": f"{self.load.model}:{adapter}@1",
                "prompt": prompt,
                "max_tokens": self.load.max_tokens,
                "stream": True,
            }
        content = msgspec.json.encode(body)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json"
            f"\r\nAuthorization: Bearer {self.load.key}"
            f"\r\nContent-Length: {len(content)}\r\n\r\n"
        )
        return head.encode() + content

    def result(self):
        return LoadResult(
            self.load.name,
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


async def main(loads, seed):
    senders = [Sender(load, seed) for load in loads]
    await asyncio.gather(*(sender.run() for sender in senders))
    results = [sender.result() for sender in senders]
    sys.stdout.write(msgspec.json.encode(results).decode() + "\n")


if __name__ == "__main__":
    asyncio.run(
        main(msgspec.json.decode(sys.argv[1], type=list[Load]), int(sys.argv[2]))
    )
