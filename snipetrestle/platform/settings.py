"""Reads the platform's settings file into the gateway's settings.

The file has one ``name=value`` per line; elements of a list are separated by commas.
Unknown names are ignored, since the platform may add new ones.
"""

import math
import os
import pathlib
import re

from snipetrestle.coordination.messaging.messages import HOST_PATTERN
from snipetrestle.gateway.configuration import MAX_NAME_LENGTH
from snipetrestle.gateway.settings import (
    DEFAULT_MEMORY_MB,
    GatewaySettings,
    RetryBudgetSettings,
)
from snipetrestle.platform.values import MAX_PORT

# The store removes the entry of a replica after so many heartbeats of silence.
MISSED_HEARTBEATS = 3
DEFAULT_HEARTBEAT_S = 2.0
# Of the descriptors, so many are for files. Sockets share the others.
FILE_DESCRIPTORS = 200
SETTINGS_VARIABLE = "SNIPETRESTLE_CONFIG"
# Of times in ms, counts and ratios.
MAX_NUMBER = 1e12


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
    ip = read("ip", _host)
    peer_port = read("port_range", _first_port)
    cpu_share = read("limits.cpu_share", _number)
    cores = read("limits.cores", _number)
    budget = RetryBudgetSettings(
        ratio=read("bounds.retry_budget_ratio", _number),
        slack=read("bounds.budget_slack", _number),
        window_s=read("bounds.budget_window_s", _number),
    )
    heartbeat_s = fields.read_optional("heartbeat_ms", _seconds, None)
    settings = GatewaySettings(
        name=read("node", _name),
        failure_domain=read("zone", _name),
        size=(cpu_share or 0.0) * (cores or 0.0),
        callers=read("listen.front", _address),
        readiness=read("listen.ready", _address),
        metrics=read("listen.control", _address),
        peers=(ip, peer_port),
        # All hosts exchange datagrams on the same port, the first of the port range, so
        # the ports of the seeds are ignored.
        seeds=tuple((ip, peer_port) for ip, _ in read("seeds", _addresses) or ()),
        store=read("provider.address", _address),
        lease_s=read("bounds.lease_ms", _positive_seconds),
        replica_drain_s=read("bounds.drain_ms", _seconds),
        configuration_apply_s=read("bounds.config_apply_ms", _seconds),
        shutdown_grace_s=read("bounds.grace_s", _number),
        entry_expiry_s=MISSED_HEARTBEATS
        * (DEFAULT_HEARTBEAT_S if heartbeat_s is None else heartbeat_s),
        retry_budget=budget,
        dispatch_permits=fields.read_optional("dispatch.permits", _boolean, False),
        memory_mb=fields.read_optional(
            "limits.memory_mb", _positive_number, DEFAULT_MEMORY_MB
        ),
        max_sockets=fields.read_optional("limits.max_fds", _sockets, math.inf),
        history_s=fields.read_optional("provider.history_s", _number, None),
        # Evidence must not rest on a default.
        heartbeat_s=heartbeat_s or 0.0,
    )
    if fields.problems:
        raise InvalidSettings(fields.problems)
    return settings


def _number(text):
    number = float(text)
    # NaN is not within bounds either.
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"must be from 0 to {MAX_NUMBER:g}")
    return number


def _sockets(max_descriptors):
    return max(0.0, _number(max_descriptors) - FILE_DESCRIPTORS)


def _boolean(text):
    if text not in ("true", "false"):
        raise ValueError("must be true or false")
    return text == "true"


def _seconds(milliseconds):
    return _number(milliseconds) / 1000


def _positive_number(text):
    number = _number(text)
    if not number:
        raise ValueError("must be above 0")
    return number


def _positive_seconds(milliseconds):
    return _positive_number(milliseconds) / 1000


def _name(text):
    if not 1 <= len(text) <= MAX_NAME_LENGTH:
        raise ValueError(f"must have from 1 to {MAX_NAME_LENGTH} characters")
    return text


def _host(text):
    if not text or not re.search(HOST_PATTERN, text):
        raise ValueError("must be an IP address")
    return text


def _port(text):
    port = int(text)
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f"the port must be from 1 to {MAX_PORT}")
    return port


def _first_port(port_range):
    return _port(port_range.split(",")[0])


def _address(text):
    ip, colon, port = text.rpartition(":")
    if not colon:
        raise ValueError("must be IP:PORT")
    return _host(ip), _port(port)


def _addresses(text):
    return [_address(part) for part in text.split(",") if part]
