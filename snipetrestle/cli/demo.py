"""``snipetrestle demo``: runs daemons and stand-ins in one process on loopback."""

import dataclasses
import importlib

import anyio
import cappa


@cappa.command(name="demo", help="Run daemons against stand-ins on loopback.")
@dataclasses.dataclass(slots=True)
class Demo:
    """Starts daemons and stand-ins, sends requests, prints a summary and exits."""

    def __call__(self):
        # Imported by name, since the product does not depend on the stand-ins.
        demo = importlib.import_module("snipetrestle_standins.demo")
        return anyio.run(demo.run)
