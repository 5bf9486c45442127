"""Writes the complete samples of both users: ``python -m snipetrestle_standins.samples``.

The sizes are those of design.md, section 1.2. The sample API keys are those that
``key_of`` returns, and for loopback only.
"""

import hashlib
import pathlib
import sys

from snipetrestle_standins.sample_text import PUBLISHED_HEADER, SETTINGS

ADAPTER_COUNT = 3000
FIRST_PORT_BY_USER = {"consorzio": 18000, "kitami": 19000}


class UserSample:
    """The values in which the samples of the two users differ."""

    def __init__(
        self,
        name,
        region,
        domains,
        model,
        adapter_pattern,
        engine,
        engine_speeds,
        plain_service,
        servers,
        write,
        lookup,
        store,
        weights,
        customers,
        daemons,
    ):
        self.name = name
        self.region = region
        self.domains = domains
        self.model = model
        self.adapter_pattern = adapter_pattern
        self.engine = engine
        self.engine_speeds = engine_speeds
        self.plain_service = plain_service
        self.servers = servers
        self.write = write
        self.lookup = lookup
        self.store = store
        self.weights = weights
        self.customers = customers
        self.daemons = daemons


SAMPLES = (
    UserSample(
        name="consorzio",
        region="sicily",
        domains=("palermo", "catania", "messina"),
        model="size-chart",
        adapter_pattern="workshop-{:04d}",
        engine="drafting",
        # Engines that were bought over several years differ widely in speed.
        engine_speeds=(1.0, 1.0, 0.7, 0.5, 1.4),
        plain_service="pattern-register",
        servers=3,
        write="record-pattern",
        lookup="find-pattern",
        store={"loads_per_second": 2.0, "parallel_loads": 1, "in_flight": 8},
        weights={"load_stalls": 3.0, "batch_efficiency": 1.0},
        customers=("workshops-palermo", "workshops-catania", "shop-counters"),
        daemons=6,
    ),
    UserSample(
        name="kitami",
        region="hokkaido",
        domains=("kitami", "abashiri", "kushiro"),
        model="infrared-decoder",
        adapter_pattern="handset-{:04d}",
        engine="decoder",
        engine_speeds=(1.0, 1.0, 0.7, 0.5, 1.4, 1.0, 0.8, 0.6, 1.2),
        plain_service="orders",
        servers=3,
        write="pair-remote",
        lookup="find-pairing",
        store={"loads_per_second": 5.5, "parallel_loads": 2, "in_flight": 16},
        weights={"load_stalls": 1.0, "batch_efficiency": 3.0},
        customers=("installers", "hobbyists", "catalogue-batches"),
        daemons=7,
    ),
)


def key_of(name):
    """Returns the sample API key of a customer or operator."""
    return f"sample-key-{name}"


def digest_of(name):
    """Returns the SHA-256 of a sample API key in hexadecimal digits."""
    return hashlib.sha256(key_of(name).encode()).hexdigest()


def published_text(sample):
    """Returns the published configuration of one user as YAML."""
    first_port = FIRST_PORT_BY_USER[sample.name]
    lines = [PUBLISHED_HEADER.rstrip()]
    lines += ["", "policy:"]
    lines += [f"  {name}: {value}" for name, value in sample.weights.items()]
    lines += ["", "models:", f"  - {{name: {sample.model}, context_tokens: 8192}}"]
    lines += ["", "weight_stores:", "  - name: weights"]
    lines += [
        f"    loads_per_second: {sample.store['loads_per_second']}",
        f"    parallel_loads: {sample.store['parallel_loads']}",
        "    load_s: 0.25",
        f"    full_speed_in_flight: {sample.store['in_flight']}",
    ]
    lines += ["", "daemons:"]
    for index in range(sample.daemons):
        domain = sample.domains[index % len(sample.domains)]
        lines.append(f"  - {{name: entry-{index + 1}, failure_domain: {domain}}}")
    lines += ["", "writes: {epoch: 1, start: new, keepers_per_key: 5}"]
    lines += ["", "services:"]
    lines.append(f"  - {{name: {sample.plain_service}, checks_fencing_numbers: false}}")
    lines += ["", "backend_servers:"]
    for index, speed in enumerate(sample.engine_speeds):
        domain = sample.domains[index % len(sample.domains)]
        # Every third engine does not check fencing numbers; the others refuse old ones.
        checks = "true" if index % 3 else "false"
        lines += [
            f"  - name: {sample.engine}-{index + 1}",
            f'    address: "127.0.0.1:{first_port + 100 + index}"',
            f"    failure_domain: {domain}",
            f"    region: {sample.region}",
            f"    model: {sample.model}",
            f"    speed: {speed}",
            "    adapter_slots: 16",
            "    max_batch: 32",
            f"    checks_fencing_numbers: {checks}",
            "    weight_store: weights",
        ]
    for index in range(sample.servers):
        domain = sample.domains[index % len(sample.domains)]
        lines += [
            f"  - name: {sample.plain_service}-{index + 1}",
            f'    address: "127.0.0.1:{first_port + 200 + index}"',
            f"    failure_domain: {domain}",
            f"    region: {sample.region}",
            f"    service: {sample.plain_service}",
        ]
    lines += ["", "operators:"]
    lines.append(f"  - name: operator\n    api_key_sha256: [{digest_of('operator')}]")
    lines += ["", "customers:"]
    for index, customer in enumerate(sample.customers):
        lines += _customer_lines(sample, customer, batch=index == 2)
    lines += ["", "adapters:"]
    for number in range(ADAPTER_COUNT):
        adapter = sample.adapter_pattern.format(number)
        versions = '"1", "2"' if number % 10 == 0 else '"1"'
        lines.append(
            f"  - {{name: {adapter}, model: {sample.model}, versions: [{versions}]}}"
        )
    return "\n".join(lines) + "\n"


def _customer_lines(sample, customer, batch):
    return [
        f"  - name: {customer}",
        f"    # The key is {key_of(customer)}; for loopback only.",
        f"    api_key_sha256: [{digest_of(customer)}]",
        "    contract:",
        f"      requests_per_second: {200 if batch else 50}",
        f"      concurrency: {400 if batch else 100}",
        f"      tokens_per_minute: {2000000 if batch else 600000}",
        "      waiting_first_token_s: 2.0",
        f"      weight: {1.0 if batch else 2.0}",
        "      burst_s: 2.0",
        "      retry_ratio: 0.2",
        "      batch: {max_queued_requests: 10000, finish_within_s: 28800}",
        "      operations:",
        f"        - service: {sample.plain_service}",
        f"          name: {sample.write}",
        "          idempotent: false",
        f"          lookup: {sample.lookup}",
        f"        - {{service: {sample.plain_service}, name: {sample.lookup}, "
        "idempotent: true}",
    ]


def settings_text(sample, number):
    """Returns the settings of one daemon as YAML."""
    first_port = FIRST_PORT_BY_USER[sample.name]
    return SETTINGS.format(
        name=f"entry-{number}",
        failure_domain=sample.domains[(number - 1) % len(sample.domains)],
        region=sample.region,
        callers=first_port + number,
        peers=first_port + 20 + number,
        operators=first_port + 40 + number,
        configuration_service=first_port + 60,
        host_list=first_port + 61,
    )


def main(root):
    """Writes the published configuration and one settings file of each user."""
    for sample in SAMPLES:
        folder = pathlib.Path(root) / sample.name
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "published.yaml").write_text(published_text(sample))
        (folder / "entry-1.yaml").write_text(settings_text(sample, 1))


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else "samples")
