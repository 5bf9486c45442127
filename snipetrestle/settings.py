"""Typed settings of one daemon process, read from YAML.

The defaults are in ``settings_default.yaml``, which documents each setting. The values
of a user's file override them.
"""

import importlib.resources
import ipaddress
import pathlib

import msgspec

from snipetrestle.checking import InvalidDocument, Problem, check_struct, parse_document
from snipetrestle.http_connections import split_base_url
from snipetrestle.logs import LogSettings
from snipetrestle.process_limits import DEFAULT_MEMORY_MB

MAX_MEMORY_MB = 1e9


class DaemonSettings(msgspec.Struct, frozen=True):
    """Identity of this daemon. ``size`` is relative processor capacity."""

    name: str
    failure_domain: str
    region: str
    size: float = 1.0


class ListenSettings(msgspec.Struct, frozen=True):
    """Listening addresses as ``IP:PORT``. ``peers`` is also the address for peers."""

    callers: str
    peers: str
    operators: str


class TlsFiles(msgspec.Struct, frozen=True):
    """Paths of PEM files. ``authority`` verifies the other side's certificates."""

    certificate: str
    key: str
    authority: str | None = None


class TlsSettings(msgspec.Struct, frozen=True):
    """TLS for peers (mutual TLS), callers and operators."""

    peers: TlsFiles | None = None
    callers: TlsFiles | None = None
    operators: TlsFiles | None = None
    reload_interval_s: float = 30.0


class PlatformSettings(msgspec.Struct, frozen=True):
    """URLs of the platform's configuration service and host list."""

    configuration_service: str
    host_list: str
    configuration_key: str = "snipetrestle"
    host_list_interval_s: float = 1.0


class IntakeSettings(msgspec.Struct, frozen=True):
    """Limits on requests and connections of callers."""

    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    max_connections: int = 4096


class ProcessSettings(msgspec.Struct, frozen=True):
    """What the process may use: ``memory_mb`` in units of 10^6 bytes.

    It never uses more than the memory of its machine and the descriptors that the
    kernel allows it.
    """

    memory_mb: float = DEFAULT_MEMORY_MB


class Settings(msgspec.Struct, frozen=True):
    """All settings of one daemon process."""

    daemon: DaemonSettings
    listen: ListenSettings
    platform: PlatformSettings
    seeds: tuple[str, ...] = ()
    tls: TlsSettings = TlsSettings()
    logs: LogSettings = LogSettings()
    intake: IntakeSettings = IntakeSettings()
    process: ProcessSettings = ProcessSettings()

    @classmethod
    def load(cls, path):
        """Reads a user's settings file and fills in the defaults.

        Raises OSError, or InvalidDocument with every problem.
        """
        return cls.from_text(pathlib.Path(path).read_text())

    @classmethod
    def from_text(cls, text):
        """Parses a user's settings. Raises InvalidDocument with every problem."""
        data = parse_document(text)
        defaults = parse_document(
            importlib.resources.files("snipetrestle")
            .joinpath("settings_default.yaml")
            .read_text()
        )
        problems = []
        settings = check_struct(cls, overlay(defaults, data), "", problems)
        if settings is not None:
            problems.extend(_cross_checks(settings))
        if problems:
            raise InvalidDocument(problems)
        return settings


def overlay(defaults, data):
    """Returns ``defaults`` with the values of ``data`` merged into it recursively."""
    if not isinstance(defaults, dict) or not isinstance(data, dict):
        return data
    merged = dict(defaults)
    for key, value in data.items():
        merged[key] = overlay(merged[key], value) if key in merged else value
    return merged


def split_address(address):
    """Returns (IP, port) of ``IP:PORT``. Raises ValueError."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    ipaddress.ip_address(host)
    number = int(port)
    if not 0 <= number <= 65535:
        raise ValueError("port must be between 0 and 65535")
    return host, number


def is_loopback(address):
    """Tells whether ``IP:PORT`` is on loopback, where plain text is allowed."""
    host, _ = split_address(address)
    return ipaddress.ip_address(host).is_loopback


def _cross_checks(settings):
    listen = settings.listen
    for name in ("callers", "peers", "operators"):
        path, address = f"listen.{name}", getattr(listen, name)
        try:
            loopback = is_loopback(address)
        except ValueError as error:
            yield Problem(path, repr(address), f"must be IP:PORT ({error})")
            continue
        if not loopback and getattr(settings.tls, name) is None:
            yield Problem(
                path,
                repr(address),
                f"needs tls.{name}: plain text is allowed on loopback only",
            )
    for name in ("configuration_service", "host_list"):
        url = getattr(settings.platform, name)
        try:
            split_base_url(url)
        except ValueError as error:
            yield Problem(f"platform.{name}", repr(url), f"must be a URL ({error})")
    if settings.tls.peers is not None and settings.tls.peers.authority is None:
        yield Problem("tls.peers.authority", "missing", "is required for mutual TLS")
    for index, seed in enumerate(settings.seeds):
        try:
            split_address(seed)
        except ValueError as error:
            yield Problem(f"seeds[{index}]", repr(seed), f"must be IP:PORT ({error})")
    if settings.logs.format not in ("json", "text"):
        yield Problem("logs.format", repr(settings.logs.format), "must be json or text")
    if not 0 < settings.process.memory_mb <= MAX_MEMORY_MB:
        yield Problem(
            "process.memory_mb",
            repr(settings.process.memory_mb),
            f"must be above 0 and at most {MAX_MEMORY_MB:g}",
        )
    if settings.daemon.size <= 0:
        yield Problem("daemon.size", repr(settings.daemon.size), "must be above 0")
