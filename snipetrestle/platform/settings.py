"""Reads the platform's settings file into the gateway's settings.

The file has one ``name=value`` per line; elements of a list are separated by commas.
Unknown names are ignored, since the platform may add new ones.
"""

import os
import pathlib

from snipetrestle.gateway.settings import GatewaySettings, RetryBudgetSettings

# The store removes the entry of a replica after so many heartbeats of silence.
MISSED_HEARTBEATS = 3
DEFAULT_HEARTBEAT_S = 2.0
SETTINGS_VARIABLE = "SNIPETRESTLE_CONFIG"


class InvalidSettings(ValueError):
    """Raised for missing or malformed fields in the settings file.

    ``problems`` lists each such field with its value and the error.
    """

    def __init__(self, problems):
        self.problems = tuple(problems)
        super().__init__("; ".join(problems))


class _Fields:
    """Converts the values of the file, and collects the problems of all of them."""

    def __init__(self, text):
        lines = (line.partition("=") for line in text.splitlines())
        self._values = {name: value for name, sign, value in lines if sign}
        self.problems = []

    def read(self, name, convert):
        """Returns the converted value; None after recording a problem."""
        value = self._values.get(name)
        if value is None:
            self.problems.append(f"{name}: is missing")
            return None
        try:
            return convert(value)
        except ValueError as error:
            self.problems.append(f"{name}: {value!r}: {error}")
            return None

    def read_optional(self, name, convert, default):
        """Returns the converted value, or the default if it is missing or malformed.

        A malformed value is recorded as a problem.
        """
        if name not in self._values:
            return default
        value = self.read(name, convert)
        return default if value is None else value


def load_settings():
    """Returns the GatewaySettings of this process.

    Raises InvalidSettings, OSError if the file cannot be read, or KeyError if
    SETTINGS_VARIABLE is not set.
    """
    return parse_settings(pathlib.Path(os.environ[SETTINGS_VARIABLE]).read_text())


def parse_settings(text):
    """Returns GatewaySettings from the text of the file. Raises InvalidSettings."""
    fields = _Fields(text)
    read = fields.read
    ip = read("ip", str)
    peer_port = read("port_range", _first_port)
    cpu_share, cores = read("limits.cpu_share", float), read("limits.cores", float)
    budget = RetryBudgetSettings(
        ratio=read("bounds.retry_budget_ratio", float),
        slack=read("bounds.budget_slack", float),
        window_s=read("bounds.budget_window_s", float),
    )
    settings = GatewaySettings(
        name=read("node", str),
        failure_domain=read("zone", str),
        size=(cpu_share or 0.0) * (cores or 0.0),
        callers=read("listen.front", _address),
        readiness=read("listen.ready", _address),
        metrics=read("listen.control", _address),
        peers=(ip, peer_port),
        # All hosts exchange datagrams on the same port, the first of the port range, so
        # the ports of the seeds are ignored.
        seeds=tuple((ip, peer_port) for ip, _ in read("seeds", _addresses) or ()),
        store=read("provider.address", _address),
        lease_s=read("bounds.lease_ms", _seconds),
        replica_drain_s=read("bounds.drain_ms", _seconds),
        configuration_apply_s=read("bounds.config_apply_ms", _seconds),
        shutdown_grace_s=read("bounds.grace_s", float),
        entry_expiry_s=MISSED_HEARTBEATS
        * fields.read_optional("heartbeat_ms", _seconds, DEFAULT_HEARTBEAT_S),
        retry_budget=budget,
    )
    if fields.problems:
        raise InvalidSettings(fields.problems)
    return settings


def _seconds(milliseconds):
    return float(milliseconds) / 1000


def _first_port(port_range):
    return int(port_range.split(",")[0])


def _address(text):
    ip, colon, port = text.rpartition(":")
    if not colon:
        raise ValueError("must be IP:PORT")
    return ip, int(port)


def _addresses(text):
    return [_address(part) for part in text.split(",") if part]
