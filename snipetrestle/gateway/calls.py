"""Single HTTP requests to a known address, with a time-out between received bytes."""

import asyncio
import typing

from snipetrestle.gateway.http_client import ExchangeFailed

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# A response that takes longer is abandoned, even while bytes still arrive.
MAX_RESPONSE_TIME_S = 20.0


class Response(typing.NamedTuple):
    """A complete HTTP response."""

    status: int
    headers: list
    body: bytes


def _accept_any_response(head):
    return True


async def call(pool, request_bytes, timeout_s):
    """Sends one request and returns its Response.

    ``timeout_s`` limits the time without received data, not the whole response: a large
    configuration takes over a second on a slow link. Raises ConnectFailed if nothing
    was sent, and ExchangeFailed if there is no complete response.
    """
    connection = await pool.acquire()
    loop = asyncio.get_running_loop()
    latest_end = loop.time() + MAX_RESPONSE_TIME_S
    completed = False
    try:
        async with asyncio.timeout(timeout_s) as silence_timeout:
            connection.send_request(request_bytes, _accept_any_response)
            head = await connection.read_head()
            body = await connection.read_all(
                MAX_RESPONSE_BYTES,
                lambda: silence_timeout.reschedule(
                    min(latest_end, loop.time() + timeout_s)
                ),
            )
        completed = True
        return Response(head.status, head.headers, body)
    except TimeoutError:
        raise ExchangeFailed(f"no response within {timeout_s} s") from None
    finally:
        if completed:
            pool.release(connection)
        else:
            pool.discard(connection)
