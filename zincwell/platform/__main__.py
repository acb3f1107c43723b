"""Run one entry on the platform: ``python -m zincwell.platform``."""

from __future__ import annotations

import signal
import sys


def run() -> int:
    """Run until SIGTERM; return the exit status."""
    # The platform sends SIGHUP at any time to announce changed settings. Without a handler the
    # signal would end a starting process without a log line. The settings are read after this, so
    # no change is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from zincwell.platform._process import main  # Takes 0.2 s, so SIGHUP is ignored first.

    return main()


if __name__ == "__main__":
    sys.exit(run())
