"""Settings of a node, from the INI file that the platform renders from a template."""

import os
from collections.abc import Mapping

import pydantic

from papayatack.core.errors import SettingsError
from papayatack.core.inventory import Place
from papayatack.daemon.settings import (
    Address,
    LimitSettings,
    ListenSettings,
    LoggingSettings,
    LogServiceSettings,
    NodeSettings,
    Settings,
    read_file,
    split_sections,
)
from papayatack.platform.times import Duration

__all__ = ["PlatformSettings", "parse_platform_settings", "read_platform_settings"]

DRAIN_GRACE_SHARE = 5 / 6
"""Fraction of the graceful shutdown period in which requests must not be abandoned."""

DRAIN_MARGIN_S = 0.05
"""Time added to that period, since other nodes get slightly less time than this one."""

MAX_NOTICE_S = 2.3
"""Maximum drain notice: two readiness probes, one second apart, and their responses."""

MAX_NOTICE_SHARE = 0.5
"""Maximum fraction of the drain period that the notice may take."""

UPSTREAM_DRAIN_MARGIN_S = 0.4
MAX_CALLER_CONNECTIONS = 3_000
CALLER_CONNECTIONS_SHARE = 0.7
"""Share of the VM's descriptors that callers' connections may use."""

MIN_SIDE_CONNECTIONS = 16
MAX_SIDE_CONNECTIONS = 200
SIDE_CONNECTIONS_SHARE = 0.04
"""Share of the VM's descriptors for each other port for HTTP."""

HELD_BYTES_SHARE = 1 / 12
"""Share of the VM's memory for request bodies that are held for callers. What a node
holds of them in other forms, and at other nodes, is several times as much."""

OPTIONAL_SETTINGS = (
    ("bounds", "cold_overrun"),
    ("bounds", "cold_slack"),
    ("bounds", "evacuation"),
    ("limits", "memory"),
    ("limits", "descriptors"),
)
"""Settings, by section and key, that may come from the environment."""

MIB = 1024 * 1024
DEFAULT_MEMORY_MIB = 300
DEFAULT_DESCRIPTORS = 4_300


class _Section(pydantic.BaseModel):
    """Base of the file's sections, which ignore unknown keys."""

    model_config = pydantic.ConfigDict(frozen=True)


class _Node(_Section):
    name: str
    data_centre: str
    region: str


class _Listen(_Section):
    callers: Address
    upstream: Address
    readiness: Address
    peers: Address
    operators: Address


class _Upstream(_Section):
    service: str = ""
    address: str = ""
    heartbeat: Duration = 1.0


class _Store(_Section):
    address: Address
    keep: Duration = 20.0


class _Bounds(_Section):
    drain: Duration = 2.0
    grace: Duration = 6.0
    retry_share: float = 0.2
    retry_window: Duration = 10.0
    retry_reserve: float = 50.0
    longest_hold: Duration = 10.0
    cold_overrun: float | None = None
    cold_slack: float = 0.0
    evacuation: Duration | None = None


class _Limits(_Section):
    """Limits of the VM: memory in MiB, and open descriptors of a process."""

    memory: float = pydantic.Field(default=DEFAULT_MEMORY_MIB, ge=64)
    descriptors: int = pydantic.Field(default=DEFAULT_DESCRIPTORS, ge=100)

    @property
    def caller_connections(self) -> int:
        """Return the number of connections for callers."""
        share = int(self.descriptors * CALLER_CONNECTIONS_SHARE)
        return min(MAX_CALLER_CONNECTIONS, share)

    @property
    def side_connections(self) -> int:
        """Return the number of connections for each other port for HTTP."""
        share = int(self.descriptors * SIDE_CONNECTIONS_SHARE)
        return min(max(share, MIN_SIDE_CONNECTIONS), MAX_SIDE_CONNECTIONS)


class PlatformSettings(_Section):
    """The settings file with all its sections."""

    node: _Node
    listen: _Listen
    upstream: _Upstream = _Upstream()
    store: _Store
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    places: dict[str, str]

    @property
    def all_places(self) -> tuple[Place, ...]:
        """All data centres, with their regions."""
        return tuple(
            Place(name=name, region=region) for name, region in self.places.items()
        )

    def build_settings(self) -> Settings:
        """Return the equivalent settings of the product."""
        bounds = self.bounds
        drain_s = bounds.grace * DRAIN_GRACE_SHARE + DRAIN_MARGIN_S
        notice_s = min(MAX_NOTICE_S, drain_s * MAX_NOTICE_SHARE)
        return Settings(
            node=NodeSettings(
                data_centre=self.node.data_centre, region=self.node.region
            ),
            listen=ListenSettings(
                callers=self.listen.callers,
                peers=self.listen.peers,
                operators=self.listen.operators,
                upstream=self.listen.upstream,
                readiness=self.listen.readiness,
            ),
            log=LogServiceSettings(address=self.store.address),
            limits=LimitSettings(
                caller_connections=self.limits.caller_connections,
                side_connections=self.limits.side_connections,
                held_bytes=int(self.limits.memory * MIB * HELD_BYTES_SHARE),
                drain_timeout_s=drain_s - notice_s,
                drain_notice_s=notice_s,
                upstream_drain_s=max(bounds.drain - UPSTREAM_DRAIN_MARGIN_S, 0.1),
                cold_overrun=bounds.cold_overrun or 1.0,
                cold_slack=max(bounds.cold_slack, 0.0),
            ),
            logging=LoggingSettings(),
        )


def read_platform_settings(
    path: str, environment: Mapping[str, str] = os.environ
) -> PlatformSettings:
    """Read and validate the settings file.

    Args:
        path: Path of the file.
        environment: Has values of settings that only some installations know, such as
            ``PAPAYATACK_LIMITS_MEMORY``. The file goes before it.

    Raises:
        SettingsError: The file is missing or invalid; the message lists all errors.
    """
    return parse_platform_settings(
        read_file(path), source=path, environment=environment
    )


def parse_platform_settings(
    text: str, *, source: str, environment: Mapping[str, str] | None = None
) -> PlatformSettings:
    """Validate the text of a settings file, completed from the environment.

    Raises:
        SettingsError: The text is invalid; the message lists all errors.
    """
    document = {
        name: {key: value for key, value in section.items() if value}
        for name, section in split_sections(text, source=source).items()
    }
    for section, key in OPTIONAL_SETTINGS:
        value = (environment or {}).get(f"PAPAYATACK_{section}_{key}".upper())
        if value:
            document.setdefault(section, {}).setdefault(key, value)
    try:
        return PlatformSettings.model_validate(document)
    except pydantic.ValidationError as error:
        faults = [
            f"{source}: [{'] '.join(map(str, fault['loc']))}: {fault['msg']}"
            for fault in error.errors()
        ]
        raise SettingsError("\n".join(faults)) from None
