"""The configuration of a limiter: the `GW_*` environment variables and the JSON file named by `GW_CONFIG`."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from ironstage import interface as api
from ironstage.simulator_protocol import SETTING_VALUE_LIMIT, ProtocolError, parse_settings

Address = tuple[str, int]

# The defaults of `sockets` and `memory_mb` are what the deployment grants a limiter in production.
DEFAULT_SOCKET_COUNT = 1024  # file descriptors
MIN_SOCKET_COUNT = 64  # for the event loop, the listener, discovery, and some connections to either side
DEFAULT_MEMORY_MB = 192.0  # the most that the deployment grants
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_SERVER_IDLE_TIMEOUT_MS = 15_000.0
DEFAULT_MAX_RETRY_AFTER_MS = 500.0
MAX_OPEN_REQUEST_COUNT = 1000  # default and upper bound of `maxOpen`


class ConfigError(ValueError):
    """An environment variable or the configuration file is missing or invalid."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a limiter.

    `sockets` is the number of file descriptors that the limiter may use, `memory_limit_bytes` the memory of
    its process, and `max_open` bounds the unanswered requests. The ids of the `zones` are their positions. A
    server closes a connection that has been idle for `server_idle_timeout_s`.
    `known` is the last known host list, in discovery's JSON format.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_limit_bytes: int
    max_open: int
    settings: api.Settings
    zones: tuple[str, ...]
    connect_timeout_s: float
    server_idle_timeout_s: float
    known: Any


def parse_address(text: object) -> Address:
    """Parse `host:port`, where the host is a literal IP address, an IPv6 one in brackets."""
    if not isinstance(text, str):
        raise ConfigError(f"address is missing or not a string: {text!r}")
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ConfigError(f"address is not of the form host:port: {text!r}")
    return host.strip("[]"), int(port)


def _get_object(raw: Any, key: str) -> dict[str, Any]:
    """Return the JSON object under a key, empty if the key is missing."""
    value = raw.get(key, {})
    if not isinstance(value, dict):
        raise ConfigError(f"{key} is not a JSON object")
    return value


def _get_number(raw: dict[str, Any], key: str, default: float, minimum: float = 0.0) -> float:
    """Return the number under a key: above 0, at least `minimum` and below `SETTING_VALUE_LIMIT`."""
    value = raw.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < SETTING_VALUE_LIMIT:
        raise ConfigError(f"{key} is not a number above 0 or is too large")
    if value < minimum:
        raise ConfigError(f"{key} is {value}, below the minimum of {minimum:g}")
    return float(value)


def _parse_seed(text: object) -> int:
    """Parse the hexadecimal seed of the random number generators."""
    try:
        return int(str(text), 16)
    except ValueError:
        raise ConfigError(f"seed is not a hexadecimal number: {text!r}") from None


def _read_file(environ: Mapping[str, str]) -> dict[str, Any]:
    """Read the JSON file that `GW_CONFIG` names."""
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"cannot read the configuration file {path}: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"configuration file {path} is not a JSON object")
    return raw


def reload_discovery_address(environ: Mapping[str, str]) -> Address:
    """Return the address of discovery in the configuration file, after the file was replaced.

    `GW_DISCOVERY` is ignored: the environment still holds the value from the start of the process.
    """
    return parse_address(_read_file(environ).get("discovery"))


def load(environ: Mapping[str, str]) -> Config:
    """Load the configuration; `GW_NAME`, `GW_LISTEN` and `GW_DISCOVERY` override the file's entries."""
    raw = _read_file(environ)
    settings, limits = _get_object(raw, "settings"), _get_object(raw, "limits")
    ceilings = _get_object(settings, "ceilings")
    try:
        parsed_settings = parse_settings(json.dumps(settings).encode())
    except ProtocolError as error:
        raise ConfigError(str(error)) from None
    zones = settings.get("zones", [])
    return Config(
        name=environ.get("GW_NAME") or str(raw.get("name", "")),
        listen=parse_address(environ.get("GW_LISTEN") or raw.get("listen")),
        discovery=parse_address(environ.get("GW_DISCOVERY") or raw.get("discovery")),
        seed=_parse_seed(raw.get("seed", "0")),
        sockets=int(_get_number(limits, "sockets", DEFAULT_SOCKET_COUNT, MIN_SOCKET_COUNT)),
        memory_limit_bytes=int(_get_number(limits, "memory_mb", DEFAULT_MEMORY_MB) * (1 << 20)),
        max_open=int(min(MAX_OPEN_REQUEST_COUNT, _get_number(ceilings, "maxOpen", MAX_OPEN_REQUEST_COUNT))),
        # Over HTTP a refusal may always carry Retry-After; only in the simulator may the settings forbid it.
        settings=replace(
            parsed_settings,
            max_retry_after_ms=_get_number(ceilings, "maxRetryAfterMs", DEFAULT_MAX_RETRY_AFTER_MS),
        ),
        zones=tuple(str(zone) for zone in zones) if isinstance(zones, list) else (),
        connect_timeout_s=_get_number(ceilings, "connectTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS) / 1000,
        server_idle_timeout_s=_get_number(ceilings, "connIdleMs", DEFAULT_SERVER_IDLE_TIMEOUT_MS) / 1000,
        known=raw.get("known"),
    )
