"""Process of the path benchmark: one stand-in engine over HTTP.

``python -m benchmarks.path_engine NAME ADDRESS STEP_S MAX_BATCH`` serves until killed.
"""

import sys

import anyio

from snipetrestle.callers.listener import serving
from snipetrestle_standins.engine import StandInEngine, StepTimes
from snipetrestle_standins.engine_http import engine_app
from snipetrestle_standins.store import StandInWeightStore


async def main(name, address, step_s, max_batch):
    core = StandInEngine(
        name,
        StandInWeightStore(loads_per_second=1000, parallel_loads=64, load_s=0.01),
        adapter_slots=64,
        max_batch=int(max_batch),
        step_times=StepTimes(float(step_s), 0.0, 0.0, 0.0),
    )
    async with serving(engine_app(core), address):
        print("ready", flush=True)
        await core.run()


if __name__ == "__main__":
    anyio.run(main, *sys.argv[1:])
