"""Stewards: admission, slow start, take-over and accounting."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from jayyoke.core.clock import ManualClock
from jayyoke.core.config import ServiceSpec
from jayyoke.core.member import Member, MemberChange, MemberState
from jayyoke.core.upstream import Upstream
from jayyoke.ops.account import MAX_RESERVATION_AGE_S, Account, Reservation
from jayyoke.ops.loads import Load, Loads
from jayyoke.ops.steward import DEAD_ENTRY_S, RESTART_EXPECTED_S, TAKE_OVER_GRACE_S, Steward
from jayyoke.wire.gen.ttypes import Holding, Holdings, Release, Reserve
from jayyoke.wire.local import LocalHub

SERVICE = ServiceSpec("pool", "engine", cold_work_tokens=1000, full_work_tokens=10_000)


class _Directory:
    def __init__(self, names):
        self.upstreams = {name: Upstream(name, "pool", "a", name) for name in names}

    def candidates(self, service):
        return tuple(self.upstreams.values())

    def find(self, name):
        return self.upstreams.get(name)

    def find_service(self, name):
        return SERVICE

    def avoid(self, name):
        pass


class _Case:
    def __init__(self, names=("e1",), out=frozenset()):
        self.clock = ManualClock(100.0)
        self.peers = LocalHub().join(Member("me", "a", 1, ""))
        self.loads = Loads(self.clock)
        self.out = out
        directory = _Directory(names)
        self.steward = Steward(self.clock, self.peers, self.loads, directory, lambda: self.out)

    def reserve(self, request_id, work=100, engine="e1", entry="x"):
        return self.steward.reserve(Reserve(request_id, engine, work, entry, 1e9, 1e9, False))

    def load(self, engine="e1"):
        return self.steward.list_loads()[engine].work_tokens


class TestAdmission:
    def test_repeated_reservation_counts_once(self):
        """Guards against double counting when an owner repeats a Reserve."""
        case = _Case()
        assert case.reserve("r").granted
        assert case.reserve("r").granted
        assert case.load() == 100

    def test_engine_over_the_bound_refuses(self):
        """Guards against overload by many owners that each see the engine as free (P1)."""
        case = _Case(("e1", "e2", "e3"))
        for name in ("e1", "e2", "e3"):
            case.steward.confirm(name, 1, warm=True)
        answers = []
        for number in range(10):
            message = Reserve(str(number), "e1", 10, f"entry-{number}", 0.0, 0.0, False)
            answers.append(case.steward.reserve(message).granted)
        assert sum(answers) == 1


class TestNotices:
    def test_notice_reports_that_a_full_engine_has_room_again(self):
        """Guards against owners that skip an idle engine until the next digest."""
        case = _Case(("e1", "e2", "e3"))
        for name in ("e1", "e2", "e3"):
            case.steward.confirm(name, 1, warm=True)
        loads = []
        case.steward.notices.subscribe(lambda engine: loads.append((engine, case.load(engine))))
        message = Reserve("r", "e1", 10, "x", 0.0, 0.0, False)
        assert case.steward.reserve(message).granted
        case.clock.advance(1.0)
        case.steward.release("x", Release("e1", ["r"], ""))
        assert loads == [("e1", 10), ("e1", 0)]


class TestSlowStart:
    def test_new_incarnation_restarts_the_ramp(self):
        """Guards against full load on an engine that restarted at the same address (P2)."""
        case = _Case()
        case.steward.confirm("e1", 1, warm=True)
        assert case.reserve("big", 9000).granted
        case.steward.release("x", Release("e1", ["big"], ""))
        assert case.steward.confirm("e1", 2)
        assert case.reserve("again", 9000).reason == "slow-start"
        case.clock.advance(SERVICE.warm_up_s)
        case.steward.confirm("e1", 2)
        assert case.reserve("again", 9000).granted

    def test_broken_connection_limits_to_cold_work_until_confirmed(self):
        """Guards against overload between a silent restart and the next probe (P2)."""
        case = _Case()
        case.steward.confirm("e1", 1, warm=True)
        case.steward.require_confirmation("e1")
        assert case.reserve("r", 2000).reason == "slow-start"
        case.steward.confirm("e1", 1)
        assert case.reserve("r", 2000).granted

    def test_engine_with_an_order_gets_cold_work_until_it_has_restarted(self):
        """Guards against a full load on an engine that became cold between two probes (P2)."""
        case = _Case()
        case.steward.confirm("e1", 1, warm=True)
        case.steward.expect_restart("e1")
        case.steward.confirm("e1", 1, warm=True)
        assert case.reserve("r1", SERVICE.cold_work_tokens).granted
        assert not case.reserve("r2", 1).granted
        case.clock.advance(RESTART_EXPECTED_S)
        case.steward.confirm("e1", 1, warm=True)
        assert case.reserve("r3", 1).granted

    def test_returning_domain_is_cold_and_a_domain_out_gets_nothing(self):
        """Guards against full load on the cold engines of a returning domain (P3)."""
        case = _Case(out=frozenset({"a"}))
        case.steward.confirm("e1", 1, warm=True)
        assert case.reserve("r", 10).reason == "domain-out"
        case.out = frozenset()
        assert case.reserve("r", 2000).reason == "slow-start"
        assert case.reserve("r", 500).granted

    def test_successor_grants_nothing_on_a_warming_engine_at_first(self):
        """Guards against two stewards during a view change that both fill a cold engine (P2)."""
        case = _Case()
        case.loads.put("e1", Load(1, 500, 3000, seen_s=100.0))
        assert case.reserve("r", 10).reason == "take-over"
        case.clock.advance(TAKE_OVER_GRACE_S)
        case.steward.confirm("e1", 0)
        assert case.reserve("r", 10).granted

    def test_engine_that_left_and_returned_is_cold(self):
        """Guards against an old digest that makes a returning engine look warm (P2)."""
        case = _Case()
        case.loads.put("e1", Load(0, 0, 10_000, seen_s=10.0))
        case.steward.confirm("e1", 5)
        assert case.reserve("r", 5000).reason == "slow-start"


class TestReservations:
    def test_dead_entry_loses_its_reservations(self):
        """Guards against reservations of a killed entry instance that never end."""
        case = _Case()
        case.reserve("r", entry="dead")
        member = Member("dead", "a", 1, "")
        case.peers.subject.on_next(MemberChange(member, MemberState.DEAD))
        case.clock.advance(DEAD_ENTRY_S)
        case.steward.sweep()
        assert case.load() == 0

    def test_reservation_with_lost_release_ends_by_holdings_or_age(self):
        """Guards against reservations that never end after a lost Release message."""
        case = _Case()
        case.reserve("lost", 100)
        case.reserve("kept", 200)
        case.clock.advance(10.0)
        case.steward.accept_holdings("x", Holdings("e1", [Holding("kept", 200)]))
        assert case.load() == 200
        case.clock.advance(MAX_RESERVATION_AGE_S)
        case.steward.sweep()
        assert case.load() == 0


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(("add", "remove", "drop", "replace")),
        st.sampled_from(("x", "y")),
        st.integers(0, 4),
        st.integers(0, 1000),
    ),
    max_size=40,
)


class TestAccounting:
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(_STEPS)
    def test_sums_equal_those_of_a_plain_mapping(self, steps):
        """Guards against running sums that differ from the sum over the reservations."""
        account = Account(0.0)
        oracle = {}
        for number, (action, entry, key, work) in enumerate(steps):
            request_id, now_s = str(key), number * 10.0
            if action == "add":
                account.add(entry, request_id, Reservation(work, now_s))
                oracle[entry, request_id] = work
            elif action == "remove":
                account.remove(entry, request_id)
                oracle.pop((entry, request_id), None)
            elif action == "drop":
                account.drop_entry(entry)
                oracle = {k: v for k, v in oracle.items() if k[0] != entry}
            else:
                account.replace(entry, {request_id: work}, now_s)
                oracle = {k: v for k, v in oracle.items() if k[0] != entry}
                oracle[entry, request_id] = work
            assert account.work_tokens == sum(oracle.values())
            assert account.requests == len(oracle)
