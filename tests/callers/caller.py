"""HTTP client for tests that calls a daemon over in-memory connections."""

import contextlib
import json

from snipetrestle_standins.data_path import API_KEY, MODEL
from snipetrestle_standins.memory_http import MemoryBackend

ADDRESS = "127.0.0.1:1"
PROMPT = "Draft the size chart of a driving glove."


def completion_body(**changes):
    """Returns the body of a completion request as plain data."""
    return {
        "model": f"{MODEL}:workshop-0@1",
        "prompt": PROMPT,
        "max_tokens": 8,
        **changes,
    }


class Answer:
    """An HTTP response. ``error`` is the JSON error of an error response."""

    def __init__(self, response):
        self.status = response.status
        self.headers = {
            name.decode().lower(): value.decode() for name, value in response.headers
        }
        self.body = response.content

    @property
    def json(self):
        return json.loads(self.body)

    @property
    def error(self):
        return self.json["error"]


class Caller:
    """Sends requests with one API key to one daemon."""

    def __init__(self, daemon, key=API_KEY):
        backend = MemoryBackend("caller")
        backend.listeners_by_address[ADDRESS] = daemon.listener
        self._pool = backend.pool()
        self._headers = {"Authorization": f"Bearer {key}"}

    async def send(self, method, path, body=b"", **headers):
        """Sends a request and returns the Answer. ``body`` is bytes or plain data."""
        async with self.open(method, path, body, **headers) as response:
            await response.aread()
            return Answer(response)

    async def complete(self, **changes):
        """Sends a completion request. ``changes`` are fields of its body."""
        return await self.send("POST", "/v1/completions", completion_body(**changes))

    @contextlib.asynccontextmanager
    async def open(self, method, path, body=b"", **headers):
        """Yields the response once its headers have arrived.

        Leaving the context before the end of the body disconnects.
        """
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        named = {name.replace("_", "-"): text for name, text in headers.items()}
        async with self._pool.stream(
            method,
            f"http://{ADDRESS}{path}",
            headers={**self._headers, **named},
            content=content,
        ) as response:
            yield response


def stream_events(body):
    """Returns the decoded JSON events of a stream, without the ``[DONE]`` event."""
    parts = [part for part in body.split(b"\n\n") if part]
    return [json.loads(part.partition(b"data: ")[2]) for part in parts if b"{" in part]


def stream_text(body):
    """Returns the text of a streamed completion."""
    return "".join(
        choice["text"] for event in stream_events(body) for choice in event["choices"]
    )
