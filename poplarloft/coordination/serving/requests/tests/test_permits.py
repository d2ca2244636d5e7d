"""Permits for requests to limited upstreams, and the bound that they keep."""

import collections
import functools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from poplarloft.coordination import serving
from poplarloft import state

SERVER = ("s", 1)
ADDRESS = state.Address("127.0.0.1", 1)
WINDOW_MS = 4_000
# What an upstream tolerates beyond its limit.
TOLERANCE = 1.5
BURST = 5
RATES = strategies.sampled_from([0.0, 0.3, 1.0, 1.6, 7.0, 40.0])
FIRST = serving.FIRST_PLACE
PLACES = (0, 1, 2)
MAX_LATENESS_MS = 900  # lateness of a permit, and the time to connect


def need(rate_per_s, priority=0, max_wait_ms=10_000):
    report = state.LimitReport(*SERVER, rate_per_s, 0, "a")
    return state.PermitRequest(
        1, ADDRESS, report, False, priority, max_wait_ms
    )


@pytest.fixture
def clock():
    return state.ManualClock(10_000)


@pytest.fixture
def issuer(clock):
    return serving.PermitIssuer(clock)


def test_a_new_issuer_waits_for_what_an_earlier_one_may_have_sent(issuer):
    permit = issuer.decide(need(1.0, max_wait_ms=0), 1.0, FIRST)
    assert not permit.is_granted
    assert 1_000 < permit.wait_ms < 1_200


def test_requests_are_spaced_by_the_limit(issuer):
    waits = [issuer.decide(need(10.0), 10.0, FIRST).wait_ms for _ in range(4)]
    gaps = [b - a for a, b in zip(waits, waits[1:], strict=False)]
    assert all(100 < gap < 120 for gap in gaps)


def test_less_urgent_requests_give_way_first(issuer, clock):
    clock.advance(100_000)
    granted = collections.Counter()
    for _ in range(60):
        for priority in (0, 9):
            request = need(10.0, priority=priority)
            if issuer.decide(request, 10.0, FIRST).is_granted:
                granted[priority] += 1
    assert granted[0] > 5 * granted[9]


def test_a_request_that_would_be_late_is_denied_at_once(issuer):
    assert issuer.decide(need(1.0), 1.0, FIRST).is_granted
    permit = issuer.decide(need(1.0, max_wait_ms=500), 1.0, FIRST)
    assert not permit.is_granted
    assert permit.wait_ms > 2_000


@pytest.mark.parametrize("rate_per_s", [0.0, 0.05, 1e6])
def test_extreme_limits_are_scheduled(issuer, clock, rate_per_s):
    issuer.decide(need(rate_per_s), rate_per_s, FIRST)
    clock.advance(60_000)
    assert issuer.decide(need(rate_per_s), rate_per_s, FIRST).is_granted


def test_a_higher_limit_does_not_wait_for_the_interval_of_the_lower(
    issuer, clock
):
    issuer.decide(need(0.05), 0.05, FIRST)
    clock.advance(2_000)
    permit = issuer.decide(need(10.0), 10.0, FIRST)
    assert permit.is_granted
    assert permit.wait_ms <= 2_000


def record(issues_permits, settles_at_ms=0):
    return state.PeerRecord(
        ADDRESS, ADDRESS, ADDRESS, issues_permits, settles_at_ms
    )


def test_all_members_agree_on_issuers_that_offer_it():
    members = {f"m{n}": record(n < 4) for n in range(8)}
    ranked = serving.rank_issuers(SERVER, members, 0)
    assert len(ranked) == 3
    assert set(ranked) <= {"m0", "m1", "m2", "m3"}
    backwards = dict(reversed(members.items()))
    assert serving.rank_issuers(SERVER, backwards, 0) == ranked


def test_an_issuer_takes_its_place_once_it_has_settled():
    members = {f"m{n}": record(True) for n in range(8)}
    (first, *others) = serving.rank_issuers(SERVER, members, 0)
    members[first] = record(True, settles_at_ms=10_000)
    assert serving.rank_issuers(SERVER, members, 9_999)[:2] == others
    assert serving.rank_issuers(SERVER, members, 10_000)[0] == first
    new = {f"m{n}": record(True, 10_000) for n in range(8)}
    assert serving.rank_issuers(SERVER, new, 0)[0] == first


def test_a_new_first_issuer_waits_for_what_is_scheduled(issuer):
    """Guards against two issuers at the full rate, one after the other."""
    members = {f"m{n}": record(True) for n in range(8)}
    (first, second, _) = serving.rank_issuers(SERVER, members, 0)
    members[first] = record(True, settles_at_ms=50_000)
    place = functools.partial(serving.place_of, engine_id=SERVER)
    assert place(first, members=members, now_ms=49_999) is None
    assert place(second, members=members, now_ms=49_999) == FIRST
    assert place(first, members=members, now_ms=50_500).pause_ms == 1_500
    permit = issuer.decide(need(100.0), 100.0, serving.Place(0, 1_500))
    assert permit.wait_ms == 1_500
    assert place(first, members=members, now_ms=52_000) == FIRST
    assert place(second, members=members, now_ms=52_000).number == 1


def test_where_nobody_offers_permits_all_do_after_a_while():
    """Guards against issuers by a list that is whole only a moment later."""
    members = {f"m{n}": record(False) for n in range(4)}
    ranks = serving.IssuerRanks()
    assert ranks.rank(SERVER, members, 1_000) == []
    assert ranks.place_of("m1", SERVER, members, 30_999) is None
    assert len(ranks.rank(SERVER, members, 31_000)) == 3
    some = {**members, "m9": record(True)}
    assert ranks.rank(SERVER, some, 32_000) == ["m9"]


