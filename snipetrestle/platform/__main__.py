"""Runs the gateway on the users' platform: ``python3 -m snipetrestle.platform``."""

# ruff: noqa: E402

import signal

# A SIGHUP for changed settings must not end the process before the gateway has
# installed its signal handlers. The other imports take most of the start.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys
import time
import types

import anyio

from snipetrestle.events import Event, log_event
from snipetrestle.gateway.app import Gateway
from snipetrestle.gateway.callers.arrival_times import RUN_OPTIONS
from snipetrestle.gateway.publication.published_items import Feed
from snipetrestle.logs import LogSettings, set_up_logs
from snipetrestle.platform.calls import OrderClient, StoreSource
from snipetrestle.platform.entries import ALL_ITEMS, decode_item
from snipetrestle.platform.headers import PlatformDialect
from snipetrestle.platform.settings import InvalidSettings, load_settings

WATCH_WAIT_S = 1.5
# Replicas write often, so changes are read in batches. The pause between two reads is
# this fraction of the time after which a leaving replica must get no more requests, or
# of the time after which a new configuration must be applied if that is shorter.
WATCH_PAUSE_FRACTION = 0.5
# The exit code of the command line for invalid input.
EXIT_INVALID_SETTINGS = 3
STOP_AND_RELOAD_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def build(settings, boot):
    """Returns the Gateway of this process.

    ``boot`` is the start time of the process in ms of Unix time.
    """
    platform = types.SimpleNamespace(
        dialect=PlatformDialect(),
        source=StoreSource(*settings.store),
        feeds=(
            Feed(
                ALL_ITEMS,
                decode_item,
                WATCH_PAUSE_FRACTION
                * min(settings.replica_drain_s, settings.configuration_apply_s),
                WATCH_WAIT_S,
            ),
        ),
        order_client=OrderClient(),
        read_settings=load_settings,
    )
    return Gateway.from_settings(settings, platform, boot)


def _block_signals():
    """Keeps signals pending until the process has ended by itself.

    Their default actions, which apply once nobody handles them, would end it before its
    sockets are closed and its last log lines are written.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_AND_RELOAD_SIGNALS)


async def main():
    boot = int(time.time() * 1000)
    set_up_logs(LogSettings(), sys.stdout)
    try:
        settings = load_settings()
    except (InvalidSettings, OSError, KeyError) as error:
        log_event(Event.SETTINGS_REFUSED, error=str(error))
        sys.exit(EXIT_INVALID_SETTINGS)
    await build(settings, boot).run(_block_signals)


if __name__ == "__main__":
    anyio.run(main, backend_options=RUN_OPTIONS)
