"""Updates read from other daemons: never older, never with a gap."""

from hypothesis import given
from hypothesis import strategies as st

from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import feed_link
from poplarloft.daemon.serving.fleet import peer_link
from poplarloft import state

BOUND_MS = 2_000
KEYS = ("p/a", "p/b", "p/c")


class StoreModel:
    """A store with three keys, where each revision is one change."""

    def __init__(self):
        self.changes = []

    def change(self, key, is_removed):
        revision = len(self.changes) + 1
        entry = None
        if not is_removed:
            entry = state.Entry(key, b"%d" % revision, revision)
        self.changes.append(state.Change(key, revision, entry))

    def entries_at(self, revision):
        found = {}
        for change in self.changes[:revision]:
            if change.entry is None:
                found.pop(change.key, None)
            else:
                found[change.key] = change.entry
        return found

    def list_into(self, history):
        revision = len(self.changes)
        history.on_listing(self.entries_at(revision).values(), revision, 0)

    def watch_into(self, history):
        later = self.changes[history.revision :]
        if later:
            history.apply_changes(later, later[-1].revision)


def apply_part(history, part):
    """Apply a part as `PrefixWatcher` does."""
    if not part.is_whole:
        history.apply_changes(part.changes, part.revision)
    elif part.revision > history.revision:
        entries = [change.entry for change in part.changes]
        history.on_listing(entries, part.revision, 0)


EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("change"), st.sampled_from(KEYS), st.booleans()),
        st.tuples(st.sampled_from(["list", "watch"]), st.integers(0, 2)),
        st.tuples(st.just("ask"), st.integers(0, 1)),
        st.tuples(st.just("deliver"), st.integers(0, 9)),
    ),
    max_size=60,
)


@given(EVENTS)
def test_reader_has_the_entries_of_the_store_at_its_revision(events):
    store, clock = StoreModel(), state.ManualClock()
    sources = [serving.PrefixHistory(clock, "p/") for _ in range(2)]
    reader = serving.PrefixHistory(clock, "p/")
    store.change("p/a", False)
    for history in (*sources, reader):
        store.list_into(history)
    in_flight = []
    for event in events:
        before = reader.revision
        match event:
            case ("change", key, is_removed):
                store.change(key, is_removed)
            case ("list", 2):
                store.list_into(reader)
            case ("list", number):
                store.list_into(sources[number])
            case ("watch", number):
                store.watch_into((*sources, reader)[number])
            case ("ask", number):
                in_flight.append(sources[number].part_after(reader.revision))
            case ("deliver", number) if in_flight:
                # Parts may arrive in any order and more than once.
                apply_part(reader, in_flight[number % len(in_flight)])
        assert reader.revision >= before
        assert reader.entries == store.entries_at(reader.revision)


def test_late_answer_restores_nothing_older():
    store, clock = StoreModel(), state.ManualClock()
    source, reader = (serving.PrefixHistory(clock, "p/") for _ in range(2))
    store.change("p/a", False)
    for history in (source, reader):
        store.list_into(history)
    store.change("p/a", False)
    store.watch_into(source)
    late_part = source.part_after(reader.revision)
    store.change("p/a", True)
    store.list_into(reader)
    apply_part(reader, late_part)
    assert reader.entries == {}
    assert reader.apply_changes(late_part.changes, late_part.revision) == []


def test_more_changes_than_are_kept_are_sent_as_snapshot():
    store, clock = StoreModel(), state.ManualClock()
    source, reader = (serving.PrefixHistory(clock, "p/") for _ in range(2))
    store.list_into(source)
    for number in range(700):
        store.change(KEYS[number % 3], False)
        store.watch_into(source)
    part = source.part_after(reader.revision)
    assert part.is_whole
    apply_part(reader, part)
    assert reader.entries == store.entries_at(700)
    assert not source.part_after(650).is_whole


def members(count):
    return {
        f"d{n}": state.PeerRecord(
            state.Address("127.0.0.1", n + 1),
            state.Address("127.0.0.1", n + 1_001),
        )
        for n in range(count)
    }


def readers(count):
    clock = state.ManualClock()
    by_name = {}
    for name, member in members(count).items():
        reader = serving.FeedReader(clock, name, BOUND_MS)
        reader.address = member.feed
        reader.update_members(members(count))
        by_name[name] = reader
    return clock, by_name


def sources_of(reader):
    found = set()
    for _ in range(4):
        requested = reader.next_request({"p/": 1})
        if requested is not None:
            found.add(requested[0])
    return found


def test_all_daemons_of_a_group_use_the_same_two_sources():
    _, by_name = readers(9)
    requested = [sources_of(reader) for reader in by_name.values()]
    sources = {address for found in requested for address in found}
    assert len(sources) == 2
    assert sum(1 for found in requested if not found) == 2


def test_number_of_sources_grows_slower_than_the_fleet():
    _, by_name = readers(120)
    sources = {a for reader in by_name.values() for a in sources_of(reader)}
    assert len(sources) <= 6


def test_source_that_does_not_answer_is_replaced():
    clock, by_name = readers(5)
    reader = next(r for r in by_name.values() if sources_of(r))
    first = sources_of(reader)
    clock.advance(1_600)
    second = sources_of(reader)
    assert second and not first & second


def test_age_of_updates_counts_from_the_request():
    clock, by_name = readers(5)
    reader = next(r for r in by_name.values() if sources_of(r))
    address, request = reader.next_request({"p/": 1})
    name = next(n for n, h in reader.sources.items() if h.address == address)
    clock.advance(900)
    part = state.FeedPart("p/", 5, 300)
    answer = state.FeedAnswer(name, request.sent_at_ms, (part,))
    (aged,) = reader.on_answer(answer)
    assert aged.age_ms == 1_200
    assert reader.is_fresh("p/")
    clock.advance(801)
    assert not reader.is_fresh("p/")


def test_daemon_that_is_a_source_watches_the_store_itself():
    clock, by_name = readers(5)
    reader = next(r for r in by_name.values() if sources_of(r))
    clock.advance(10)
    assert reader.remaining_freshness_ms(clock.now_ms()) > 0
    reader.on_request()
    assert reader.remaining_freshness_ms(clock.now_ms()) == 0


def test_single_daemon_has_no_source():
    _, by_name = readers(1)
    assert sources_of(by_name["d0"]) == set()


def test_sum_of_all_delays_is_within_the_bound():
    """A change takes effect in time even if both sources lose the store."""
    listing_ms = 300
    for change_bound_ms in (1_000, 3_000, 4_000):
        peers = peer_link.PeerLink()
        link = feed_link.FeedLink(
            state.ManualClock(), "d", change_bound_ms, peers
        )
        peers.close()
        assert link.reader.max_age_ms + listing_ms <= change_bound_ms
