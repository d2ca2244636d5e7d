"""The result log under any interleaving of leaders and write outcomes."""

from hypothesis import given
from hypothesis import strategies as st

from poplarloft.coordination import serving
from poplarloft.coordination.serving.rollouts import result_log
from poplarloft import state


class StoreModel:
    """A store whose keys can be created once; writes may be applied late."""

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

    def recorded(self):
        return [
            row.item_id
            for number in sorted(self.batches)
            for row in self.batches[number]
        ]


def step(log, store, outcome):
    """Perform one action of a leader with a drawn outcome."""
    action = log.next_action()
    match action:
        case serving.WriteBatch(number, results):
            if outcome == "not-done":
                log.on_write(state.WriteStatus.NOT_DONE)
            elif outcome == "lost":
                store.create(number, results)
                log.on_write(state.WriteStatus.UNKNOWN)
            elif outcome == "late":
                store.late.append((number, results))
                log.on_write(state.WriteStatus.UNKNOWN)
            else:
                log.on_write(store.create(number, results))
        case serving.ReadBatch(number):
            if number in store.batches:
                log.apply_batch(number, store.batches[number])
            else:
                log.on_absent()


OUTCOMES = st.sampled_from(["done", "done", "lost", "late", "not-done"])
STEPS = st.lists(
    st.tuples(st.integers(0, 1), st.booleans(), OUTCOMES), max_size=60
)


def result_of(item, leader):
    return state.LotResult(
        item, state.ItemState.COMPLETED, f"text of {leader}"
    )


@given(STEPS, st.integers(1, 8))
def test_two_leaders_record_each_item_once_at_one_position(steps, total):
    store = StoreModel()
    logs = [serving.ResultLog(total), serving.ResultLog(total)]
    finished = [0, 0]
    before = []
    for leader, finishes, outcome in steps:
        if finishes and finished[leader] < total:
            item = f"i{finished[leader]}"
            logs[leader].add(result_of(item, leader))
            finished[leader] += 1
        step(logs[leader], store, outcome)
        if outcome == "done":
            store.do_late()
        recorded = store.recorded()
        assert recorded[: len(before)] == before
        assert len(set(recorded)) == len(recorded)
        before = recorded
    for leader, log in enumerate(logs):
        for number in range(finished[leader], total):
            log.add(result_of(f"i{number}", leader))
        for _ in range(4 * total + 4):
            step(log, store, "done")
        assert log.is_complete
    assert sorted(store.recorded()) == sorted(f"i{n}" for n in range(total))


def test_result_is_recorded_only_when_acknowledged():
    log = serving.ResultLog(1)
    log.add(result_of("i0", 0))
    log.next_action()
    log.on_write(state.WriteStatus.UNKNOWN)
    assert log.recorded == {}
    assert log.next_action() == serving.ReadBatch(0)


@given(st.lists(st.integers(0, 1_000_000), min_size=1, max_size=40))
def test_batches_stay_below_what_a_value_may_have(sizes):
    log = serving.ResultLog(len(sizes))
    for number, size in enumerate(sizes):
        log.add(
            state.LotResult(
                f"i{number}", state.ItemState.COMPLETED, "a" * size
            )
        )
    while (action := log.next_action()) is not None:
        assert action.results
        texts = [len(result.text) for result in action.results]
        assert len(texts) == 1 or sum(texts) <= result_log.MAX_BATCH_BYTES
        log.on_write(state.WriteStatus.APPLIED)
    assert log.is_complete
    assert list(log.recorded) == [f"i{n}" for n in range(len(sizes))]
