"""The chain shows every alteration; merging books nothing twice."""

import dataclasses
import itertools

import hypothesis
from hypothesis import strategies

from poplarloft import coordination
from poplarloft.protocol import usage
from poplarloft import state


def ledger(count):
    segment = state.UsageSegment()
    for number in range(count):
        previous = segment.entries[-1].digest if segment.entries else ""
        total = state.UsageTotal("a#1", "o", "engine", "answered", number)
        entry = state.UsageEntry(number, number, "a#1", previous, (total,))
        segment = usage.append_entry(segment, entry)
    return list(segment.entries)


def test_an_untouched_ledger_is_whole_and_comes_back_from_storage():
    entries = ledger(5)
    assert usage.find_integrity_error(entries) is None
    segment = state.UsageSegment(tuple(entries))
    assert usage.decode_segment(usage.encode_segment(segment)) == segment


def test_every_removal_and_reordering_is_found():
    entries = ledger(4)
    for removed in range(3):
        kept = entries[:removed] + entries[removed + 1 :]
        assert usage.find_integrity_error(kept) is not None
    for order in itertools.permutations(range(4)):
        moved = [entries[n] for n in order]
        assert (usage.find_integrity_error(moved) is None) == (
            order == (0, 1, 2, 3)
        )


@hypothesis.given(
    position=strategies.integers(0, 3),
    field=strategies.sampled_from(["at_ms", "writer", "previous", "totals"]),
)
def test_every_alteration_is_found(position, field):
    entries = ledger(4)
    altered = {
        "at_ms": 99,
        "writer": "b#1",
        "previous": "0" * 64,
        "totals": (),
    }
    entries[position] = dataclasses.replace(
        entries[position], **{field: altered[field]}
    )
    assert usage.find_integrity_error(entries) is not None


@hypothesis.given(
    order=strategies.permutations(range(6)),
    repeats=strategies.lists(strategies.integers(0, 5), max_size=6),
)
def test_rumours_merge_to_the_newest_in_any_order(order, repeats):
    meter = coordination.UsageMeter(state.Incarnation("a", 1))
    rumours = []
    for number in range(6):
        meter.add("o", "engine", "answered", number + 1)
        rumours.append(meter.next_update())
    book = coordination.UsageTotals()
    for number in [*order, *repeats]:
        book.on_update(rumours[number])
    assert sum(book.totals.values()) == 21


def test_two_writers_of_the_same_totals_book_them_once():
    total = state.UsageTotal("a#1", "o", "engine", "answered", 70)
    first = state.UsageEntry(0, 1, "a#1", "", (total,))
    second = state.UsageEntry(1, 2, "b#1", "", (total,))
    totals = coordination.ledger_totals([first, second])
    assert coordination.owner_shares(totals)[0].busy_ms == 70
