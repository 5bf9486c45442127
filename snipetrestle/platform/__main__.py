"""Runs the gateway on the users' platform: ``python3 -m snipetrestle.platform``."""

import sys
import time
import types

import anyio

from snipetrestle.gateway.app import Gateway
from snipetrestle.gateway.published_state import Feed
from snipetrestle.logs import LogSettings, set_up_logs
from snipetrestle.platform.calls import OrderClient, StoreSource
from snipetrestle.platform.entries import (
    OPERATOR_PREFIX,
    REPLICA_PREFIX,
    decode_operator_item,
    decode_replica_item,
)
from snipetrestle.platform.headers import PlatformDialect
from snipetrestle.platform.settings import load_settings

OPERATOR_WAIT_S = 5.0
REPLICA_WAIT_S = 1.5
# Replicas write often; their changes are read together, in a part of the time within
# which a leaving replica must get no more requests.
REPLICA_PAUSE_PART = 0.35


def build(settings, boot):
    """Returns the Gateway of this process."""
    platform = types.SimpleNamespace(
        dialect=PlatformDialect(),
        source=StoreSource(*settings.store),
        feeds=(
            Feed(OPERATOR_PREFIX, decode_operator_item, 0.0, OPERATOR_WAIT_S),
            Feed(
                REPLICA_PREFIX,
                decode_replica_item,
                settings.drain_s * REPLICA_PAUSE_PART,
                REPLICA_WAIT_S,
            ),
        ),
        order_client=OrderClient(),
    )
    return Gateway.from_settings(settings, platform, boot)


async def main():
    boot = int(time.time() * 1000)
    set_up_logs(LogSettings(), sys.stdout)
    await build(load_settings(), boot).run()


if __name__ == "__main__":
    anyio.run(main)
