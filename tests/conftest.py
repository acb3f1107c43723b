"""Fixtures shared by the tests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from tests.cluster import Cluster


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    """A cluster with nothing started yet; all of it is ended after the test."""
    async with aiohttp.ClientSession() as session:
        cluster = Cluster(folder=tmp_path, session=session)
        try:
            yield cluster
        finally:
            await cluster.close()
