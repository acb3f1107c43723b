"""The deploy file and its requirements match the project."""

from __future__ import annotations

import tomllib
from pathlib import Path

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from zincwell.platform._callers import METRICS_PATH
from zincwell.platform._process import METRICS_PORT

ROOT = Path(__file__).parents[1]


def read_pins(path: Path) -> dict[str, str]:
    lines = path.read_text().splitlines()
    return dict(line.lower().split("==") for line in lines if "==" in line)


def test_deployed_packages_have_the_tested_versions():
    pins = read_pins(ROOT / "constraints.txt")
    for name, version in read_pins(ROOT / "deploy" / "requirements.txt").items():
        assert_that((name, pins.get(name)), Equals((name, version)))


def test_deploy_file_starts_the_platform_role():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    role = deploy["roles"]["entry"]
    assert_that(role["run"], Equals("python3 -m zincwell.platform"))
    assert_that(role["metrics"], Equals(f"{METRICS_PORT}{METRICS_PATH}"))
    assert_that(deploy["build"], Contains("deploy/requirements.txt"))
