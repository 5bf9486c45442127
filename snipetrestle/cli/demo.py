"""Sub-command ``demo``: stand-ins and daemons in one process on loopback."""

import dataclasses
import importlib

import anyio
import cappa


@cappa.command(name="demo", help="Show the daemons at work against stand-ins.")
@dataclasses.dataclass(slots=True)
class Demo:
    """Starts everything on loopback, sends work, prints a summary and exits."""

    def __call__(self):
        # The product does not depend on the stand-ins, so they are loaded by name.
        demo = importlib.import_module("snipetrestle_standins.demo")
        return anyio.run(demo.run)
