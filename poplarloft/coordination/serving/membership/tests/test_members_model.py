"""Members, issuers of permits and askers, through all that befalls them.

Guards against members that are gone and stay on the list, so that whoever
is chosen among them is never reached; against living ones that are dropped;
and against several issuers that take themselves for the first one.
"""

import dataclasses
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from poplarloft.coordination import serving
from poplarloft.coordination.serving.membership import roster
from poplarloft.coordination.serving.membership import tenure
from poplarloft import state

ENGINE = ("s", 1)
ADDRESS = state.Address("127.0.0.1", 1)
TICK_MS = 250
FIRST_LIST_DELAY_MS = 3_000
MAX_STALE_MS = 2_000
# A lease that is renewed in time outlasts this.
MAX_FREEZE_MS = 8_000
HEALED_MS = 60_000  # the lease, two listings, and the time to settle
WINDOW_MS = 4_000
TOLERANCE = 1.5
BURST = 5
MAX_SKEW_MS = 200
MAX_LATENESS_MS = 500
ASKERS = 6
RATES = st.sampled_from([0.3, 1.0, 5.0, 40.0])


class Store:
    """Entries under leases, which end or pause while it is down."""

    def __init__(self, clock):
        self.clock = clock
        self.entries = {}
        self.expires_at_ms = {}
        self.is_down = False
        self.pauses = False
        self.snapshots = []

    def tick(self):
        for name, at_ms in list(self.expires_at_ms.items()):
            if self.is_down and self.pauses:
                self.expires_at_ms[name] = at_ms + TICK_MS
            elif at_ms <= self.clock.now_ms():
                self.remove(name)
        self.snapshots.append(dict(self.entries))

    def renew(self, name):
        if name not in self.entries:
            return False
        self.put(name, self.entries[name])
        return True

    def put(self, name, record):
        self.entries[name] = record
        now_ms = self.clock.now_ms()
        self.expires_at_ms[name] = now_ms + serving.MEMBER_LEASE_MS

    def remove(self, name):
        self.entries.pop(name, None)
        self.expires_at_ms.pop(name, None)

    def listed(self, is_current, rng):
        if is_current:
            return dict(self.entries)
        return rng.choice(self.snapshots[-MAX_STALE_MS // TICK_MS :])


class Instance:
    """One instance: its place among the members, and its permits."""

    def __init__(self, model, name, issues):
        self.model = model
        self.name = name
        self.clock = model.clock
        self.began_ms = self.clock.now_ms()
        self.skew_ms = model.rng.randint(-MAX_SKEW_MS, MAX_SKEW_MS)
        self.tenure = serving.Tenure(self.clock)
        self.roster = serving.Roster(self.clock)
        self.issuer = serving.PermitIssuer(self.clock)
        self.ranks = serving.IssuerRanks()
        self.turns = serving.OwnTurns(self, name)
        self.record = state.PeerRecord(ADDRESS, None, ADDRESS, issues)
        self.frozen_until_ms = 0
        self.is_cut = False  # from the store and all others
        self.disturbed_at_ms = self.began_ms

    def now_ms(self):
        return self.clock.now_ms() + self.skew_ms

    @property
    def is_frozen(self):
        return self.clock.now_ms() < self.frozen_until_ms

    @property
    def reaches_others(self):
        return not self.is_frozen and not self.is_cut

    def tick(self):
        if not self.reaches_others:
            self.disturbed_at_ms = self.clock.now_ms()
        if self.is_frozen:
            return
        store = self.model.store
        can_call = self.reaches_others and not store.is_down
        if not self.tenure.next_attempt_in_ms():
            self._keep_listed(store if can_call else None)
        now_ms = self.clock.now_ms()
        if now_ms - self.began_ms < FIRST_LIST_DELAY_MS:
            return
        if not self.roster.next_listing_in_ms():
            self._list(store if can_call else None)

    def _keep_listed(self, store):
        self.tenure.on_attempt()
        if store is None:
            self.tenure.on_failed()
        elif self.tenure.is_listed:
            if store.renew(self.name):
                self.tenure.on_done()
            else:
                self.tenure.on_lapsed()
        else:
            known = store.entries.get(self.name)
            settles_at_ms = serving.settling_time_ms(self.now_ms())
            if known is not None:
                settles_at_ms = known.settles_at_ms
            self.record = dataclasses.replace(
                self.record, settles_at_ms=settles_at_ms
            )
            store.put(self.name, self.record)
            self.roster.on_registered(self.name, self.record)
            self.tenure.on_done()

    def _list(self, store):
        if store is None:
            self.roster.on_unreadable()
            return
        is_current = self.roster.needs_current_listing
        listed = store.listed(is_current, self.model.rng)
        for name in self.roster.on_listing(listed):
            self.model.on_dropped(name)
            if name == self.name and self.tenure.is_listed:
                self.tenure.on_lapsed()

    @property
    def may_issue(self):
        return self.tenure.is_current and self.roster.has_all_of_start

    def place(self):
        if not self.may_issue:
            return None
        return self.ranks.place_of(
            self.name, ENGINE, self.roster.members, self.now_ms()
        )

    def ranked(self):
        return self.ranks.rank(ENGINE, self.roster.members, self.now_ms())

    def ask(self, rate_per_s):
        """Return the permit that this instance gets for a request."""
        need = serving.PermitNeed("r", 0, 10_000)
        report = state.LimitReport(*ENGINE, rate_per_s, 0, "a")
        request = state.PermitRequest(1, ADDRESS, report, False, 0, 10_000)
        for name in self.ranked():
            issuer = self.model.instances.get(name)
            if issuer is None or not issuer.reaches_others:
                continue
            place = issuer.place()
            if place is not None:
                return issuer.issuer.decide(request, rate_per_s, place)
        if not self.may_issue:
            return serving.Permit(False, 0)
        members = self.roster.members
        return self.turns.decide(ENGINE, need, rate_per_s, members)


class Members(stateful.RuleBasedStateMachine):
    """Instances come, leave, die, freeze and are cut off; the store too."""

    @stateful.initialize(rate_per_s=RATES, seed=st.integers(0, 1_000))
    def start(self, rate_per_s, seed):
        self.rng = random.Random(seed)
        self.clock = state.ManualClock(1_000_000)
        self.store = Store(self.clock)
        self.rate_per_s = rate_per_s
        self.instances = {}
        self.sent_at_ms = []
        self.dropped = []
        self.born = 0
        for _ in range(3):
            self._add(True)
        for _ in range(ASKERS):
            self._add(False)
        self._run(40_000)

    def _add(self, issues, name=None):
        self.born += 1
        name = name or f"{'bulk' if issues else 'entry'}-{self.born}"
        self.instances[name] = Instance(self, name, issues)

    def _pick(self, number, issues):
        names = [
            name
            for name, found in self.instances.items()
            if found.record.issues_permits == issues
        ]
        return self.instances[names[number % len(names)]]

    def on_dropped(self, name):
        """Check that whoever was dropped is gone or could not be told."""
        found = self.instances.get(name)
        if found is not None:
            calm_ms = self.clock.now_ms() - found.disturbed_at_ms
            assert calm_ms < serving.MEMBER_LEASE_MS, name

    def _run(self, duration_ms, asks=0):
        for _ in range(duration_ms // TICK_MS):
            self.clock.advance(TICK_MS)
            self.store.tick()
            for instance in list(self.instances.values()):
                instance.tick()
            for _ in range(asks):
                self._ask()

    def _ask(self):
        askers = [i for i in self.instances.values() if i.reaches_others]
        if not askers:
            return
        permit = self.rng.choice(askers).ask(self.rate_per_s)
        if permit.is_granted:
            lateness_ms = self.rng.randint(0, MAX_LATENESS_MS)
            sent_at_ms = self.clock.now_ms() + permit.wait_ms + lateness_ms
            self.sent_at_ms.append(sent_at_ms)

    @stateful.rule(ticks=st.integers(1, 30), asks=st.sampled_from([2, 20]))
    def go_on(self, ticks, asks):
        self._run(ticks * TICK_MS, asks)

    @stateful.rule(number=st.integers(0, 9))
    def replace_by_plan(self, number):
        old = self._pick(number, True)
        self._add(True)
        old.tenure.leave()
        if old.reaches_others and not self.store.is_down:
            self.store.remove(old.name)
        del self.instances[old.name]
        self._run(1_000, 20)

    @stateful.rule(number=st.integers(0, 9))
    def replace_after_a_death(self, number):
        del self.instances[self._pick(number, True).name]
        self._add(True)
        self._run(1_000, 20)

    @stateful.rule(number=st.integers(0, 9), issues=st.booleans())
    def restart(self, number, issues):
        found = self._pick(number, issues)
        del self.instances[found.name]
        self._run(2_000, 20)
        self._add(issues, found.name)

    @stateful.rule()
    def join(self):
        if len(self.instances) < 15:
            self._add(True)

    @stateful.rule(
        number=st.integers(0, 9),
        issues=st.booleans(),
        freeze_ms=st.sampled_from([2_000, MAX_FREEZE_MS, 40_000]),
    )
    def freeze(self, number, issues, freeze_ms):
        found = self._pick(number, issues)
        found.frozen_until_ms = self.clock.now_ms() + freeze_ms

    @stateful.rule(number=st.integers(0, 9), issues=st.booleans())
    def cut_or_heal(self, number, issues):
        found = self._pick(number, issues)
        found.is_cut = not found.is_cut

    @stateful.rule(pauses=st.booleans(), down_ms=st.integers(1, 40))
    def store_fails(self, pauses, down_ms):
        self.store.is_down = True
        self.store.pauses = pauses
        self._run(down_ms * 1_000, 20)
        self.store.is_down = False

    def teardown(self):
        if not hasattr(self, "instances"):
            return
        self.check_limit()
        for found in self.instances.values():
            found.is_cut = False
            found.frozen_until_ms = 0
        self._run(HEALED_MS, 20)
        self.check_limit()
        for found in self.instances.values():
            assert set(found.roster.members) == set(self.instances)
        for found in self.instances.values():
            before = len(self.sent_at_ms)
            for _ in range(12):
                if found.ask(self.rate_per_s).is_granted:
                    break
                self._run(1_000)
            else:
                raise AssertionError(f"{found.name} starves")
            del self.sent_at_ms[before:]

    def check_limit(self):
        """No window has more than the upstream tolerates."""
        allowed = TOLERANCE * self.rate_per_s * WINDOW_MS / 1_000 + BURST
        sent = sorted(self.sent_at_ms)
        first = 0
        for last, at_ms in enumerate(sent):
            while sent[first] <= at_ms - WINDOW_MS:
                first += 1
            assert last - first + 1 <= allowed


TestMembers = Members.TestCase
TestMembers.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=15,
    deadline=None,
    # Plays are long, so that smaller ones are not looked for.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)


def test_the_times_fit_together():
    """A member is listed by all before it settles, or dropped if dead."""
    listed_ms = roster.LIST_INTERVAL_MS + MAX_STALE_MS
    assert listed_ms < tenure.SETTLING_MS
    assert 3 * tenure.RENEW_INTERVAL_MS < serving.MEMBER_LEASE_MS
    assert 2 * tenure.RETRY_MS < roster.CONFIRM_DELAY_MS