def test_issuers_are_spread_over_upstreams():
    members = {f"m{n}": record(True) for n in range(8)}
    first = collections.Counter(
        serving.rank_issuers((f"s{n}", 1), members, 0)[0] for n in range(800)
    )
    assert len(first) == 8
    assert max(first.values()) < 200


@hypothesis.given(
    rate_per_s=RATES, names=strategies.integers(1, 30), data=strategies.data()
)
def test_own_turns_are_taken_by_one_at_a_time(rate_per_s, names, data):
    """Guards against many that take the same moment for their own."""
    clock = state.ManualClock(1_000_000)
    members = [f"m{n}" for n in range(names)]
    turns = {name: serving.OwnTurns(clock, name) for name in members}
    wish = serving.PermitNeed("r", 0, 10_000)
    sent_at_ms = []
    for _ in range(60):
        name = data.draw(strategies.sampled_from(members))
        permit = turns[name].decide(SERVER, wish, rate_per_s, members)
        if permit.is_granted:
            sent_at_ms.append(clock.now_ms() + permit.wait_ms)
        clock.advance(data.draw(strategies.integers(0, 2_000)))
    window_ms = WINDOW_MS + MAX_LATENESS_MS
    for at_ms in sent_at_ms:
        later = [t for t in sent_at_ms if at_ms <= t < at_ms + window_ms]
        assert len(later) <= 3


def test_an_own_turn_comes_for_each_in_time():
    clock = state.ManualClock(1_000_000)
    members = [f"m{n}" for n in range(10)]
    turns = serving.OwnTurns(clock, "m3")
    wish = serving.PermitNeed("r", 0, 10_000)
    granted = 0
    for _ in range(1_000 * 25):
        granted += turns.decide(SERVER, wish, 5.0, members).is_granted
        clock.advance(100)
    assert 60 <= granted <= 140  # a tenth of 1,000 turns


class Fleet(stateful.RuleBasedStateMachine):
    """Any number of instances ask the issuers, each one that it reaches.

    Which one an instance reaches changes at random, as do freezes and
    restarts of the issuers. Permits are used up to `MAX_LATENESS_MS` late.
    """

    shares_permits = True

    @stateful.initialize(
        rate_per_s=RATES,
        instances=strategies.integers(1, 40),
    )
    def start(self, rate_per_s, instances):
        self.clock = state.ManualClock()
        self.rate_per_s = rate_per_s
        self.instances = instances
        self.issuers = {
            place: serving.PermitIssuer(self.clock) for place in PLACES
        }
        # without sharing, each instance schedules for itself
        self.own = [serving.PermitIssuer(self.clock) for _ in range(instances)]
        self.reaches = [0] * instances
        self.frozen_until_ms = dict.fromkeys(PLACES, 0)
        self.sent_at_ms = []

    @stateful.rule(
        which=strategies.integers(0, 39), place=strategies.sampled_from(PLACES)
    )
    def reach_another_issuer(self, which, place):
        self.reaches[which % self.instances] = place

    @stateful.rule(place=strategies.sampled_from(PLACES))
    def restart_issuer(self, place):
        self.issuers[place] = serving.PermitIssuer(self.clock)

    @stateful.rule(
        place=strategies.sampled_from(PLACES),
        freeze_ms=strategies.integers(1, 3000),
    )
    def freeze_issuer(self, place, freeze_ms):
        self.frozen_until_ms[place] = self.clock.now_ms() + freeze_ms

    @stateful.rule(
        step_ms=strategies.integers(1, 400),
        requests=strategies.integers(1, 20),
        lateness_ms=strategies.integers(0, MAX_LATENESS_MS),
        priority=strategies.integers(0, 9),
        steps=strategies.integers(1, 30),
    )
    def send(self, step_ms, requests, lateness_ms, priority, steps):
        for _ in range(steps):
            for number in range(requests):
                self._send_one(number % self.instances, priority, lateness_ms)
            self.clock.advance(step_ms)

    def _send_one(self, index, priority, lateness_ms):
        now_ms = self.clock.now_ms()
        place = self.reaches[index]
        if now_ms < self.frozen_until_ms[place]:
            return
        issuer = self.issuers[place]
        if not self.shares_permits:
            issuer, place = self.own[index], 0
        permit = issuer.decide(
            need(self.rate_per_s, priority),
            self.rate_per_s,
            serving.Place(place),
        )
        if permit.is_granted:
            self.sent_at_ms.append(now_ms + permit.wait_ms + lateness_ms)

    @stateful.rule(rate_per_s=RATES)
    def name_another_limit(self, rate_per_s):
        """Senders drop what is scheduled under a higher limit."""
        self.check()
        self.rate_per_s = rate_per_s
        self.sent_at_ms.clear()

    def teardown(self):
        if hasattr(self, "sent_at_ms"):
            self.check()

    def check(self):
        """No window has more than the upstream tolerates."""
        allowed = TOLERANCE * self.rate_per_s * WINDOW_MS / 1_000 + BURST
        window = collections.deque()
        for at_ms in sorted(self.sent_at_ms):
            window.append(at_ms)
            while window[0] <= at_ms - WINDOW_MS:
                window.popleft()
            assert len(window) <= allowed


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=50, stateful_step_count=20
)


@pytest.mark.parametrize("shares_permits", [True, False])
def test_the_bound_needs_permits_that_are_shared(shares_permits):
    fleet = Fleet()
    fleet.start(1.0, 30)
    fleet.shares_permits = shares_permits
    fleet.send(100, 30, 0, 0, 100)
    if shares_permits:
        fleet.check()
    else:
        with pytest.raises(AssertionError):
            fleet.check()
