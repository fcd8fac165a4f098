"""Tests of the lease."""

from __future__ import annotations

import pytest

from jayyoke.duties.lease import (
    LeaseKeeper,
    LeaseRow,
    build_token,
    decode_lease,
    encode_lease,
    find_lease_key,
    find_poll_s,
)

LEASE_S = 3.0


def build_keeper(name: str, now_s: float = 0.0) -> LeaseKeeper:
    """Return the keeper of a process that starts now."""
    return LeaseKeeper(name, f"{name}-1", LEASE_S, now_s)


def take(keeper: LeaseKeeper, revision: int, now_s: float, era: int = 1) -> LeaseRow:
    """Take the lease; the store confirms it with a revision."""
    lease, _ = keeper.build_take(barred=7)
    keeper.confirm(lease, revision, now_s, era)
    return lease


def show(keeper: LeaseKeeper, lease: LeaseRow, revision: int, now_s: float, era: int = 1) -> bool:
    """Let a keeper read a row."""
    return keeper.observe(revision, encode_lease(lease), era, now_s)


class TestTakeover:
    def test_missing_row_is_taken_after_a_whole_lease(self):
        """Guards against a second holder whose row the store has lost."""
        keeper = build_keeper("a")
        keeper.observe(0, None, 1, 10.0)
        take_s = keeper.find_take_s(1)
        assert take_s is not None and take_s >= 10.0 + LEASE_S

    def test_renewal_starts_the_wait_anew(self):
        """Guards against a takeover from a holder that goes on renewing."""
        holder, other = build_keeper("a"), build_keeper("b")
        holder.observe(0, None, 1, 0.0)
        lease = take(holder, 5, 4.0)
        assert not show(other, lease, 5, 4.1)
        renewed, expect = holder.build_renewal(-1)
        assert expect == 5
        assert not show(other, renewed, 6, 6.0)
        assert show(other, renewed, 6, 8.0)
        assert other.find_take_s(1) == pytest.approx(6.0 + other.wait_s)

    def test_holder_stops_before_another_may_begin(self):
        """Guards against two holders at a time if the first one is frozen or cut off."""
        holder, other = build_keeper("a"), build_keeper("b")
        holder.observe(0, None, 1, 0.0)
        lease = take(holder, 5, now_s=4.0)
        # The other instance reads the row at once, as early as it can.
        show(other, lease, 5, 4.0)
        take_s = other.find_take_s(1)
        assert not holder.may_act(take_s - 0.25, 1)
        assert holder.find_token(take_s, 1) is None

    def test_call_begins_only_if_the_lease_lasts_for_it(self):
        """Guards against a call that arrives after the lease."""
        holder = build_keeper("a")
        holder.observe(0, None, 1, 0.0)
        take(holder, 5, now_s=4.0)
        assert holder.find_token(4.0 + 1.8, 1, needed_s=1.0) == build_token(1, 1)
        assert holder.find_token(4.0 + 1.9, 1, needed_s=1.0) is None

    def test_lost_answer_counts_only_after_a_renewal(self):
        """Guards against a lease that begins at the reading of a write that took effect late."""
        keeper = build_keeper("a")
        keeper.observe(0, None, 1, 0.0)
        lease, _ = keeper.build_take(barred=7)
        # The answer is lost, and the row is found seconds later.
        show(keeper, lease, 9, 8.0)
        assert keeper.holds and not keeper.may_act(8.0, 1)
        renewed, expect = keeper.build_renewal(-1)
        assert expect == 9
        keeper.confirm(renewed, 10, 8.1, 1)
        assert keeper.may_act(8.2, 1)

    def test_holder_whose_renewals_are_never_confirmed_lets_others_have_the_lease(self):
        """Guards against duties that nobody takes care of while one instance gets no answers."""
        keeper = build_keeper("a")
        keeper.observe(0, None, 1, 0.0)
        lease = take(keeper, 5, 4.0)
        keeper.give_up_late(4.0 + 1.9 * LEASE_S)
        assert keeper.holds
        keeper.give_up_late(4.0 + 2.0 * LEASE_S)
        assert not keeper.holds
        # Its own row is like that of another instance now.
        show(keeper, lease, 9, 11.0)
        assert not keeper.holds
        assert keeper.find_take_s(1) >= 11.0 + LEASE_S
        taken, _ = keeper.build_take(barred=7)
        assert taken.counter == lease.counter + 1

    def test_row_of_another_process_of_the_name_is_not_the_own(self):
        """Guards against a restarted or replaced instance that acts on an older one's lease."""
        first = build_keeper("a")
        first.observe(0, None, 1, 0.0)
        lease = take(first, 5, 4.0)
        second = LeaseKeeper("a", "a-2", LEASE_S, 5.0)
        show(second, lease, 5, 5.0)
        assert not second.holds
        assert second.find_take_s(1) >= 5.0 + LEASE_S

    def test_unreadable_row_is_never_taken(self):
        """Guards against a token below an earlier one, whose counter cannot be read."""
        keeper = build_keeper("a")
        keeper.observe(4, b"{}", 1, 0.0)
        assert keeper.find_take_s(1) is None


