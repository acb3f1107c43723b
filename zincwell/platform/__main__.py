"""Run one entry on the platform: ``python -m zincwell.platform``."""

from __future__ import annotations

import os
import signal
import sys


def run() -> int:
    """Run until SIGTERM; return the exit status."""
    # SIGHUP says that the settings have changed, and may come at any time. Until the event loop
    # takes it, it would end the process, which shows as an entry that is gone a moment after its
    # start without a line. The settings are read after this, so nothing is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # The HTTP client reads all of the VM's certificate authorities when it is imported: 0.1 s of
    # 0.4 s until this entry serves. Nothing here speaks TLS.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    os.environ.setdefault("SSL_CERT_DIR", os.devnull)
    from zincwell.platform._process import main  # After the signal: this takes 0.3 s.

    return main()


if __name__ == "__main__":
    sys.exit(run())
