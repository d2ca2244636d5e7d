"""Check pages, KNOWN-RED.txt and the platform layer of the repository."""

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


WIRE_WORDS = (
    "kv-txn",
    "kv-range",
    "kv-watch",
    "kv-key",
    "kv-lease",
    "X-Not-Run",
    "X-Server-Stamp",
    "X-Expect-Instance",
    "X-Weight-Versions",
    "X-Deadline-Ms",
    "X-Wait-Ms",
    "X-Token-Counts",
    "POPLARLOFT_NODE_FILE",
    "/poplarloft/",
    'min_version"',
    "group_count",
    "create_rev",
    "current_rev",
)


def test_words_of_the_platform_stay_in_its_adapter():
    root = pathlib.Path(__file__).parent.parent / "poplarloft"
    found = [
        f"{path.relative_to(root)}: {word}"
        for path in root.rglob("*.py")
        if "platform" not in path.relative_to(root).parts
        and "tests" not in path.relative_to(root).parts
        for word in WIRE_WORDS
        if word.lower() in path.read_text().lower()
    ]
    assert found == []


def test_adapter_stays_under_a_tenth_of_the_product():
    root = pathlib.Path(__file__).parent.parent / "poplarloft"
    lines = {True: 0, False: 0}
    for path in root.rglob("*.py"):
        parts = path.relative_to(root).parts
        if "tests" not in parts:
            count = len(path.read_text().splitlines())
            lines["platform" in parts] += count
    assert lines[True] < (lines[True] + lines[False]) / 10
