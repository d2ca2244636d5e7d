"""Checks on the repository itself."""

import pathlib

from poplarloft.protocol import settings

ROOT = pathlib.Path(__file__).parent.parent


def test_settings_page_is_current():
    page = (ROOT / "docs/operators/settings.md").read_text()
    assert page.strip() == settings.settings_reference().strip()


def test_known_red_cases_have_an_issue_page():
    for line in (ROOT / "KNOWN-RED.txt").read_text().splitlines():
        if line and not line.startswith("#"):
            page = ROOT / line.rpartition("|")[2].strip()
            assert page.is_file(), line
