"""Start-up of the process of an entry."""

from __future__ import annotations

import subprocess
import sys

from testtools.assertions import assert_that
from testtools.matchers import Equals

# Replaces the main function by one that gets SIGHUP before an event loop handles the signal.
EARLY_SIGHUP = """
import os, runpy, signal, sys, types
process = types.ModuleType("zincwell.platform._process")
process.main = lambda: os.kill(os.getpid(), signal.SIGHUP) or 0
sys.modules[process.__name__] = process
runpy.run_module("zincwell.platform", run_name="__main__")
"""


def run_python(code: str) -> subprocess.CompletedProcess:
    """Run code in a child process."""
    return subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)


def test_sighup_before_the_event_loop_does_not_end_the_process():
    # The platform may change the settings and send SIGHUP while the process still imports modules.
    # Without a handler the signal would end it without a log line.
    assert_that(run_python(EARLY_SIGHUP).returncode, Equals(0))
