"""Events as metrics and lines."""

import json
import os

from poplarloft.daemon.serving import telemetry
from poplarloft import state
from poplarloft.transport import log_output
from poplarloft.transport import metrics_page


def made():
    reader, writer = os.pipe()
    observed = telemetry.Telemetry(
        state.ManualClock(), "a", log_output.LogOutput(writer)
    )
    return observed, reader


def test_each_event_is_counted_also_when_its_line_is_left_out():
    observed, reader = made()
    for _ in range(500):
        observed.take(
            {
                "message_type": "request-answered",
                "route": "r",
                "duration_ms": 7,
            }
        )
    page = observed.page.text().decode()
    assert 'kind="request-answered",outcome=""} 500.0' in page
    assert 'poplarloft_duration_ms_count{kind="request-answered"' in page
    rows = os.read(reader, 1_000_000).splitlines()
    assert len(rows) == 200
    assert json.loads(rows[0])["route"] == "r"


def test_outcomes_of_failures_share_a_label():
    observed, _ = made()
    for number in range(50):
        observed.take(
            {"message_type": "item-run", "outcome": f"cut: {number}"}
        )
    page = observed.page.text().decode()
    assert 'kind="item-run",outcome="other"} 50.0' in page


def test_every_metric_is_on_the_page_under_its_listed_name():
    observed, _ = made()
    observed.take({"message_type": "x", "duration_ms": 1})
    observed.page.omitted.labels("x").inc()
    page = observed.page.text().decode()
    for name in metrics_page.METRIC_NAMES:
        assert name in page
