"""Reads the platform's settings file into the gateway's settings.

The file has one ``name=value`` a line; lists are joined by commas. Unknown names are
ignored, since new ones may come.
"""

import os
import pathlib

from snipetrestle.gateway.settings import GatewaySettings, RetryBudgetSettings

SETTINGS_VARIABLE = "SNIPETRESTLE_CONFIG"


class InvalidSettings(ValueError):
    """The settings file lacks a name or has a value that cannot be read."""


def load_settings():
    """Returns the GatewaySettings of this process. Raises InvalidSettings or OSError."""
    return parse_settings(pathlib.Path(os.environ[SETTINGS_VARIABLE]).read_text())


def parse_settings(text):
    """Returns GatewaySettings from the text of the file. Raises InvalidSettings."""
    values = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)
    try:
        return _settings_from(values)
    except KeyError as error:
        raise InvalidSettings(f"{error.args[0]} is missing") from None
    except ValueError as error:
        raise InvalidSettings(str(error)) from None


def _settings_from(values):
    ip = values["ip"]
    peer_port = int(values["port_range"].split(",")[0])
    return GatewaySettings(
        name=values["node"],
        failure_domain=values["zone"],
        size=float(values["limits.cpu_share"]) * float(values.get("limits.cores", 1)),
        callers=_address(values["listen.front"]),
        readiness=_address(values["listen.ready"]),
        metrics=_address(values["listen.control"]),
        peers=(ip, peer_port),
        # Hosts exchange datagrams at the first free port, which all hosts share.
        seeds=tuple(
            (_address(seed)[0], peer_port)
            for seed in values.get("seeds", "").split(",")
            if seed
        ),
        store=_address(values["provider.address"]),
        lease_s=float(values["bounds.lease_ms"]) / 1000,
        drain_s=float(values["bounds.drain_ms"]) / 1000,
        apply_s=float(values["bounds.config_apply_ms"]) / 1000,
        grace_s=float(values["bounds.grace_s"]),
        retry_budget=RetryBudgetSettings(
            ratio=float(values["bounds.retry_budget_ratio"]),
            slack=float(values["bounds.budget_slack"]),
            window_s=float(values["bounds.budget_window_s"]),
        ),
    )


def _address(text):
    ip, _, port = text.rpartition(":")
    return ip, int(port)