class TestRelease:
    def test_released_lease_is_taken_at_once_by_another(self):
        """Guards against windows that are missed at each orderly stop."""
        holder, other = build_keeper("a"), build_keeper("b")
        holder.observe(0, None, 1, 0.0)
        take(holder, 5, 4.0)
        released, _ = holder.build_release(3)
        assert not holder.holds
        show(other, released, 6, 20.0)
        assert other.find_take_s(1) <= 20.0
        taken, expect = other.build_take(barred=99)
        assert (taken.counter, expect) == (2, 6)
        assert (taken.reported, taken.barred) == (3, 7)

    def test_former_holders_wait_for_a_lease(self):
        """Guards against holders A, B, A within a lease, also if A has started again."""
        first, second = build_keeper("a"), build_keeper("b", -20.0)
        first.observe(0, None, 1, 0.0)
        take(first, 5, 4.0)
        released, _ = first.build_release(-1)
        show(second, released, 6, 4.1)
        take(second, 7, 4.2)
        released, _ = second.build_release(-1)
        restarted = LeaseKeeper("a", "a-2", LEASE_S, -20.0)
        show(restarted, released, 8, 4.3)
        assert restarted.find_take_s(1) >= 4.3 + LEASE_S

    def test_process_that_has_acted_waits_although_the_row_does_not_name_it(self):
        """Guards against holders A, B, C, A within a lease."""
        keeper = build_keeper("a")
        keeper.observe(0, None, 1, 0.0)
        take(keeper, 5, 4.0)
        row = LeaseRow("", "", 9, 1, former=("c", "b"))
        show(keeper, row, 12, 4.5)
        assert keeper.find_take_s(1) >= 4.0 + LEASE_S


class TestEras:
    def test_new_era_ends_the_tenure_and_is_observed_for_a_whole_lease(self):
        """Guards against a holder of the older era beside one of the new era."""
        keeper = build_keeper("a")
        keeper.observe(0, None, 1, 0.0)
        take(keeper, 5, 4.0)
        assert not keeper.may_act(4.1, 2)
        assert keeper.find_token(4.1, 2) is None
        keeper.observe(0, None, 2, 5.0)
        assert not keeper.holds
        assert keeper.find_take_s(2) >= 5.0 + LEASE_S
        assert keeper.era_since_s == 5.0

    def test_write_that_another_era_confirmed_is_no_lease(self):
        """Guards against a take whose condition held by chance in the new era."""
        keeper = build_keeper("a")
        keeper.observe(0, None, 1, 0.0)
        lease, _ = keeper.build_take(barred=7)
        keeper.confirm(lease, 5, 4.0, 2)
        assert not keeper.holds

    def test_rows_of_eras_have_keys_of_their_own(self):
        """Guards against a late write of an older era in place of the present lease."""
        assert len({find_lease_key(era) for era in range(4)}) == 4

    def test_token_rises_with_the_era_whatever_the_counter(self):
        """Guards against a lower token after the counter was lost with the older copy."""
        assert build_token(2, 1) > build_token(1, 2**32 - 1)


class TestRow:
    def test_row_survives_encoding_and_unknown_fields(self):
        """Guards against a newer release whose rows older ones cannot read."""
        row = LeaseRow("a", "x", 3, 2, 9, ("b",), 40, 30)
        value = encode_lease(row)[:-1] + b', "novel": {}}'
        assert decode_lease(value) == row

    @pytest.mark.parametrize(
        "value", [b"", b"[]", b"7", b'{"holder": 1}', encode_lease(LeaseRow("a", "b", -1, 0))]
    )
    def test_malformed_row_is_reported(self, value):
        """Guards against a process that ends on a malformed row."""
        with pytest.raises(ValueError):
            decode_lease(value)


class TestPolls:
    @pytest.mark.parametrize("count", [2, 6, 8, 28])
    def test_all_candidates_together_look_less_than_twice_a_second(self, count):
        """Guards against store calls that grow with the number of domains."""
        names = [f"n{number}" for number in range(count)]
        holder = names[0]
        rates = [1 / find_poll_s(name, names, holder) for name in names if name != holder]
        assert sum(rates) < 2.0
        assert max(rates) == 0.5
