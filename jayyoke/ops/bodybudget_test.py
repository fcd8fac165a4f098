"""Tests the memory for the bodies of all requests in progress."""

from __future__ import annotations

from jayyoke.ops.bodybudget import (
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
