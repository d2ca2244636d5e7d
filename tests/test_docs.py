"""Check that examples, links and commands in the documentation work."""

import pathlib
import re
import textwrap

import pytest

from benchmarks import __main__ as benchmarks

ROOT = pathlib.Path(__file__).parent.parent
PAGES = sorted([ROOT / "README.md", *(ROOT / "docs").rglob("*.md")])
EXAMPLE_STARTS = ("from poplarloft", "import random")


def python_examples():
    """Return the indented code blocks that import the project."""
    examples = []
    for page in PAGES:
        for code in blocks_of(page.read_text()):
            if code.startswith(EXAMPLE_STARTS):
                examples.append(pytest.param(code, id=page.name))
    return examples


def blocks_of(text):
    """Return the indented blocks of a page, dedented."""
    blocks, lines = [], []
    for line in [*text.splitlines(), "end"]:
        if line.startswith("    ") or (lines and not line.strip()):
            lines.append(line)
        elif lines:
            blocks.append(textwrap.dedent("\n".join(lines)))
            lines = []
    return blocks


def test_pages_hold_examples():
    assert len(python_examples()) >= 8


@pytest.mark.parametrize("code", python_examples())
def test_example_runs(code):
    exec(compile(code, "example", "exec"), {})


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_to_files(page):
    for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
        assert (page.parent / target).exists(), target


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_experiments_that_are_named_exist(page):
    text = page.read_text()
    for name in re.findall(r"python -m benchmarks ([a-z]+)", text):
        assert name in benchmarks.EXPERIMENTS
