"""A model of daemons that lead in turn, under faults.

The model has one store, engines that record the orders that arrive, and
daemons with clocks of their own. Calls to the store are lost before or
after they are applied, or applied late; daemons are cut off, frozen and
restarted.
"""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st

from poplarloft.coordination.serving.leadership import order_lock
from poplarloft import state

NAMES = ("a", "b", "c")
TURN_MS = 3_000
LEASE_MS = 2_500
FENCE = 5
STEP_MS = 50
RENEW_MS = 400
MAX_FLIGHT_MS = 1_000
Status = state.WriteStatus
FAULTS = st.sampled_from(
    ["none", "lost before", "answer lost", "applied late"]
)


class Store:
    """A linearizable store with leases and the two keys."""

    def __init__(self):
        self.now_ms = 0
        self.revision = 1
        self.lease_ends_ms = {}
        self.leader = None
        self.holder, self.holder_revision = None, state.ABSENT
        self.late_writes = []

    def grant(self):
        lease = len(self.lease_ends_ms) + 1
        self.lease_ends_ms[lease] = self.now_ms + LEASE_MS
        return lease

    def renew(self, lease):
        if self.lease_ends_ms[lease] <= self.now_ms:
            return False
        self.lease_ends_ms[lease] = self.now_ms + LEASE_MS
        return True

    def revoke(self, lease):
        if lease in self.lease_ends_ms:
            self.lease_ends_ms[lease] = self.now_ms

    def write_holder(self, holder, revision):
        if revision != self.holder_revision:
            return Status.CONFLICT
        self.revision += 1
        self.holder, self.holder_revision = holder, self.revision
        return Status.APPLIED

    def apply_late(self):
        due = [row for row in self.late_writes if row[0] <= self.now_ms]
        for row in due:
            self.late_writes.remove(row)
            self.write_holder(row[1], row[2])


@dataclasses.dataclass
class Order:
    arrives_ms: int
    name: str
    fence: int


class Daemon:
    """A daemon that leads, renews its lease and sends orders."""

    def __init__(self, name, store, rules, lock_type):
        self.lock_type = lock_type
        self.name = name
        self.store = store
        self.rules = rules
        self.restart()

    def restart(self):
        self.clock = state.ManualClock(self.store.now_ms)
        self.lock = self.lock_type(self.clock, self.name, self.rules)
        self.fence = 0
        self.lease = 0
        self.frozen_until_ms = 0
        self.is_cut = False

    @property
    def runs(self):
        return self.store.now_ms >= self.frozen_until_ms

    def take_leadership(self):
        """Replace the leader, whether it knows or not."""
        if self.is_cut:
            return
        requested_at_ms = self.clock.now_ms()
        self.lease = self.store.grant()
        self.store.revision += 1
        self.fence = self.store.revision
        self.store.leader = self
        self.lock.begin(self.lease, requested_at_ms, self.fence)

    def renew(self, answer_is_lost, sent_ms_ago):
        if self.is_cut or not self.fence:
            return
        if self.store.renew(self.lease):
            if not answer_is_lost:
                self.lock.on_renewed(self.clock.now_ms() - sent_ms_ago)
        elif not answer_is_lost:
            self.lock.end()

    def act(self, fault, late_ms):
        """Carry out the lock's next action, perhaps with a fault."""
        action = self.lock.next_action()
        if action is None:
            return
        if self.is_cut or fault == "lost before":
            self._fail(action)
            return
        match action:
            case order_lock.ReadHolder():
                self.lock.on_read(
                    self.store.holder, self.store.holder_revision
                )
            case order_lock.RevokeLease(lease):
                self.store.revoke(lease)
                if fault == "none":
                    self.lock.on_revoked()
                else:
                    self.lock.on_failed()
            case order_lock.WriteHolder(holder, revision):
                if fault == "applied late":
                    self.store.late_writes.append(
                        (self.store.now_ms + late_ms, holder, revision)
                    )
                    self.lock.on_written(Status.UNKNOWN, state.ABSENT)
                    return
                status = self.store.write_holder(holder, revision)
                if fault == "answer lost":
                    status = Status.UNKNOWN
                self.lock.on_written(status, self.store.holder_revision)

    def _fail(self, action):
        if isinstance(action, order_lock.WriteHolder):
            self.lock.on_written(Status.NOT_DONE, state.ABSENT)
        else:
            self.lock.on_failed()

    def release(self):
        released = self.lock.release()
        if released is not None and not self.is_cut:
            self.store.write_holder(released.holder, released.revision)
        self.fence = 0


