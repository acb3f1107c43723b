"""Modules that the package imports, and its public names."""

from __future__ import annotations

import subprocess
import sys

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Raises

import zincwell


def test_an_entry_imports_no_general_purpose_http_libraries():
    # The client for callers needs general-purpose HTTP libraries. If the package imported it, each
    # entry would use 14 MB more, and a restart of all VMs would interrupt service for 0.4 s longer.
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
def test_public_names_are_importable(name: str):
    assert_that(getattr(zincwell, name).__module__.split(".")[0], Equals("zincwell"))


def test_an_unknown_name_raises():
    assert_that(lambda: zincwell.no_such_name, Raises())
