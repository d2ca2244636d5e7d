"""Counting of log events and rate limit of their lines."""

import json
import os

from poplarloft.coordination import clients
from poplarloft.daemon.serving import telemetry
from poplarloft import state
from poplarloft.transport import log_output
from poplarloft.transport import metrics_page


def make_recorder():
    reader, writer = os.pipe()
    recorder = telemetry.Telemetry(
        state.ManualClock(), "a", log_output.LogOutput(writer)
    )
    return recorder, reader


def test_events_are_counted_even_if_their_lines_are_omitted():
    recorder, reader = make_recorder()
    for _ in range(500):
        recorder.on_event(
            {
                "message_type": "request-answered",
                "route": "r",
                "duration_ms": 7,
            }
        )
    page = recorder.page.render().decode()
    assert 'kind="request-answered",outcome=""} 500.0' in page
    assert 'poplarloft_duration_ms_count{kind="request-answered"' in page
    rows = os.read(reader, 1_000_000).splitlines()
    assert len(rows) == 200
    assert json.loads(rows[0])["route"] == "r"


def test_failure_outcomes_share_one_label():
    recorder, _ = make_recorder()
    for number in range(50):
        recorder.on_event(
            {"message_type": "item-run", "outcome": f"cut: {number}"}
        )
    page = recorder.page.render().decode()
    assert 'kind="item-run",outcome="other"} 50.0' in page


async def test_page_says_what_clients_take_and_why_they_were_closed():
    recorder, _ = make_recorder()
    recorder.uses = lambda: [clients.ResourceUse("channels", 3, 12)]
    recorder.on_event({"message_type": "client-closed", "reason": "r"})
    response = await recorder._answer(None)
    page = response.body.decode()
    assert 'client_use{resource="channels"} 3.0' in page
    assert 'client_bound{resource="channels"} 12.0' in page
    assert 'clients_closed_total{reason="r"} 1.0' in page


def test_every_metric_is_on_the_page_under_its_listed_name():
    recorder, _ = make_recorder()
    recorder.on_event({"message_type": "x", "duration_ms": 1})
    recorder.page.omitted.labels("x").inc()
    page = recorder.page.render().decode()
    for name in metrics_page.METRIC_NAMES:
        assert name in page
