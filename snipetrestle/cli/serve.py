"""Sub-command ``serve``: runs one daemon."""

import dataclasses
import signal
import sys
import typing

import anyio
import cappa

from snipetrestle.app import Application
from snipetrestle.checking import InvalidDocument
from snipetrestle.settings import Settings


@cappa.command(name="serve", help="Run one daemon until it is told to stop.")
@dataclasses.dataclass(slots=True)
class Serve:
    """The first SIGTERM or SIGINT drains the daemon; the second one stops it."""

    settings: typing.Annotated[
        str, cappa.Arg(long=True, help="YAML file with the settings")
    ]

    def __call__(self):
        try:
            settings = Settings.load(self.settings)
        except (OSError, InvalidDocument) as error:
            print(f"{self.settings}: {error}", file=sys.stderr)
            return 1
        anyio.run(run_daemon, settings)
        return 0


async def run_daemon(settings):
    """Runs a daemon until a signal has stopped it."""
    app = Application.from_settings(settings)
    async with anyio.create_task_group() as group:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            await app.start()
            group.start_soon(_drain_then_stop, app, signals, group.cancel_scope)
            await app.wait_stopped()
            group.cancel_scope.cancel()


async def _drain_then_stop(app, signals, scope):
    async with anyio.create_task_group() as group:
        async for _ in signals:
            group.start_soon(_drain, app)
            break
        async for _ in signals:
            await app.stop()


async def _drain(app):
    await app.drain()
    await app.stop()
