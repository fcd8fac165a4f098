"""Reservations of one engine, kept by its steward."""

from __future__ import annotations

from dataclasses import dataclass, field

from jayyoke.ops.slowstart import Ramp

# Entry instances report their holdings every 30 s. A reservation whose release was lost expires
# after two missed reports and a margin.
MAX_RESERVATION_AGE_S = 75.0
# A holdings message that was sent before a reservation may arrive after it, so reservations younger
# than this are kept although the message lacks them.
IN_TRANSIT_S = 2.0
MAX_RESERVATIONS = 10_000


@dataclass(frozen=True, slots=True)
class Reservation:
    """Holds one admitted request.

    `registered` means that this account did not grant it, but its entry reported it in holdings.
    """

    work_tokens: int
    seen_s: float
    registered: bool = False


@dataclass(slots=True)
class Account:
    """Holds the work that is admitted to one engine; times are monotonic seconds.

    Inherited work is what a predecessor's last digest reported for the engine.
    """

    opened_s: float
    ramp: Ramp = field(default_factory=Ramp)
    incarnation: int = 0
    confirmed_s: float = -1e9
    unconfirmed: bool = False
    restart_expected_until_s: float = -1e9
    has_predecessor: bool = False
    announced_near_full: bool = False
    inherited_requests: int = 0
    inherited_tokens: int = 0
    reservations_by_entry: dict[str, dict[str, Reservation]] = field(default_factory=dict)
    granted_requests: int = 0
    granted_tokens: int = 0
    registered_requests: int = 0
    registered_tokens: int = 0

    @property
    def requests(self) -> int:
        """Return the admitted requests; inherited and registered ones are the same requests."""
        return self.granted_requests + max(self.inherited_requests, self.registered_requests)

    @property
    def work_tokens(self) -> int:
        """Return the admitted work in tokens."""
        return self.granted_tokens + max(self.inherited_tokens, self.registered_tokens)

    @property
    def full(self) -> bool:
        """Tell whether the account takes no more reservations."""
        return self.granted_requests + self.registered_requests >= MAX_RESERVATIONS

    def holds(self, entry: str, request_id: str) -> bool:
        """Tell whether a reservation exists."""
        return request_id in self.reservations_by_entry.get(entry, ())

    def add(self, entry: str, request_id: str, reservation: Reservation) -> None:
        """Add a reservation, replacing one of the same id; drop it if the account is full."""
        self.remove(entry, request_id)
        if self.full:
            return
        self.reservations_by_entry.setdefault(entry, {})[request_id] = reservation
        self._count(reservation, 1)

    def remove(self, entry: str, request_id: str) -> None:
        """Remove a reservation if it exists."""
        reservation = self.reservations_by_entry.get(entry, {}).pop(request_id, None)
        if reservation is not None:
            self._count(reservation, -1)

    def replace(self, entry: str, holdings: dict[str, int], now_s: float) -> None:
        """Replace an entry's reservations by its holdings; keep very young reservations."""
        for request_id, reservation in list(self.reservations_by_entry.get(entry, {}).items()):
            if request_id in holdings or now_s - reservation.seen_s < IN_TRANSIT_S:
                continue
            self.remove(entry, request_id)
        for request_id, work_tokens in holdings.items():
            known = self.reservations_by_entry.get(entry, {}).get(request_id)
            registered = known is None or known.registered
            self.add(entry, request_id, Reservation(work_tokens, now_s, registered))

    def drop_entry(self, entry: str) -> None:
        """Remove every reservation of an entry."""
        for request_id in list(self.reservations_by_entry.get(entry, ())):
            self.remove(entry, request_id)
        self.reservations_by_entry.pop(entry, None)

    def drop_expired(self, now_s: float) -> None:
        """Remove reservations that no holdings message confirmed for MAX_RESERVATION_AGE_S."""
        for entry, reservations in self.reservations_by_entry.items():
            for request_id, reservation in list(reservations.items()):
                if now_s - reservation.seen_s >= MAX_RESERVATION_AGE_S:
                    self.remove(entry, request_id)

    def _count(self, reservation: Reservation, sign: int) -> None:
        if reservation.registered:
            self.registered_requests += sign
            self.registered_tokens += sign * reservation.work_tokens
            return
        self.granted_requests += sign
        self.granted_tokens += sign * reservation.work_tokens
