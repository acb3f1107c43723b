"""Settings of one entry process, read from a TOML file and validated at start.

Settings hold what differs between VMs: addresses, failure domain, paths of secret files. The
configuration of the whole system is in the configuration document.
"""

from __future__ import annotations

import ipaddress
import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from zincwell.checking import find_faults
from zincwell.exceptions import SettingsError
from zincwell.models import Name

Port = Annotated[int, Meta(ge=0, le=65_535)]
Bytes = Annotated[int, Meta(ge=1_024)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]


class ListenerSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Address and limits of one listener.

    :param host: IP number to listen on.
    :param port: TCP port; 0 lets the operating system choose.
    :param max_body_bytes: a longer request body is refused with 413.
    :param max_header_bytes: a longer request header is refused.
    :param tls_cert: file with a certificate chain in PEM; empty serves plain HTTP.
    :param tls_key: file with its private key in PEM.
    """

    host: str = "127.0.0.1"
    port: Port = 0
    max_body_bytes: Bytes = 8 * 1024 * 1024
    max_header_bytes: Bytes = 8 * 1024
    tls_cert: str = ""
    tls_key: str = ""


class PlatformSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Where the platform is.

    :param log_url: base URL of the log service.
    :param directory_url: base URL of the list of VMs.
    """

    log_url: str
    directory_url: str


class TimingSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Periods in seconds; the defaults suit failure domains some milliseconds apart.

    :param seat_lease_s: how long contact with the log or the peers lets a home grant claims.
    :param peer_silence_s: silence after which a peer's seat is closed; over two leases.
    :param heartbeat_s: period of heartbeats between peers.
    :param claim_budget_s: how long an entry tries to reach the home of a key.
    :param worker_lease_s: lifetime asked for a worker lease.
    :param accept_silence_s: wait for a worker to accept a start before it is checked anew.
    :param stream_silence_s: silence on a worker's stream after which it is checked anew.
    :param lost_grace_s: how long a lost worker is asked about its tasks before giving up.
    :param directory_poll_s: period of reading the list of VMs.
    :param resubmission_window_s: how long keys and answers are remembered.
    :param clock_margin_s: largest difference assumed between the clocks of two VMs.
    :param drain_notice_s: time between readiness going off and the listener closing.
    :param snapshot_s: longest time between two snapshots on the log; under half its retention.
    """

    seat_lease_s: Seconds = 1.0
    peer_silence_s: Seconds = 3.0
    heartbeat_s: Seconds = 0.25
    claim_budget_s: Seconds = 1.5
    worker_lease_s: Seconds = 5.0
    accept_silence_s: Seconds = 0.5
    stream_silence_s: Seconds = 1.5
    lost_grace_s: Seconds = 2.0
    directory_poll_s: Seconds = 0.5
    resubmission_window_s: Seconds = 600.0
    clock_margin_s: Seconds = 0.5
    drain_notice_s: Seconds = 2.0
    snapshot_s: Seconds = 600.0


class MemorySettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Bounds on what an entry remembers.

    :param max_answer_bytes: outputs of finished jobs kept for resubmissions.
    :param max_queued_tasks: tasks queued in this entry before admission refuses.
    """

    max_answer_bytes: Bytes = 64 * 1024 * 1024
    max_queued_tasks: Annotated[int, Meta(ge=1)] = 50_000


class Settings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Everything that one entry is told at its start.

    :param vm: name of this VM, unique among the entries.
    :param domain: failure domain of this VM.
    :param peers_url: base URL by which peers reach this entry, if not by what it listens on.
    :param peer_key_file: file with the key that peers prove to each other; without one the
        peers' listener must be on a loopback address.
    :param operator_token_file: file with the operators' bearer token; without one the
        operators' listener must be on a loopback address.
    :param ca_file: file with the certificates, in PEM, that sign those of the peers' listeners
        and of the platform; empty: those of the operating system.
    :param otlp_endpoint: URL that metrics are sent to; empty keeps them local.
    :param log_level: debug, info, warning or error.
    """

    vm: Name
    domain: Name
    platform: PlatformSettings
    callers: ListenerSettings = ListenerSettings()
    peers: ListenerSettings = ListenerSettings()
    operators: ListenerSettings = ListenerSettings()
    timing: TimingSettings = TimingSettings()
    memory: MemorySettings = MemorySettings()
    peers_url: str = ""
    peer_key_file: str = ""
    operator_token_file: str = ""
    ca_file: str = ""
    otlp_endpoint: str = ""
    log_level: Literal["debug", "info", "warning", "error"] = "info"


def load_settings(path: str | Path) -> Settings:
    """Read a settings file.

    :raises SettingsError: with the file, the key and the allowed values.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not valid UTF-8") from error
    return parse_settings(text, source=str(path))


def parse_settings(text: str, *, source: str) -> Settings:
    """Parse and validate the text of a settings file.

    :param source: name of the text in error messages.
    :raises SettingsError: with the source, the key and the allowed values.
    """
    try:
        value = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{source}: not TOML: {error}") from error
    faults = [f"{fault.key}: {fault.message}" for fault in find_faults(value, Settings)]
    if faults:
        raise SettingsError("\n".join(f"{source}: {fault}" for fault in faults))
    settings = msgspec.convert(value, Settings)
    try:
        check_settings(settings)
    except SettingsError as error:
        raise SettingsError(f"{source}: {error}") from error
    return settings


def check_settings(settings: Settings) -> None:
    """Validate constraints between several settings.

    :raises SettingsError: with the keys that conflict.
    """
    _check_timing(settings.timing)
    for name in ("callers", "peers", "operators"):
        _check_listener(name, getattr(settings, name))
    _check_secret("operators", settings.operators, "operator_token_file", settings)
    _check_secret("peers", settings.peers, "peer_key_file", settings)


def _check_timing(timing: TimingSettings) -> None:
    """Reject periods that would let two homes grant the same key."""
    if timing.peer_silence_s <= 2 * timing.seat_lease_s:
        raise SettingsError("timing.peer_silence_s must be greater than twice timing.seat_lease_s")
    if timing.heartbeat_s * 3 > timing.seat_lease_s:
        raise SettingsError("timing.seat_lease_s must be at least 3 times timing.heartbeat_s")


def _check_listener(name: str, listener: ListenerSettings) -> None:
    try:
        ipaddress.IPv4Address(listener.host)
    except ValueError as error:
        raise SettingsError(f"{name}.host: {listener.host!r} is not an IPv4 address") from error
    if listener.tls_key and not listener.tls_cert:
        raise SettingsError(f"{name}.tls_key requires {name}.tls_cert")


def _check_secret(name: str, listener: ListenerSettings, key: str, settings: Settings) -> None:
    """Reject a listener that is reachable from the network and has no secret.

    Without this check, a missing line in the settings would silently open the configuration, or
    the claims on callers' keys, to every host that can reach the VM.
    """
    if getattr(settings, key) or ipaddress.IPv4Address(listener.host).is_loopback:
        return
    raise SettingsError(
        f"{name}.host: {listener.host} is not a loopback address; {key} is required"
    )


def read_secret(path: str) -> str:
    """Return the secret in a file, or an empty string if the path is empty.

    :raises SettingsError: if the file can't be read or is empty.
    """
    if not path:
        return ""
    try:
        secret = Path(path).read_text(encoding="utf-8").strip()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not valid UTF-8") from error
    if not secret:
        raise SettingsError(f"{path}: the file is empty")
    return secret
