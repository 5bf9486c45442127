"""Runs a test's coroutine against a fleet of gateways, or one server, on loopback."""

import asyncio

import anyio

from snipetrestle.gateway.callers.http_listener import HttpServer
from snipetrestle.gateway.configuration import CallerLimits
from snipetrestle_standins.gateway_fleet import GatewayFleet

TEST_TIMEOUT_S = 40.0


def run_fleet(function, loop_factory=None, **options):
    """Runs ``function(GatewayFleet(**options))`` and returns its result.

    Tests that measure short times run on a ``loop_factory`` of StallFreeLoop.
    """

    async def main():
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with GatewayFleet(**options) as fleet:
                return await function(fleet)

    return anyio.run(main, backend_options={"loop_factory": loop_factory})


def run_connection(handle, function, limits=CallerLimits):
    """Runs ``function(reader, writer)`` on a connection to an HttpServer.

    The server answers by ``handle(request, connection)`` and has ``limits()``. Returns
    the function's result.
    """

    async def main():
        server = HttpServer(handle, limits)
        await server.open(("127.0.0.1", 0))
        address = server._server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        try:
            with anyio.fail_after(TEST_TIMEOUT_S):
                return await function(reader, writer)
        finally:
            writer.close()
            server.close()

    return anyio.run(main)
