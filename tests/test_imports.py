"""What the import of an entry's program brings in."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Raises

import zincwell


def test_an_entry_does_without_the_client_and_authorities():
    # Symptom: after a restart of all VMs nothing is served for 0.4 s longer than the VMs are down.
    # Sequence: each entry imports the package. Cause: the package imports its client for callers,
    # and the HTTP library reads all certificate authorities, neither of which an entry uses.
    program = (
        "import sys\n"
        "import zincwell.platform.__main__ as entry\n"
        "import zincwell.platform._process as process\n"
        "process.main = lambda: 0\n"
        "entry.run()\n"
        "import os\n"
        "print('zincwell.client' in sys.modules, os.environ['SSL_CERT_FILE'] == os.devnull)\n"
    )
    env = {name: value for name, value in os.environ.items() if not name.startswith("SSL_CERT")}
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, env=env)
    assert_that((done.stdout, done.stderr), Equals(("False True\n", "")))


@pytest.mark.parametrize("name", zincwell.__all__)
def test_public_names_are_there(name: str):
    assert_that(getattr(zincwell, name).__module__.split(".")[0], Equals("zincwell"))


def test_other_names_are_not():
    assert_that(lambda: zincwell.no_such_name, Raises())
