"""``snipetrestle serve``: runs one daemon."""

import dataclasses
import signal
import typing

import anyio
import cappa

from snipetrestle.app import Application
from snipetrestle.checking import InvalidDocument
from snipetrestle.cli.output import ExitCode, fail
from snipetrestle.logs import set_up_logs
from snipetrestle.settings import Settings


@cappa.command(name="serve", help="Run one daemon until it is told to stop.")
@dataclasses.dataclass(slots=True)
class Serve:
    """Runs a daemon. The first SIGTERM or SIGINT drains it, the second one stops it."""

    settings: typing.Annotated[
        str, cappa.Arg(long=True, help="YAML file with the settings")
    ]

    def __call__(self):
        try:
            settings = Settings.load(self.settings)
        except (OSError, InvalidDocument) as error:
            fail(f"{self.settings}: {error}", ExitCode.INVALID_INPUT)
        set_up_logs(settings.logs)
        anyio.run(run_daemon, settings)


async def run_daemon(settings):
    """Runs a daemon until a signal or a failure has stopped it."""
    app = Application.from_settings(settings)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await app.start()
        async with anyio.create_task_group() as group:
            group.start_soon(_stop_on_signal, app, signals)
            await app.wait_stopped()
            group.cancel_scope.cancel()


async def _stop_on_signal(app, signals):
    count = 0
    async for _ in signals:
        count += 1
        if count == 1:
            app.start_drain()
        else:
            await app.stop()
