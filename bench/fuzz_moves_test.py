"""Tests of faults of version moves that the fuzz model found."""

from __future__ import annotations

from bench.fuzz_moves import MOVE_PREFIX, SERVICE, MovesMachine
from jayyoke.core.move import MovePhase
from jayyoke.ops.moverow import RENEW_INTERVAL_S, decode_move


class TestFoundFaults:
    def test_version_in_force_cannot_be_moved_to(self):
        """Guards against a move that never ends and whose halt leaves a service without engines."""
        machine = MovesMachine()
        machine.start(1, True, 0.0)
        machine.move_without_faults(0, "v2")
        machine.start_move(1, "v2", 120.0)
        machine.advance(5.0)
        machine.halt(1)
        machine.teardown()
        assert [move.id for move in machine.accepted] == ["pool:v2:1"]

    def test_halt_received_after_the_end_rolls_the_version_back(self):
        """Guards against a service whose engines all run a halted version for good."""
        machine = MovesMachine()
        machine.start(1, True, 0.0)
        machine.move_without_faults(0, "v2")
        ended = decode_move(machine.table.rows[MOVE_PREFIX + SERVICE][0])
        assert ended.phase is MovePhase.DONE
        machine.halted.add(ended.id)
        machine.processes["0"].halts.halt(ended.id, "v2", "late")
        machine.advance(60.0)
        move = decode_move(machine.table.rows[MOVE_PREFIX + SERVICE][0])
        assert (move.id, move.phase) == (ended.id, MovePhase.ROLLED_BACK)
        machine.teardown()

    def test_ended_move_is_not_written_again(self):
        """Guards against a lease renewal after a slow write of the end."""
        machine = MovesMachine()
        machine.start(1, True, 0.0)
        machine.table.delay_s = RENEW_INTERVAL_S
        machine.start_move(0, "v2", 120.0)
        machine.advance(130.0)
        row = machine.table.rows[MOVE_PREFIX + SERVICE]
        assert decode_move(row[0]).phase is MovePhase.DONE
        machine.teardown()
