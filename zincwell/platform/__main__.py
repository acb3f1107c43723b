"""Run one entry on the platform: ``python -m zincwell.platform``."""

from __future__ import annotations

import signal
import sys


def run() -> int:
    """Run until SIGTERM; return the exit status."""
    # SIGHUP says that the settings have changed, and may come at any time. Until the event loop
    # takes it, it would end the process, which shows as an entry that is gone a moment after its
    # start without a line. The settings are read after this, so nothing is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from zincwell.platform._process import main  # After the signal: this takes 0.2 s.

    return main()


if __name__ == "__main__":
    sys.exit(run())
