"""What follows a listing whose pages are no snapshot."""

from hypothesis import given
from hypothesis import strategies as st

from poplarloft.coordination import serving
from poplarloft import state

KEYS = ["p/a", "p/b", "p/c"]
WRITES = st.lists(st.tuples(st.sampled_from(KEYS), st.booleans()), max_size=12)


def entries_at(changes, revision):
    """Return the store's entries as of a revision."""
    found = {}
    for change in changes:
        if change.revision <= revision:
            found[change.key] = change.entry
    return {key: entry for key, entry in found.items() if entry is not None}


@given(WRITES, st.lists(st.integers(0, 12), min_size=3, max_size=3))
def test_no_key_goes_back_to_an_older_state(writes, page_revisions):
    """Guards against changes between two pages that undo newer ones."""
    changes = [
        state.Change(
            key, n, None if is_removal else state.Entry(key, b"%d" % n, n)
        )
        for n, (key, is_removal) in enumerate(writes, 1)
    ]
    pages = sorted(min(n, len(changes)) for n in page_revisions)
    listed = [
        entry
        for key, revision in zip(KEYS, pages, strict=True)
        if (entry := entries_at(changes, revision).get(key)) is not None
    ]
    history = serving.PrefixHistory(state.ManualClock(), "p/")
    history.on_listing(listed, pages[0], 0)
    shown = {entry.key: entry.revision for entry in listed}
    for change in history.apply_changes(changes, len(changes)):
        assert change.revision > shown.get(change.key, 0)
        shown[change.key] = change.revision
    assert history.entries == entries_at(changes, len(changes))
