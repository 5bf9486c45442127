"""Single HTTP requests to a known address, with a time-out without progress."""

import asyncio
import typing

from snipetrestle.gateway.backends.http_client import ExchangeFailed
from snipetrestle.gateway.message_limits import ProgressMeter
from snipetrestle.gateway.transfers import Transfers

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


async def call(
    pool,
    request_bytes,
    timeout_s,
    is_response=_accept_any_response,
    max_bytes=MAX_RESPONSE_BYTES,
    transfers=None,
):
    """Sends one request and returns its Response.

    ``timeout_s`` limits the time without progress, not the whole response: a large
    configuration takes over a second on a slow link. ``is_response(head)`` tells
    whether a response belongs to the request; others are dropped. ``max_bytes`` limits
    the body. ``transfers`` counts the time in which it arrives. Raises ConnectFailed if
    nothing was sent, and ExchangeFailed if there is no complete response.
    """
    connection = await pool.acquire()
    loop = asyncio.get_running_loop()
    latest_end = loop.time() + MAX_RESPONSE_TIME_S
    progress = ProgressMeter()
    completed = False
    try:
        async with asyncio.timeout(timeout_s) as silence_timeout:
            connection.send_request(request_bytes, is_response)
            head = await connection.read_head()

            def postpone_timeout(count):
                if progress.note(count):
                    silence_timeout.reschedule(min(latest_end, loop.time() + timeout_s))

            with (transfers or Transfers()).in_progress():
                body = await connection.read_all(max_bytes, postpone_timeout)
        completed = True
        return Response(head.status, head.headers, body)
    except TimeoutError:
        raise ExchangeFailed(f"no response within {timeout_s} s") from None
    finally:
        if completed:
            pool.release(connection)
        else:
            pool.discard(connection)
