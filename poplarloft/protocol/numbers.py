"""Whole numbers in headers and queries."""

import re

__all__ = ["parse_count"]

COUNT = re.compile(r"[0-9]{1,18}")


def parse_count(text: str) -> int | None:
    """Return a number of at most 18 decimal digits, None for other text."""
    return int(text) if COUNT.fullmatch(text) else None
