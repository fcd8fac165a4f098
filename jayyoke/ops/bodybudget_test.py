"""Tests the memory for the bodies of all requests in progress."""

from __future__ import annotations

from jayyoke.ops.bodybudget import (
    SLOW_BODY_S,
    SMALL_BODIES_RESERVE_BYTES,
    SMALL_BODY_BYTES,
    BodyBudget,
    HeldBody,
)

MIB = 1 << 20


class TestBodyBudget:
    """Tests which bodies fit beside others."""

    def test_bodies_together_stay_within_the_limit(self):
        budget = BodyBudget(10 * MIB)
        grown = [HeldBody(budget).grow(4 * MIB) for _ in range(4)]
        assert grown == [True, True, False, False]
        assert budget.total_bytes == 8 * MIB

    def test_body_alone_may_exceed_the_limit(self):
        """Guards against callers within the operator's limit whom an idle instance refuses."""
        body = HeldBody(BodyBudget(10 * MIB))
        assert body.may_grow_to(50 * MIB)
        assert all(body.grow(5 * MIB) for _ in range(10))

    def test_small_bodies_fit_beside_large_ones(self):
        budget = BodyBudget(10 * MIB)
        HeldBody(budget).grow(10 * MIB)
        assert not HeldBody(budget).grow(SMALL_BODY_BYTES + 1)
        count = 0
        while HeldBody(budget).grow(SMALL_BODY_BYTES):
            count += 1
        assert count == SMALL_BODIES_RESERVE_BYTES // SMALL_BODY_BYTES

    def test_body_that_grows_out_of_the_reserve_is_refused(self):
        """Guards against bodies of unknown length that take the reserve of small ones."""
        budget = BodyBudget(10 * MIB)
        HeldBody(budget).grow(10 * MIB)
        body = HeldBody(budget)
        assert body.grow(SMALL_BODY_BYTES)
        assert not body.grow(1)

    def test_released_bytes_are_free(self):
        budget = BodyBudget(10 * MIB)
        first, second = HeldBody(budget), HeldBody(budget)
        assert first.grow(8 * MIB)
        assert not second.may_grow_to(8 * MIB)
        first.release()
        first.release()
        assert second.grow(8 * MIB)
        second.release()
        assert budget.total_bytes == 0


class TestEviction:
    """Tests bodies that arrive slowly while the memory is used up."""

    def build(self, ages_s: tuple[float, ...]) -> tuple[BodyBudget, list[HeldBody], list[int]]:
        """Return a full budget, its arriving bodies and the numbers of those that were ended."""
        now_s, ended, bodies = [0.0], [], []
        budget = BodyBudget(len(ages_s) * MIB, 0, lambda: now_s[0])
        for number, age_s in enumerate(ages_s):
            body = HeldBody(budget)
            now_s[0] = 100.0 - age_s
            assert body.grow(MIB)
            budget.add_arriving(body, lambda number=number: ended.append(number))
            bodies.append(body)
        now_s[0] = 100.0
        return budget, bodies, ended

    def test_small_body_replaces_the_slowest(self):
        """Guards against callers whose small bodies are refused beside bodies without end."""
        budget, bodies, ended = self.build((3.0, 2.0, 0.1))
        assert HeldBody(budget).grow(SMALL_BODY_BYTES)
        assert ended == [0] and [body.evicted for body in bodies] == [True, False, False]
        assert not bodies[0].grow(1)

    def test_large_body_replaces_none(self):
        """Guards against large bodies that end each other."""
        budget, _, ended = self.build((3.0, 2.0))
        assert not HeldBody(budget).grow(SMALL_BODY_BYTES + 1)
        assert ended == []

    def test_body_that_has_just_begun_is_kept(self):
        """Guards against the loss of bodies that arrive at their usual speed."""
        budget, _, ended = self.build((SLOW_BODY_S / 2, 0.0))
        assert not HeldBody(budget).grow(SMALL_BODY_BYTES)
        assert not budget.evict_slowest() and ended == []

    def test_whole_body_is_kept(self):
        """Guards against the loss of a request that may run."""
        budget, bodies, ended = self.build((3.0, 2.0))
        budget.remove_arriving(bodies[0])
        assert budget.evict_slowest()
        assert ended == [1] and not budget.evict_slowest()
