"""The demo: three daemons and all stand-ins in one process on loopback."""

import hashlib
import json

import httpcore

from snipetrestle.settings import DaemonSettings
from snipetrestle_standins.engine import EngineCore
from snipetrestle_standins.local_fleet import LocalFleet
from snipetrestle_standins.store import WeightStoreCore

MODEL = "drafting"
KEY = "consorzio-demo-key"

DAEMONS = [
    DaemonSettings(f"entry-{domain}", domain, "sicily")
    for domain in ("palermo", "catania", "messina")
]


def document(addresses_by_name):
    """Returns the published configuration of the demo."""
    return {
        "models": [{"name": MODEL}],
        "adapters": [
            {"name": f"glove-{number}", "model": MODEL, "versions": ["1"]}
            for number in range(12)
        ],
        "customers": [
            {
                "name": "consorzio",
                "api_key_sha256": [hashlib.sha256(KEY.encode()).hexdigest()],
                "contract": {
                    "requests_per_second": 100,
                    "concurrency": 100,
                    "tokens_per_minute": 1_000_000,
                    "waiting_first_token_s": 1.0,
                },
            }
        ],
        "backend_servers": [
            {
                "name": name,
                "address": address,
                "failure_domain": DAEMONS[number % 3].failure_domain,
                "region": "sicily",
                "model": MODEL,
                "adapter_slots": 8,
                "max_batch": 16,
                "weight_store": "store",
            }
            for number, (name, address) in enumerate(addresses_by_name.items())
        ],
        "daemons": [
            {"name": item.name, "failure_domain": item.failure_domain}
            for item in DAEMONS
        ],
        "weight_stores": [
            {"name": "store", "loads_per_second": 2, "parallel_loads": 1}
        ],
    }


async def run():
    """Runs the demo and returns the exit status."""
    store = WeightStoreCore(loads_per_second=2, parallel_loads=1)
    names = [f"drafting-{number}" for number in range(1, 4)]
    cores = {name: EngineCore(name, store) for name in names}
    async with LocalFleet(DAEMONS, document, cores) as fleet:
        print(f"{len(fleet.apps)} daemons and {len(cores)} engines are ready")
        async with httpcore.AsyncConnectionPool() as pool:
            for number, app in enumerate(fleet.apps):
                body = {
                    "model": f"{MODEL}:glove-{number}@1",
                    "prompt": "Draft the size chart of a driving glove.",
                    "max_tokens": 24,
                    "stream": True,
                }
                response = await pool.request(
                    "POST",
                    f"http://{app.callers_address}/v1/completions",
                    headers={"Authorization": f"Bearer {KEY}"},
                    content=json.dumps(body).encode(),
                )
                print(response.status, read_text(response.content))
    return 0


def read_text(body):
    """Returns the text of a streamed answer."""
    events = [line[6:] for line in body.split(b"\n\n") if line.startswith(b"data: {")]
    return "".join(
        choice["text"] for event in events for choice in json.loads(event)["choices"]
    )
