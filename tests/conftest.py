"""Fixtures of the process-level tests."""

import pytest
import pytest_asyncio

from poplarloft.transport import http_client
from tests import processes


@pytest.fixture
def cluster():
    """Processes that end with the test."""
    started = processes.Cluster()
    yield started
    started.close()


@pytest_asyncio.fixture
async def client():
    """An HTTP client."""
    opened = http_client.HttpClient()
    yield opened
    opened.close()
