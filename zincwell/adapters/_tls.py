"""TLS settings of HTTP clients."""

from __future__ import annotations

import ssl

from zincwell.exceptions import SettingsError


def make_client_tls(ca_file: str) -> ssl.SSLContext | bool:
    """Return the ``ssl`` argument for aiohttp: a context, or True for its default.

    :param ca_file: PEM file with the trusted certificates; empty for those of the system.
    :raises SettingsError: if the file can't be read or holds no certificate.
    """
    if not ca_file:
        return True
    try:
        return ssl.create_default_context(cafile=ca_file)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(f"{ca_file}: {error.strerror or error}") from error
