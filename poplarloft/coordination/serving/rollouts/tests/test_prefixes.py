"""What is saved by held prefixes, weighed against the wait."""

import pytest

from poplarloft.coordination.serving.rollouts import engine_cost
from poplarloft.coordination.serving.rollouts import engine_view
from poplarloft.coordination.serving.rollouts import outputs
from poplarloft.coordination.serving.rollouts import prefixes
from poplarloft import state

ADDRESS = state.Address("127.0.0.1", 1)
MEMORY_TOKENS = 10_000
LONG_PROMPT = 6_000
SLOTS = 6


def sampler(name, data_centre="z"):
    return state.Sampler(name, 1, "pool", ADDRESS, data_centre, SLOTS)


def item(*parts, number=0):
    shared = tuple(state.PromptPart(name, size) for name, size in parts)
    return state.LotItem(
        f"i{number}", "/g", (), b"", 500, "g", shared_parts=shared
    )


@pytest.fixture
def clock():
    return state.ManualClock(100_000)


@pytest.fixture
def costs(clock):
    made = engine_cost.EngineCost(clock, lambda place: place != "far")
    service = state.ServiceInfo("pool", 9, SLOTS, memory_tokens=MEMORY_TOKENS)
    made.prefixes.on_services(
        state.ServingConfiguration(
            1, (), {"pool": service}, state.ServingLimits()
        )
    )
    return made


PROMPT = item(("a", LONG_PROMPT))
FULL_MS = LONG_PROMPT / prefixes.READ_TOKENS_PER_MS


def test_prompt_that_was_just_read_is_not_read_again(costs):
    memory = costs.prefixes
    assert memory.reading_ms(sampler("e"), "m", PROMPT) == FULL_MS
    memory.on_read(sampler("e"), "m", PROMPT)
    assert memory.reading_ms(sampler("e"), "m", PROMPT) == 0
    assert memory.reading_ms(sampler("e"), "n", PROMPT) > 0
    assert memory.reading_ms(sampler("f"), "m", PROMPT) == FULL_MS


def test_what_is_known_counts_for_less_as_it_ages(costs, clock):
    memory = costs.prefixes
    memory.on_read(sampler("e"), "m", PROMPT)
    clock.advance(prefixes.HALF_LIFE_MS)
    assert memory.reading_ms(sampler("e"), "m", PROMPT) == FULL_MS / 2
    clock.advance(prefixes.MAX_AGE_MS)
    assert memory.reading_ms(sampler("e"), "m", PROMPT) == FULL_MS


def test_new_weights_end_what_was_held(costs):
    memory = costs.prefixes
    memory.on_read(sampler("e"), "m", PROMPT)
    memory.on_weights(("e", 1), "m")
    assert memory.reading_ms(sampler("e"), "m", PROMPT) == FULL_MS


def test_restarted_engine_holds_nothing(costs):
    memory = costs.prefixes
    memory.on_read(sampler("e"), "m", PROMPT)
    memory.keep_only({("e", 2)})
    assert not memory.held


def test_part_is_of_use_only_behind_the_parts_before_it(costs):
    memory = costs.prefixes
    memory.on_read(sampler("e"), "m", item(("b", 3_000)))
    both = item(("a", 3_000), ("b", 3_000))
    assert memory.reading_ms(sampler("e"), "m", both) == FULL_MS


def test_least_recently_read_parts_are_evicted(costs):
    memory = costs.prefixes
    memory.on_read(sampler("e"), "m", PROMPT)
    memory.on_read(sampler("e"), "m", item(("b", 5_000)))
    assert memory.reading_ms(sampler("e"), "m", PROMPT) > FULL_MS
    held = memory.reading_ms(sampler("e"), "m", item(("b", 5_000)))
    assert held == 0


def test_eviction_costs_what_others_read_again(costs):
    memory = costs.prefixes
    memory.on_read(sampler("e"), "m", item(("b", 8_000)))
    room = MEMORY_TOKENS - 8_000
    evicted = prefixes.EVICTION_SHARE * (LONG_PROMPT - room)
    expected = FULL_MS + evicted / prefixes.READ_TOKENS_PER_MS
    assert memory.reading_ms(sampler("e"), "m", PROMPT) == expected


def view(name, running=0, interval_ms=50.0, data_centre="z"):
    made = engine_view.EngineView(sampler(name, data_centre), {})
    made.event_interval_ms = interval_ms
    made.running = set(range(running))
    return made


def choice(costs, views, prompt=PROMPT, events=2.0):
    output = outputs.ItemOutput(prompt, events)
    return min(views, key=lambda v: costs.cost_ms(v, output, "m"))


def test_engine_that_holds_the_prompt_is_chosen_among_equals(costs):
    views = [view("e"), view("f"), view("h")]
    costs.prefixes.on_read(views[1].sampler, "m", PROMPT)
    assert choice(costs, views).sampler.name == "f"


def test_short_output_goes_to_the_prompt_and_a_long_one_to_free_slots(costs):
    busy, free = view("e", running=5), view("f")
    costs.prefixes.on_read(busy.sampler, "m", PROMPT)
    assert choice(costs, [busy, free], events=2).sampler.name == "e"
    assert choice(costs, [busy, free], events=100).sampler.name == "f"


def test_slow_or_distant_engine_is_not_worth_a_short_prompt(costs):
    short = item(("a", 260))
    near = view("f")
    for other in (view("e", interval_ms=70), view("e", data_centre="far")):
        costs.prefixes.on_read(other.sampler, "m", short)
        assert choice(costs, [other, near], short, 10).sampler.name == "f"


def test_prompts_that_come_again_are_read_less_than_by_plain_choice(costs):
    """Eight groups of short outputs on eight engines, again and again."""
    read = {"weighed": 0.0, "plain": 0.0}
    for policy in read:
        costs.prefixes.held.clear()
        views = [view(f"e{n}") for n in range(8)]
        for number in range(400):
            name = f"p{(number * 5 + number // 8) % 8}"
            prompt = item((name, LONG_PROMPT))
            chosen = views[number % 8]
            if policy == "weighed":
                chosen = choice(costs, views, prompt)
            read[policy] += costs.prefixes.reading_ms(
                chosen.sampler, "m", prompt
            )
            costs.prefixes.on_read(chosen.sampler, "m", prompt)
            costs.clock.advance(20)
    assert read["weighed"] <= 0.5 * read["plain"]
