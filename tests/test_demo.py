"""The demo: a training job with a crashing engine, in one process."""

import asyncio

import pytest

from standins import demo

pytestmark = pytest.mark.alone


def test_demo_meets_every_guarantee():
    report = asyncio.run(demo.run_demo(1, lambda line: None))
    assert report.samples_delivered == report.samples_requested == 128
    assert report.samples_duplicate == 0
    assert report.samples_mislabelled == 0
    assert report.samples_stale == 0
    assert report.answers_cut == 0
    assert report.answers_wrong == 0
    assert report.nonrepeatable_run_twice == 0
    assert report.refused_but_ran == 0
    assert report.engine_crashes == 1
