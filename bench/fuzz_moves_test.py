"""Tests of faults of version moves that the fuzz model found."""

from __future__ import annotations

from bench.fuzz_moves import MOVE_PREFIX, SERVICE, MovesMachine
from jayyoke.core.move import MovePhase
from jayyoke.ops.moverow import RENEW_INTERVAL_S, decode_move


class TestFoundFaults:
    def test_version_in_force_cannot_be_moved_to(self):
        """Guards against a move without an end, whose halt leaves a service without engines."""
        machine = MovesMachine()
        machine.start(1, True, 0.0)
        machine.move_in_peace(0, "v2")
        machine.ask(1, "v2", 120.0)
        machine.advance(5.0)
        machine.halt(1)
        machine.teardown()
        assert [move.id for move in machine.asked] == ["pool:v2:1"]

    def test_halt_learnt_after_the_end_takes_the_version_back(self):
        """Guards against a service whose every engine runs a halted version for good."""
        machine = MovesMachine()
        machine.start(1, True, 0.0)
        machine.move_in_peace(0, "v2")
        ended = decode_move(machine.table.rows[MOVE_PREFIX + SERVICE][0])
        assert ended.phase is MovePhase.DONE
        machine.halted.add(ended.id)
        machine.processes["0"].halts.halt(ended.id, "v2", "late")
        machine.advance(60.0)
        move = decode_move(machine.table.rows[MOVE_PREFIX + SERVICE][0])
        assert (move.id, move.phase) == (ended.id, MovePhase.ROLLED_BACK)
        machine.teardown()

    def test_ended_move_is_not_written_again(self):
        """Guards against a renewal after the write of the end took long."""
        machine = MovesMachine()
        machine.start(1, True, 0.0)
        machine.table.delay_s = RENEW_INTERVAL_S
        machine.ask(0, "v2", 120.0)
        machine.advance(130.0)
        row = machine.table.rows[MOVE_PREFIX + SERVICE]
        assert decode_move(row[0]).phase is MovePhase.DONE
        machine.teardown()
