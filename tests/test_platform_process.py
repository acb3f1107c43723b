"""The process of an entry on the platform, as it starts."""

from __future__ import annotations

import subprocess
import sys

from testtools.assertions import assert_that
from testtools.matchers import Equals

# Stands in for the rest of the process: it gets SIGHUP before the event loop could take it.
EARLY_HANGUP = """
import os, runpy, signal, sys, types
process = types.ModuleType("zincwell.platform._process")
process.main = lambda: os.kill(os.getpid(), signal.SIGHUP) or 0
sys.modules[process.__name__] = process
runpy.run_module("zincwell.platform", run_name="__main__")
"""


def run_python(code: str) -> subprocess.CompletedProcess:
    """Run code in a process of its own."""
    return subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)


def test_a_hangup_before_the_loop_runs_does_not_end_the_process():
    # Symptom: an entry is gone a moment after its start, without a line. Sequence: the platform
    # changes the settings and sends SIGHUP to a process that still loads its modules.
    # Cause: without a handler SIGHUP ends a process.
    assert_that(run_python(EARLY_HANGUP).returncode, Equals(0))
