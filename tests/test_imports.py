"""What the import of an entry's program brings in."""

from __future__ import annotations

import subprocess
import sys

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Raises

import zincwell


def test_an_entry_does_without_general_http_libraries():
    # Symptom: after a restart of all VMs nothing is served for 0.4 s longer than the VMs are down,
    # and each entry holds 14 MB more. Sequence: each entry imports the package. Cause: the package
    # imports its client for callers, and with it general libraries for HTTP.
    program = (
        "import sys\n"
        "import zincwell.platform.__main__\n"
        "import zincwell.platform._process\n"
        "unwanted = {'zincwell.client', 'aiohttp', 'sanic', 'pydantic', 'opentelemetry'}\n"
        "print(sorted(unwanted & set(sys.modules)))\n"
    )
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True)
    assert_that((done.stdout, done.stderr), Equals(("[]\n", "")))


@pytest.mark.parametrize("name", zincwell.__all__)
def test_public_names_are_there(name: str):
    assert_that(getattr(zincwell, name).__module__.split(".")[0], Equals("zincwell"))


def test_other_names_are_not():
    assert_that(lambda: zincwell.no_such_name, Raises())
