"""Fair queueing: shares, limits, memory and shedding."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jayyoke.core.clock import ManualClock
from jayyoke.core.error import Refusal, RunState
from jayyoke.ops.fairness import FairQueue, Ticket
from jayyoke.wire.gen.ttypes import TeamLoad


def build(capacity: float, max_waiting: int = 64) -> tuple[FairQueue, ManualClock]:
    clock = ManualClock()
    return FairQueue(lambda: capacity, clock.now_s, max_waiting), clock


def enter(queue: FairQueue, team: str, cost: float = 1.0, latest_s: float = 1e9) -> Ticket:
    ticket = Ticket(team, cost, latest_s)
    ticket.admit = lambda refusal: None
    queue.enter(ticket)
    return ticket


class TestShares:
    def test_light_team_does_not_wait_for_the_backlog_of_a_heavy_one(self):
        """Guards against first-in-first-out order between teams."""
        queue, _ = build(1)
        heavy = [enter(queue, "heavy") for _ in range(20)]
        light = enter(queue, "light")
        queue.leave(heavy[0])
        queue.leave(heavy[1])
        assert light.state == "running"

    def test_team_that_sends_through_many_instances_gets_one_share(self):
        """Guards against one share per instance for a team that is spread over all of them."""
        queue, _ = build(1)
        loads = [TeamLoad(team="spread", work_tokens=100)]
        for sender in ("b", "c", "d"):
            queue.accept_team_loads(sender, loads)
        first = enter(queue, "spread")
        waiting = {"spread": [], "local": []}
        for _ in range(12):
            for team, tickets in waiting.items():
                tickets.append(enter(queue, team))
        running = first
        for _ in range(12):
            queue.leave(running)
            running = next(
                ticket
                for tickets in waiting.values()
                for ticket in tickets
                if ticket.state == "running"
            )
        admitted = sum(ticket.state != "waiting" for ticket in waiting["local"])
        assert admitted >= 9

    def test_load_of_a_silent_peer_expires(self):
        """Guards against shares that depend on the load of an instance that ended."""
        queue, clock = build(1)
        queue.accept_team_loads("b", [TeamLoad(team="t", work_tokens=100)])
        assert queue.get_team_weight("t") < 1
        clock.advance(4)
        assert queue.get_team_weight("t") == 1


class TestLimits:
    def test_full_queue_sheds_the_team_with_the_most_waiting_work(self):
        """Guards against a surge of one team that fills the queue and blocks other teams."""
        queue, _ = build(1, max_waiting=4)
        enter(queue, "heavy")
        refused = []
        for _ in range(4):
            ticket = Ticket("heavy", 1.0, 1e9, admit=refused.append)
            queue.enter(ticket)
        enter(queue, "light")
        assert [refusal.code for refusal in refused] == ["team-over-share"]
        with pytest.raises(Refusal) as caught:
            enter(queue, "heavy")
        assert (caught.value.status, caught.value.run_state) == (429, RunState.NOT_RUN)
        assert queue.waiting == 4

    def test_request_that_waited_too_long_is_shed(self):
        """Guards against work for a caller whose deadline can no longer be met."""
        queue, clock = build(1)
        first = enter(queue, "a")
        refused = []
        late = Ticket("b", 1.0, 5.0, admit=refused.append)
        queue.enter(late)
        clock.advance(6)
        queue.leave(first)
        assert (refused[0].code, late.state) == ("overloaded", "done")

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(1, 9), st.booleans()), max_size=80))
    def test_capacity_holds_and_idle_teams_take_no_memory(self, steps):
        """Guards against work over the capacity, lost tickets and leftover state of idle teams."""
        queue, _ = build(10, max_waiting=16)
        tickets = []
        for team, cost, leaves in steps:
            try:
                tickets.append(enter(queue, f"t{team}", float(cost)))
            except Refusal:
                continue
            running = [ticket for ticket in tickets if ticket.state == "running"]
            if leaves and running:
                queue.leave(running[0])
            running = [ticket for ticket in tickets if ticket.state == "running"]
            assert queue.running == sum(ticket.cost for ticket in running) <= 10
            assert queue.waiting <= 16
        while any(ticket.state == "running" for ticket in tickets):
            queue.leave(next(ticket for ticket in tickets if ticket.state == "running"))
        assert all(ticket.state == "done" for ticket in tickets)
        assert (queue.active_teams, queue.waiting, queue.running) == (0, 0, 0)
