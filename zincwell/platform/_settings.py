"""Reads the settings file that the platform writes."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from msgspec import Struct

from zincwell.dispatch import Limits
from zincwell.exceptions import SettingsError


class PlatformSettings(Struct, frozen=True, kw_only=True):
    """Values from the settings file.

    :param name: name of the VM.
    :param zone: failure domain of the VM.
    :param ip: address on which the metrics are served.
    :param callers: address at which to listen for callers.
    :param ready: address at which to listen for the load balancer's readiness check.
    :param peers: address at which to listen for other entries.
    :param peers_advertised: address at which other entries reach this one; may differ from
        ``peers``.
    :param store: address of the platform's store.
    :param cores: CPU limit of the process, in cores.
    """

    name: str
    zone: str
    ip: str
    callers: str
    ready: str
    peers: str
    peers_advertised: str
    store: str
    cores: float
    limits: Limits


def read_settings(path: Path) -> PlatformSettings:
    """Read the settings file; unknown fields are ignored.

    :raises SettingsError: if the file can't be read, or a field is missing or invalid; the message
        names the file and the field.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    try:
        return _decode(_parse_lines(text))
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error


def _parse_lines(text: str) -> dict[str, str]:
    pairs = (line.split("=", 1) for line in text.splitlines() if "=" in line)
    return {name.strip(): value.strip() for name, value in pairs}


def _decode(values: Mapping[str, str]) -> PlatformSettings:
    ip = _text(values, "ip")
    first_port = _text(values, "portRange").split(",")[0]
    peers = _check_address("portRange", f"{ip}:{first_port}")
    advertised = values.get("advertise.peers", "") or peers
    return PlatformSettings(
        name=_text(values, "nodeName"),
        zone=_text(values, "zone"),
        ip=ip,
        callers=_address(values, "listen.front"),
        ready=_address(values, "listen.ready"),
        peers=peers,
        peers_advertised=_check_address("advertise.peers", advertised),
        store=_address(values, "platform.addr"),
        cores=_number(values, "limits.cpuShare", 1.0) * _number(values, "limits.cores", 1.0),
        limits=Limits(
            max_lease_s=_number(values, "bounds.maxHoldMs", 1000) / 1000,
            thaw_slack_s=_number(values, "bounds.thawSlackMs", 300) / 1000,
            stop_timeout_s=_number(values, "bounds.stopTimeoutMs", 50) / 1000,
            drain_grace_s=_number(values, "bounds.graceS", 6),
            leave_notice_s=_number(values, "bounds.drainMs", 2000) / 1000,
            report_interval_s=_number(values, "heartbeatMs", 1500) / 1000,
        ),
    )


def _text(values: Mapping[str, str], name: str) -> str:
    value = values.get(name, "")
    if not value:
        raise SettingsError(f"{name}: missing")
    return value


def _address(values: Mapping[str, str], name: str) -> str:
    return _check_address(name, _text(values, name))


def _check_address(name: str, value: str) -> str:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{name}: {value!r} is not HOST:PORT")
    return value


def _number(values: Mapping[str, str], name: str, default: float) -> float:
    value = values.get(name, "")
    if not value:
        return default
    try:
        number = float(value)
    except ValueError:
        raise SettingsError(f"{name}: {value!r} is not a number") from None
    if number < 0:
        raise SettingsError(f"{name}: {value!r} is negative")
    return number
