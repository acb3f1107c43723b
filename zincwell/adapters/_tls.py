"""Which certificates a client of ours trusts."""

from __future__ import annotations

import ssl

from zincwell.exceptions import SettingsError


def make_client_tls(ca_file: str) -> ssl.SSLContext | bool:
    """Return what aiohttp takes as ``ssl``: a context that trusts a file, or the default.

    :param ca_file: certificates in PEM; empty for those of the operating system.
    :raises SettingsError: if the file can't be read or holds no certificate.
    """
    if not ca_file:
        return True
    try:
        return ssl.create_default_context(cafile=ca_file)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(f"{ca_file}: {error.strerror or error}") from error