class OrdersModel(stateful.RuleBasedStateMachine):
    order_rules = order_lock.OrderRules(False, TURN_MS)
    lock_type = order_lock.OrderLock

    def __init__(self):
        super().__init__()
        self.store = Store()
        self.daemons = [
            Daemon(name, self.store, self.order_rules, self.lock_type)
            for name in NAMES
        ]
        self.orders = []

    def advance(self, duration_ms):
        self.store.now_ms += duration_ms
        for daemon in self.daemons:
            daemon.clock.advance(duration_ms)
        self.store.apply_late()

    @stateful.rule(
        duration_ms=st.sampled_from([50, 400, 1_000, 6_000]),
        faults=st.tuples(*[FAULTS] * len(NAMES)),
        late_ms=st.integers(50, 3_000),
    )
    def pass_time(self, duration_ms, faults, late_ms):
        """Daemons renew their leases, and order as often as they may."""
        for step in range(duration_ms // STEP_MS):
            self.advance(STEP_MS)
            for index, daemon in enumerate(self.daemons):
                if not daemon.runs:
                    continue
                if self.store.now_ms % RENEW_MS == 0:
                    daemon.renew(False, 0)
                daemon.act("none" if step else faults[index], late_ms)
                self.order(daemon)

    @stateful.rule(
        index=st.integers(0, 2),
        previous=st.sampled_from(["cut off", "frozen", "unaware"]),
        frozen_ms=st.integers(50, 6_000),
    )
    def fail_over(self, index, previous, frozen_ms):
        """A daemon takes leadership from one that may not know of it."""
        daemon, leader = self.daemons[index], self.store.leader
        if not daemon.runs or daemon is leader:
            return
        if leader is not None and previous == "cut off":
            leader.is_cut = True
        if leader is not None and previous == "frozen":
            leader.frozen_until_ms = self.store.now_ms + frozen_ms
        daemon.take_leadership()

    @stateful.rule(
        index=st.integers(0, 2),
        answer_is_lost=st.booleans(),
        sent_ms_ago=st.integers(0, 700),
    )
    def renew(self, index, answer_is_lost, sent_ms_ago):
        if self.daemons[index].runs:
            self.daemons[index].renew(answer_is_lost, sent_ms_ago)

    @stateful.rule(index=st.integers(0, 2), is_cut=st.booleans())
    def cut_or_heal(self, index, is_cut):
        self.daemons[index].is_cut = is_cut

    @stateful.rule(index=st.integers(0, 2), duration_ms=st.integers(50, 6_000))
    def freeze(self, index, duration_ms):
        daemon = self.daemons[index]
        daemon.frozen_until_ms = self.store.now_ms + duration_ms

    @stateful.rule(index=st.integers(0, 2))
    def restart(self, index):
        self.abort_orders(self.daemons[index])
        self.daemons[index].restart()

    @stateful.rule(index=st.integers(0, 2))
    def release(self, index):
        if self.daemons[index].runs:
            self.abort_orders(self.daemons[index])
            self.daemons[index].release()

    def abort_orders(self, daemon):
        """Drop orders on their way, as closing their connections does."""
        self.orders = [
            order
            for order in self.orders
            if order.name != daemon.name
            or order.arrives_ms <= self.store.now_ms
        ]

    def order(self, daemon):
        """Send two orders: one arrives at once, one as late as possible."""
        remaining_ms = daemon.lock.remaining_ms()
        if remaining_ms:
            for flight_ms in (0, min(MAX_FLIGHT_MS, remaining_ms)):
                arrives_ms = self.store.now_ms + flight_ms
                self.orders.append(
                    Order(arrives_ms, daemon.name, daemon.fence)
                )

    @stateful.invariant()
    def no_two_holders_in_turn(self):
        """Check the orders at one engine that checks no fencing tokens."""
        arrived = sorted(self.orders, key=lambda order: order.arrives_ms)
        for first, second in zip(arrived, arrived[1:], strict=False):
            if first.name == second.name:
                continue
            assert first.fence < second.fence, (first, second)


class TurnsModel(OrdersModel):
    """Also checks how soon a daemon orders again after another one."""

    @stateful.invariant()
    def nobody_orders_again_within_a_turn(self):
        arrived = sorted(self.orders, key=lambda order: order.arrives_ms)
        last = {}
        others_since = {name: False for name in NAMES}
        for order in arrived:
            if others_since[order.name]:
                gap_ms = order.arrives_ms - last[order.name].arrives_ms
                assert gap_ms >= TURN_MS, (last[order.name], order)
            last[order.name] = order
            for name in last:
                others_since[name] = others_since[name] or name != order.name
            others_since[order.name] = False


class ImpatientLock(order_lock.OrderLock):
    """A lock that takes no account of this daemon's own last order."""

    def _own_turn_ms(self):
        return 0


class ImpatientModel(TurnsModel):
    lock_type = ImpatientLock


class UnguardedModel(OrdersModel):
    """Engines that check no tokens, taken for ones that do."""

    order_rules = order_lock.OrderRules(True, TURN_MS)
