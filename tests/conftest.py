"""Fixtures shared by the tests that start processes."""

import pytest
import pytest_asyncio

from poplarloft.transport import http_client
from tests import processes


@pytest.fixture
def cluster():
    """Return a cluster whose processes are killed after the test."""
    started = processes.Cluster()
    yield started
    started.close()


@pytest_asyncio.fixture
async def client():
    """Return an HTTP client that is closed after the test."""
    opened = http_client.HttpClient()
    yield opened
    opened.close()
