"""Keeps unexpected errors from ending the process.

An error in the handling of one message costs that message; an error in a task that runs
for the life of the process restarts that task.
"""

import anyio

from snipetrestle.events import Event, log_event

RESTART_DELAY_S = 1.0


def log_unexpected(source, error):
    """Logs an error that no part of the program expects; ``source`` names the part."""
    log_event(Event.INTERNAL_ERROR, source=source, error=repr(error))


async def run_isolated(function, *args):
    """Awaits ``function(*args)`` and logs an unexpected error instead of raising it."""
    try:
        await function(*args)
    except Exception as error:
        log_unexpected(function.__qualname__, error)


async def run_supervised(function, *args):
    """Awaits ``function(*args)``, again after a pause if it ends by an error."""
    while True:
        try:
            return await function(*args)
        except Exception as error:
            log_unexpected(function.__qualname__, error)
        await anyio.sleep(RESTART_DELAY_S)


def call_isolated(function, *args):
    """Calls ``function(*args)`` and logs an unexpected error instead of raising it."""
    try:
        function(*args)
    except Exception as error:
        log_unexpected(function.__qualname__, error)
