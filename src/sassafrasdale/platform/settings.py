"""Decoder of the settings file that the platform writes for each process."""

import json
from collections.abc import Mapping
from datetime import timedelta
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sassafrasdale.deployment import Bounds, GatewaySettings
from sassafrasdale.platform.early_listener import PATH_VARIABLE
from sassafrasdale.platform.exceptions import (
    SettingsFileError,
    SettingsFileFaults,
    ValueMalformed,
)
from sassafrasdale.structures import Address

USAGE_DUTY = "metering"
SCALE_DUTY = "scale"


class _Model(BaseModel):
    # Future versions of the platform may add fields; unknown ones are ignored.
    model_config = ConfigDict(extra="ignore", frozen=True)


class _Listen(_Model):
    front: str
    ready: str
    control: str | None = None


class _Bounds(_Model):
    drain_ms: float = Field(2000, alias="drainMs")
    grace_s: float = Field(8, alias="graceS")
    config_apply_ms: float = Field(2000, alias="configApplyMs")
    retry_ratio: float = Field(0.2, alias="retryRatio")
    retry_slack: float = Field(0, alias="retrySlack")
    quota_slack: float = Field(0, alias="quotaSlack")
    lease_ms: float = Field(3000, alias="leaseMs")
    require_fence: bool = Field(True, alias="requireFence")
    usage_window_s: float = Field(5, alias="usageWindowS")
    usage_late_s: float = Field(10, alias="usageLateS")
    canary_share: float = Field(0.1, alias="canaryShare", ge=0, le=1)


class _Limits(_Model):
    cpu_share: float = Field(1.0, alias="cpuShare")
    cores: float = 1.0


class _Store(_Model):
    addr: str
    ttl_min_ms: float = Field(1000, alias="ttlMinMs")


class _Cloud(_Model):
    addr: str
    duties: tuple[str, ...] = ()


class _File(_Model):
    node: str
    zone: str
    zones: Mapping[str, str]
    ip: str
    listen: _Listen
    port_range: tuple[int, int] = Field(alias="portRange")
    bounds: _Bounds
    limits: _Limits = _Limits()
    platform: _Store
    cloud: _Cloud | None = None


def read_settings(environ: Mapping[str, str]) -> GatewaySettings:
    """Return the settings in the file that the environment variable names.

    :raises SettingsFileError: if there is no such file or it is not JSON.
    :raises SettingsFileFaults: if fields are missing or invalid.
    """
    path = environ.get(PATH_VARIABLE, "")
    if not path:
        raise SettingsFileError(f"{PATH_VARIABLE} is not set")
    try:
        fields = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsFileError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise SettingsFileError(f"{path}: not JSON: {error}") from error
    return decode_settings(fields)


def decode_settings(fields: object) -> GatewaySettings:
    """Return the settings in the fields of the file.

    :raises SettingsFileFaults: if fields are missing or invalid.
    """
    try:
        file = _File.model_validate(fields)
        return _settings(file)
    except ValidationError as error:
        raise SettingsFileFaults(
            ValueMalformed(
                f"{_path(fault['loc'])}: {fault['msg']}", field=_path(fault["loc"])
            )
            for fault in error.errors()
        ) from error


def _path(location: tuple[int | str, ...]) -> str:
    return ".".join(str(part) for part in location)


def _address(field: str, value: str) -> Address:
    try:
        return Address.parse(value)
    except ValueError as error:
        raise SettingsFileFaults(
            [ValueMalformed(f"{field}: {error}", field=field)]
        ) from error


def _settings(file: _File) -> GatewaySettings:
    cloud = file.cloud
    duties = cloud.duties if cloud else ()
    return GatewaySettings(
        name=file.node,
        availability_zone=file.zone,
        availability_zones=tuple(file.zones),
        address=_address("listen.front", file.listen.front),
        ready_address=_address("listen.ready", file.listen.ready),
        peer_address=Address(file.ip, file.port_range[0]),
        store=_address("platform.addr", file.platform.addr),
        cloud=_address("cloud.addr", cloud.addr) if cloud else None,
        reports_usage=USAGE_DUTY in duties,
        orders_endpoints=SCALE_DUTY in duties,
        bounds=_bounds(file.bounds, file.platform),
        # The file's number of cores stands for the relative speed of one core.
        cpu_cores=file.limits.cpu_share * file.limits.cores,
    )


def _bounds(bounds: _Bounds, store: _Store) -> Bounds:
    return Bounds(
        endpoint_drain=timedelta(milliseconds=bounds.drain_ms),
        stop_grace=timedelta(seconds=bounds.grace_s),
        retry_share=bounds.retry_ratio,
        retry_slack=bounds.retry_slack,
        quota_slack=bounds.quota_slack,
        lease=timedelta(milliseconds=bounds.lease_ms),
        usage_window=timedelta(seconds=bounds.usage_window_s),
        usage_delay=timedelta(seconds=bounds.usage_late_s),
        min_lease=timedelta(milliseconds=store.ttl_min_ms),
        configuration_delay=timedelta(milliseconds=bounds.config_apply_ms),
        checks_fencing=bounds.require_fence,
        canary_share=bounds.canary_share,
    )
