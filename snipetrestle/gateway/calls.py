"""Single HTTP calls to a known address, with a bounded silence."""

import asyncio
import typing

from snipetrestle.gateway.http_client import ExchangeFailed

MAX_ANSWER_BYTES = 16 * 1024 * 1024
# An answer that takes longer than this is given up even while bytes arrive.
LONGEST_ANSWER_S = 20.0


class Answer(typing.NamedTuple):
    """A whole response."""

    status: int
    headers: list
    body: bytes


def _any_response(head):
    return True


async def call(pool, content, timeout_s):
    """Sends one request and returns its Answer.

    ``timeout_s`` bounds the silence and not the whole answer: a large configuration
    takes over a second on a slow link. Raises ConnectFailed if nothing was sent, and
    ExchangeFailed without an answer.
    """
    connection = await pool.take()
    loop = asyncio.get_running_loop()
    end = loop.time() + LONGEST_ANSWER_S
    done = False
    try:
        async with asyncio.timeout(timeout_s) as limit:
            connection.start(content, _any_response)
            head = await connection.read_head()
            body = await connection.read_all(
                MAX_ANSWER_BYTES,
                lambda: limit.reschedule(min(end, loop.time() + timeout_s)),
            )
        done = True
        return Answer(head.status, head.headers, body)
    except TimeoutError:
        raise ExchangeFailed(f"no answer within {timeout_s} s") from None
    finally:
        if done:
            pool.give_back(connection)
        else:
            pool.drop(connection)
