"""Writes the complete samples of both users: ``python -m snipetrestle_standins.samples``.

The sizes are those of design.md, section 1.2. The sample API keys are those that
``sample_api_key`` returns, and for loopback only.
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
        failure_domains,
        model,
        adapter_pattern,
        engine_name_prefix,
        engine_speeds,
        plain_service,
        service_server_count,
        write_operation,
        lookup_operation,
        weight_store,
        policy_weights,
        customers,
        daemon_count,
    ):
        self.name = name
        self.region = region
        self.failure_domains = failure_domains
        self.model = model
        self.adapter_pattern = adapter_pattern
        self.engine_name_prefix = engine_name_prefix
        self.engine_speeds = engine_speeds
        self.plain_service = plain_service
        self.service_server_count = service_server_count
        self.write_operation = write_operation
        self.lookup_operation = lookup_operation
        self.weight_store = weight_store
        self.policy_weights = policy_weights
        self.customers = customers
        self.daemon_count = daemon_count


SAMPLES = (
    UserSample(
        name="consorzio",
        region="sicily",
        failure_domains=("palermo", "catania", "messina"),
        model="size-chart",
        adapter_pattern="workshop-{:04d}",
        engine_name_prefix="drafting",
        # Engines that were bought over several years differ widely in speed.
        engine_speeds=(1.0, 1.0, 0.7, 0.5, 1.4),
        plain_service="pattern-register",
        service_server_count=3,
        write_operation="record-pattern",
        lookup_operation="find-pattern",
        weight_store={"loads_per_second": 2.0, "parallel_loads": 1, "in_flight": 8},
        policy_weights={"load_stalls": 3.0, "batch_efficiency": 1.0},
        customers=("workshops-palermo", "workshops-catania", "shop-counters"),
        daemon_count=6,
    ),
    UserSample(
        name="kitami",
        region="hokkaido",
        failure_domains=("kitami", "abashiri", "kushiro"),
        model="infrared-decoder",
        adapter_pattern="handset-{:04d}",
        engine_name_prefix="decoder",
        engine_speeds=(1.0, 1.0, 0.7, 0.5, 1.4, 1.0, 0.8, 0.6, 1.2),
        plain_service="orders",
        service_server_count=3,
        write_operation="pair-remote",
        lookup_operation="find-pairing",
        weight_store={"loads_per_second": 5.5, "parallel_loads": 2, "in_flight": 16},
        policy_weights={"load_stalls": 1.0, "batch_efficiency": 3.0},
        customers=("installers", "hobbyists", "catalogue-batches"),
        daemon_count=7,
    ),
)


def sample_api_key(name):
    """Returns the sample API key of a customer or operator."""
    return f"sample-key-{name}"


def api_key_digest(name):
    """Returns the SHA-256 of a sample API key in hexadecimal digits."""
    return hashlib.sha256(sample_api_key(name).encode()).hexdigest()


def published_text(sample):
    """Returns the published configuration of one user as YAML."""
    first_port = FIRST_PORT_BY_USER[sample.name]
    lines = [PUBLISHED_HEADER.rstrip()]
    lines += ["", "policy:"]
    lines += [f"  {name}: {value}" for name, value in sample.policy_weights.items()]
    lines += ["", "models:", f"  - {{name: {sample.model}, context_tokens: 8192}}"]
    lines += ["", "weight_stores:", "  - name: weights"]
    lines += [
        f"    loads_per_second: {sample.weight_store['loads_per_second']}",
        f"    parallel_loads: {sample.weight_store['parallel_loads']}",
        "    load_s: 0.25",
        f"    full_speed_in_flight: {sample.weight_store['in_flight']}",
    ]
    lines += ["", "daemons:"]
    for index in range(sample.daemon_count):
        domain = sample.failure_domains[index % len(sample.failure_domains)]
        lines.append(f"  - {{name: entry-{index + 1}, failure_domain: {domain}}}")
    lines += ["", "writes: {epoch: 1, start: new, keepers_per_key: 5}"]
    lines += ["", "services:"]
    lines.append(f"  - {{name: {sample.plain_service}, checks_fencing_numbers: false}}")
    lines += ["", "backend_servers:"]
    for index, speed in enumerate(sample.engine_speeds):
        domain = sample.failure_domains[index % len(sample.failure_domains)]
        # Every third engine does not check fencing numbers; the others refuse old ones.
        checks = "true" if index % 3 else "false"
        lines += [
            f"  - name: {sample.engine_name_prefix}-{index + 1}",
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
    for index in range(sample.service_server_count):
        domain = sample.failure_domains[index % len(sample.failure_domains)]
        lines += [
            f"  - name: {sample.plain_service}-{index + 1}",
            f'    address: "127.0.0.1:{first_port + 200 + index}"',
            f"    failure_domain: {domain}",
            f"    region: {sample.region}",
            f"    service: {sample.plain_service}",
        ]
    lines += ["", "operators:"]
    lines.append(
        f"  - name: operator\n    api_key_sha256: [{api_key_digest('operator')}]"
    )
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
        f"    # The key is {sample_api_key(customer)}; for loopback only.",
        f"    api_key_sha256: [{api_key_digest(customer)}]",
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
        f"          name: {sample.write_operation}",
        "          idempotent: false",
        f"          lookup: {sample.lookup_operation}",
        f"        - {{service: {sample.plain_service}, name: {sample.lookup_operation}, "
        "idempotent: true}",
    ]


def settings_text(sample, number):
    """Returns the settings of one daemon as YAML."""
    first_port = FIRST_PORT_BY_USER[sample.name]
    return SETTINGS.format(
        name=f"entry-{number}",
        failure_domain=sample.failure_domains[
            (number - 1) % len(sample.failure_domains)
        ],
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
