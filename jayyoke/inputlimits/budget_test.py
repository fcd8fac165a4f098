"""Tests which connections are closed for want of memory or descriptors."""

from __future__ import annotations

import pytest

from jayyoke.inputlimits.budget import (
    CHOICE_INTERVAL_S,
    MAX_CONNECTIONS,
    STALLED_S,
    Client,
    InputBudget,
    Phase,
    derive_connection_limit,
)

LIMIT_BYTES = 1000


def build_clients(budget: InputBudget, *sizes: tuple[int, int]) -> list[Client]:
    """Return clients that hold and keep these bytes."""
    clients = []
    for number, (held_bytes, kept_bytes) in enumerate(sizes):
        client = Client(float(number))
        budget.hold(client, held_bytes, kept_bytes)
        clients.append(client)
    return clients


class TestMemory:
    """Tests the choice of connections that hold too much together."""

    def test_nothing_is_closed_within_the_limit(self):
        """Guards against the loss of a large request in calm."""
        budget = InputBudget(10, LIMIT_BYTES)
        clients = build_clients(budget, (900, 0), (100, 0))
        assert budget.choose_largest(clients, 0.0) == []

    def test_largest_are_closed_and_small_stay(self):
        """Guards against small heads that pay for large ones."""
        budget = InputBudget(10, LIMIT_BYTES)
        clients = build_clients(budget, (10, 0), (700, 0), (20, 0), (600, 0))
        assert budget.choose_largest(clients, 0.0) == [clients[1]]

    def test_oldest_of_equals_are_closed_first(self):
        """Guards against the loss of a new head beside those that are never ended."""
        budget = InputBudget(10, LIMIT_BYTES)
        clients = build_clients(budget, *[(300, 0)] * 4)
        assert budget.choose_largest(clients, 0.0) == clients[:2]

    def test_whole_request_is_kept(self):
        """Guards against the end of a request that may run at an upstream."""
        budget = InputBudget(10, LIMIT_BYTES)
        clients = build_clients(budget, (900, 900), (200, 0))
        assert budget.choose_largest(clients, 0.0) == [clients[1]]

    def test_choice_that_frees_too_little_is_not_repeated_at_once(self):
        """Guards against a walk over all connections with each byte that arrives."""
        budget = InputBudget(10, LIMIT_BYTES)
        clients = build_clients(budget, (1200, 1200))
        assert budget.choose_largest(clients, 5.0) == []
        assert not budget.may_choose(5.0 + CHOICE_INTERVAL_S / 2)
        assert budget.may_choose(5.0 + CHOICE_INTERVAL_S)

    def test_closed_clients_count_no_more(self):
        """Guards against a budget that shrinks with each connection."""
        budget = InputBudget(10, LIMIT_BYTES)
        for _ in range(100):
            (client,) = build_clients(budget, (900, 100))
            budget.hold(client, 0, 0)
        assert budget.total_bytes == 0 and not budget.short


class TestStalled:
    """Tests the choice of a client that does not read its answer."""

    def test_longest_is_chosen_and_readers_stay(self):
        """Guards against requests that are refused for answers that nobody reads."""
        budget = InputBudget(4)
        clients = [Client(0.0) for _ in range(4)]
        for client, since_s in zip(clients, (None, 7.0, 5.0, 10.0 - STALLED_S / 2), strict=True):
            client.stalled_since_s = since_s
        assert budget.choose_stalled(clients, 10.0) is clients[2]
        assert budget.choose_stalled([clients[0], clients[3]], 10.0) is None


class TestConnections:
    """Tests the choice of connections that make room for another one."""

    def test_nothing_is_closed_while_there_is_room(self):
        """Guards against idle connections that are closed in calm."""
        budget = InputBudget(3)
        assert budget.choose_longest([Client(0.0), Client(1.0)]) == []

    def test_order_of_phases(self):
        """Guards against callers' connections that are closed before those without a request."""
        budget = InputBudget(4)
        clients = [Client(float(number)) for number in range(4)]
        for client, phase in zip(
            clients, (Phase.BODY, Phase.IDLE, Phase.ANSWER, Phase.HEAD), strict=True
        ):
            client.enter(phase, client.since_s)
        closed = []
        while found := budget.choose_longest(clients):
            closed += found
            clients.remove(found[0])
            budget.connection_limit -= 1
        assert [client.phase for client in closed] == [Phase.HEAD, Phase.IDLE, Phase.BODY]

    def test_longest_wait_is_closed_first(self):
        """Guards against a crowd of slow heads that keeps its connections."""
        budget = InputBudget(3)
        clients = [Client(2.0), Client(1.0), Client(3.0)]
        assert budget.choose_longest(clients) == [clients[1]]

    @pytest.mark.parametrize(
        ("descriptors", "connections"),
        [(4100, 3075), (8192, 6144), (160, 96), (65, 1), (10, 1), (1 << 20, MAX_CONNECTIONS)],
    )
    def test_limit_leaves_descriptors(self, descriptors, connections):
        """Guards against clients that take the descriptors of upstreams, the store and peers."""
        assert derive_connection_limit(descriptors) == connections
