"""Reading the limit that an upstream names in a response."""

import hypothesis
from hypothesis import strategies
import pytest

from poplarloft.platform import limits


class Response:
    """A response with any number of values of the limit."""

    def __init__(self, *values):
        self.values = list(values)
        self.headers = dict.fromkeys(["server-limit"] * bool(values))

    def header_values(self, name):
        return self.values if name == "server-limit" else []


@pytest.mark.parametrize(
    ("text", "rate_per_s"),
    [
        ("0", 0.0),
        ("0.05", 0.05),
        (" 1.6 ", 1.6),
        ("2.", 2.0),
        (".5", 0.5),
        ("1e9", limits.MAX_RATE_PER_S),
    ],
)
def test_decimal_numbers_are_limits(text, rate_per_s):
    named = limits.named_limit(Response(text))
    assert (named.rate_per_s, named.error) == (rate_per_s, "")


@pytest.mark.parametrize(
    "text",
    ["", "-1", "nan", "inf", "1e999", "text", "1 2", "0x1", "١", "1" * 40],
)
def test_other_values_are_errors_and_no_limit(text):
    named = limits.named_limit(Response(text))
    assert named.rate_per_s is None
    assert named.error


def test_two_values_are_an_error():
    named = limits.named_limit(Response("1", "2"))
    assert named.rate_per_s is None
    assert "2 values" in named.error


def test_no_value_is_no_limit():
    assert limits.named_limit(Response()) == limits.ABSENT


@hypothesis.given(strategies.text(max_size=50))
def test_any_text_gives_a_bounded_limit_or_an_error(text):
    named = limits.named_limit(Response(text))
    if named.error:
        assert named.rate_per_s is None
        assert len(named.error) < 300
    else:
        assert 0 <= named.rate_per_s <= limits.MAX_RATE_PER_S
