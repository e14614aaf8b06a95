"""The TOML settings file of one router, validated when it is read.

Settings are msgspec structs instead of data classes because msgspec rejects
unknown keys and names them. docs/operators/settings.md describes each key.
"""

from typing import Annotated

import msgspec

from peridotwell.toml_files import read_toml

__all__ = ('Settings', 'load_settings')

Address = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-fA-F.:\[\]]+:\d{1,5}$')]
Name = Annotated[
    str, msgspec.Meta(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$')
]
Url = Annotated[str, msgspec.Meta(pattern='^http://[^/]+$')]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]


class InstanceSettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """The name of this router and its data centre."""

    name: Name
    data_centre: Name


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses that this router listens on; port 0 picks a free one."""

    callers: Address
    operators: Address = '127.0.0.1:0'
    peers: Address = '127.0.0.1:0'


class PlatformSettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """The platform's key-value store: its URL, timeout, intervals and lease."""

    url: Url
    timeout_seconds: Seconds = 1
    list_seconds: Seconds = 1
    lease_seconds: Seconds = 15


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Heartbeats between routers, the first peers, and the stop delay."""

    heartbeat_seconds: Seconds = 0.5
    dead_after_seconds: Seconds = 2
    seeds: tuple[Address, ...] = ()
    stop_delay_seconds: Annotated[float, msgspec.Meta(ge=0, le=600)] = 2


class MetricsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The statsd server (empty: none) and the prefix of metric names."""

    statsd: str = ''
    prefix: str = 'peridotwell'


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything in one settings file."""

    instance: InstanceSettings
    listen: ListenSettings
    platform: PlatformSettings
    fleet: FleetSettings = FleetSettings()
    metrics: MetricsSettings = MetricsSettings()


def load_settings(path: str) -> Settings:
    """Read and validate a settings file.

    Raises SettingsError, whose message names the key and says what to do.
    """
    return read_toml(
        path,
        Settings,
        unreadable_remedy='give an existing file with --settings',
        invalid_remedy='correct this key, see docs/operators/settings.md',
    )
