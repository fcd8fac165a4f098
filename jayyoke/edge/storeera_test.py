"""Tests of the store's era."""

from jayyoke.edge.storeera import StoreEra


class TestStoreEra:
    def test_starts_unknown_and_only_rises(self) -> None:
        # An answer of an older era that arrives late would lower fencing tokens.
        era = StoreEra()
        assert era.value == 0
        seen: list[int] = []
        era.changes.subscribe(seen.append)
        for found in (3, 2, 3, 5, 0):
            era.update(found)
        assert era.value == 5
        assert seen == [3, 5]

    def test_first_era_is_no_return_of_the_store(self) -> None:
        # All instances would write their rows again at each start, or none after era 0.
        for first in (0, 4):
            era = StoreEra()
            era.update(first)
            assert not era.risen
            era.update(first + 1)
            assert era.risen
