"""Test set-up for the whole tree: known faults, derandomized hypothesis."""

import pathlib

import hypothesis
import pytest

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, print_blob=False
)
hypothesis.settings.load_profile("ci")

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def known_red():
    """Return the listed test ids with the pages of their issues."""
    rows = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line and not line.startswith("#"):
            fields = [field.strip() for field in line.split("|")]
            rows[fields[0]] = fields[-1]
    return rows


def pytest_collection_modifyitems(items):
    """Mark exactly the listed tests as expected to fail."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid]))
