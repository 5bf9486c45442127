"""Runs a test's coroutine against a fleet of gateways on loopback."""

import anyio

from snipetrestle_standins.gateway_fleet import GatewayFleet

TEST_TIMEOUT_S = 40.0


def run_fleet(function, **options):
    """Runs ``function(GatewayFleet(**options))`` and returns its result."""

    async def main():
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with GatewayFleet(**options) as fleet:
                return await function(fleet)

    return anyio.run(main)
