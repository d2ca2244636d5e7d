"""The list of results under any interleaving of runners and outcomes."""

from hypothesis import given
from hypothesis import strategies as st

from poplarloft.coordination import serving
from poplarloft import state


class StoreModel:
    """Keys that can be created once; writes may be done late."""

    def __init__(self):
        self.batches = {}
        self.late = []

    def create(self, number, results):
        if number in self.batches:
            return state.WriteStatus.CONFLICT
        self.batches[number] = results
        return state.WriteStatus.APPLIED

    def do_late(self):
        for number, results in self.late:
            self.create(number, results)
        self.late.clear()

    def listed(self):
        return [
            row.item_id
            for number in sorted(self.batches)
            for row in self.batches[number]
        ]


def step(book, store, outcome):
    """Carry out one action of a runner with a drawn outcome."""
    action = book.next_action()
    match action:
        case serving.WriteBatch(number, results):
            if outcome == "not-done":
                book.on_write(state.WriteStatus.NOT_DONE)
            elif outcome == "lost":
                store.create(number, results)
                book.on_write(state.WriteStatus.UNKNOWN)
            elif outcome == "late":
                store.late.append((number, results))
                book.on_write(state.WriteStatus.UNKNOWN)
            else:
                book.on_write(store.create(number, results))
        case serving.ReadBatch(number):
            if number in store.batches:
                book.apply_batch(store.batches[number])
            else:
                book.on_absent()


OUTCOMES = st.sampled_from(["done", "done", "lost", "late", "not-done"])
STEPS = st.lists(
    st.tuples(st.integers(0, 1), st.booleans(), OUTCOMES), max_size=60
)


def result_of(item, runner):
    return state.LotResult(
        item, state.ItemState.COMPLETED, f"text of {runner}"
    )


@given(STEPS, st.integers(1, 8))
def test_two_runners_list_each_item_once_at_one_position(steps, total):
    store = StoreModel()
    books = [serving.ResultLog(total), serving.ResultLog(total)]
    finished = [0, 0]
    before = []
    for runner, finishes, outcome in steps:
        if finishes and finished[runner] < total:
            item = f"i{finished[runner]}"
            books[runner].add(result_of(item, runner))
            finished[runner] += 1
        step(books[runner], store, outcome)
        if outcome == "done":
            store.do_late()
        listed = store.listed()
        assert listed[: len(before)] == before
        assert len(set(listed)) == len(listed)
        before = listed
    for runner, book in enumerate(books):
        for number in range(finished[runner], total):
            book.add(result_of(f"i{number}", runner))
        for _ in range(4 * total + 4):
            step(book, store, "done")
        assert book.is_complete
    assert sorted(store.listed()) == sorted(f"i{n}" for n in range(total))


def test_result_is_listed_only_when_acknowledged():
    book = serving.ResultLog(1)
    book.add(result_of("i0", 0))
    book.next_action()
    book.on_write(state.WriteStatus.UNKNOWN)
    assert book.listed == {}
    assert book.next_action() == serving.ReadBatch(0)
