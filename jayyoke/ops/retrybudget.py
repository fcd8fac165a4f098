"""Retry budget: limits retries, resumptions and hedges to a small share of the requests."""

from __future__ import annotations

SHARE = 0.1
# Lets an instance with little traffic retry at all; at present one gets a few requests/s.
RESERVE = 10.0


class RetryBudget:
    """Gains `share` retries with each request and holds at most `reserve` retries."""

    __slots__ = ("_balance", "_reserve", "_share", "refused", "spent")

    def __init__(self, share: float = SHARE, reserve: float = RESERVE):
        self._share = share
        self._reserve = reserve
        self._balance = reserve
        self.spent = 0
        self.refused = 0

    def add_request(self) -> None:
        """Count a caller's request."""
        self._balance = min(self._reserve, self._balance + self._share)

    @property
    def available(self) -> bool:
        """Tell whether a retry can be taken now."""
        return self._balance >= 1.0

    def spend(self) -> bool:
        """Take one retry, resumption or hedge; return False if the budget is used up."""
        if not self.available:
            self.refused += 1
            return False
        self._balance -= 1.0
        self.spent += 1
        return True
