"""Single HTTP calls to a known address, with a bounded time."""

import asyncio
import typing

from snipetrestle.gateway.http_client import ExchangeFailed

MAX_ANSWER_BYTES = 16 * 1024 * 1024


class Answer(typing.NamedTuple):
    """A whole response."""

    status: int
    headers: list
    body: bytes


def _any_response(head):
    return True


async def call(pool, content, timeout_s):
    """Sends one request and returns its Answer.

    Raises ConnectFailed if nothing was sent, and ExchangeFailed without an answer.
    """
    connection = await pool.take()
    done = False
    try:
        async with asyncio.timeout(timeout_s):
            connection.start(content, _any_response)
            head = await connection.read_head()
            body = await connection.read_all(MAX_ANSWER_BYTES)
        done = True
        return Answer(head.status, head.headers, body)
    except TimeoutError:
        raise ExchangeFailed(f"no answer within {timeout_s} s") from None
    finally:
        if done:
            pool.give_back(connection)
        else:
            pool.drop(connection)
