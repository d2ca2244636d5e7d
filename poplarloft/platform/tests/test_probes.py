"""Probes of an upstream's run, over idle and new connections."""

import pytest
from returns import result

from poplarloft.coordination import retries
from poplarloft.platform import samplers
from poplarloft import state
from poplarloft.transport import errors

UPSTREAM = state.Sampler("e", 1, "pool", state.Address("127.0.0.1", 1), "z", 4)
RESET = retries.FailureKind.RESET_AFTER_SEND
REFUSED = retries.FailureKind.CONNECT_REFUSED


class Client:
    """Fails each call; keeps whether it was to open a connection."""

    def __init__(self, *kinds):
        self.kinds = list(kinds)
        self.opened = []

    async def send(self, *call, new_connection, **options):
        self.opened.append(new_connection)
        return result.Failure(errors.TransportFailure(self.kinds.pop(0), ""))


@pytest.mark.parametrize(
    ("kind", "outcome"),
    [
        (REFUSED, state.ProbeOutcome.REFUSED),
        (RESET, state.ProbeOutcome.SILENT),
    ],
)
async def test_an_idle_connection_that_fails_says_nothing(kind, outcome):
    client = Client(RESET, kind)
    caller = samplers.SamplerClient(client, None)
    assert await caller.probe(UPSTREAM, new_connection=False) is outcome
    assert client.opened == [False, True]


async def test_a_probe_opens_a_connection_unless_told_otherwise():
    client = Client(REFUSED)
    caller = samplers.SamplerClient(client, None)
    assert await caller.probe(UPSTREAM) is state.ProbeOutcome.REFUSED
    assert client.opened == [True]
