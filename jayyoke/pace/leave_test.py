"""Tests which requests leave a slow home."""

from __future__ import annotations

import pytest

from jayyoke.pace.leave import find_move_cost_s, should_leave

WORK_S = 0.1


class TestLeave:
    @pytest.mark.parametrize(
        ("slowness", "tokens", "fetches", "leaves"),
        [
            (2.5, 700, False, True),
            (2.5, 2040, False, True),
            (2.5, 10_500, False, False),
            (2.5, 10_500, True, True),
            (1.3, 700, False, True),
            (1.3, 2040, False, False),
            (1.3, 10_500, True, True),
            (1.2, 0, False, False),
            (1.0, 0, False, False),
        ],
    )
    def test_request_leaves_if_it_gains_more_than_the_prompt_costs(
        self, slowness, tokens, fetches, leaves
    ):
        """Guards against long prompts computed again for a spell that costs less."""
        assert should_leave(slowness, WORK_S, find_move_cost_s(tokens, fetches)) is leaves

    def test_odd_latency_moves_no_long_prompt(self):
        """Guards against copies of long prompts after one answer that took minutes."""
        assert not should_leave(1.3, 600.0, find_move_cost_s(10_500, False))
