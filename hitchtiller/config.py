"""Reads and checks the configuration: the variables BALANCER_* and the JSON file that BALANCER_CONFIG names.

A ConfigError says in one line what is wrong.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hitchtiller import interface as api
from hitchtiller.codec.bus import BusError, NumberedEvent, read_address, read_known_events
from hitchtiller.settings import read_settings

Address = tuple[str, int]


class ConfigError(Exception):
    """The configuration is invalid; the text says in one line what is missing or wrong."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration that a gateway starts with."""

    name: str
    listen: Address
    listen_fd: int | None  # a listening socket for clients that the platform has opened, if any
    control: Address | None  # address for operators' calls
    seed: int
    sockets: int
    memory_mb: float
    bus: Address
    peer_listen: Address | None
    peers: tuple[Address, ...]
    known: list[NumberedEvent]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    settings: api.Settings
    connect_ms: float
    idle_ms: float
    streams: int  # concurrent attempts on one connection
    flow_bytes_per_s: float  # bound for one answer from the gateway's own copies; 0: no bound
    link_bytes_per_s: float  # bound for all of them together; 0: no bound


def read_config(environ: Mapping[str, str]) -> Config:
    """Read and check the configuration; environment variables override the file."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(data, dict):
        raise ConfigError(f"{path}: not an object")
    try:
        return _build_config(data, environ)
    except KeyError as error:
        raise ConfigError(f"{path}: {error.args[0]!r} is missing") from None
    except (ValueError, TypeError, AttributeError, IndexError, OverflowError, BusError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _build_config(data: dict[str, Any], environ: Mapping[str, str]) -> Config:
    setup, limits = data["settings"], data.get("limits", {})
    settings = read_settings(setup)
    if settings.my_zone not in settings.zones:
        raise ConfigError(f"my_zone {settings.my_zone!r} is not one of localities")
    peers = tuple(read_address(peer) for peer in data.get("peers", []))
    if settings.peers and len(peers) != settings.group_size:
        raise ConfigError(f"{len(peers)} peers for {settings.group_size} gateways")
    rules = setup.get("limits", {})
    listen = environ.get("BALANCER_LISTEN") or data["listen"]
    listen_fd = environ.get("BALANCER_LISTEN_FD", "")
    if listen_fd and not listen_fd.isdecimal():
        raise ConfigError(f"BALANCER_LISTEN_FD {listen_fd!r} is not a descriptor number")
    control = environ.get("BALANCER_CONTROL") or data.get("control")
    peer_listen = data.get("peer_listen")
    return Config(
        name=environ.get("BALANCER_NAME") or str(data["name"]),
        listen=read_address(listen),
        listen_fd=int(listen_fd) if listen_fd else None,
        control=read_address(control) if control else None,
        seed=int(str(data["seed"]), 16),
        sockets=int(limits.get("sockets", 1024)),
        memory_mb=float(limits.get("memory_mb", 192)),
        bus=read_address(data["bus"]),
        peer_listen=read_address(peer_listen) if peer_listen else None,
        peers=peers,
        known=read_known_events(data.get("known", {})),
        zones=settings.zones,
        kinds=tuple(setup["skus"]),
        settings=settings,
        connect_ms=float(rules.get("connect_timeout_ms", 400.0)),
        idle_ms=float(rules.get("conn_idle_ms", 15_000.0)),
        streams=int(rules.get("multiplex", 32)),
        flow_bytes_per_s=float(data.get("flow_bytes_per_s", 0.0)),
        link_bytes_per_s=float(data.get("link_bytes_per_s", 0.0)),
    )
