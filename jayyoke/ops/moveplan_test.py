"""Tests of the plan of a version move."""

from __future__ import annotations

from dataclasses import replace

from jayyoke.core.move import PPM, Move, MovePhase, OutcomeCounts
from jayyoke.ops.moveplan import (
    LAST_STEP,
    STEPS,
    EngineView,
    HaltVersion,
    OrderVersion,
    UpdateMove,
    limit_share,
    plan_move,
)

MOVE = Move("m", "pool", "v1", "v2", 0.0, 100.0)
GOOD = {"v1": {"draft": OutcomeCounts(500, 1, 20)}, "v2": {"draft": OutcomeCounts(200, 0, 8)}}
BAD = {"v1": {"draft": OutcomeCounts(500, 1, 20)}, "v2": {"draft": OutcomeCounts(10, 9, 0)}}


def build_views(*versions: str) -> list[EngineView]:
    return [EngineView(f"e{index}", version, True) for index, version in enumerate(versions)]


def list_updates(actions: list) -> list[Move]:
    return [action.move for action in actions if isinstance(action, UpdateMove)]


class TestRunning:
    def test_first_step_orders_one_engine_and_sends_no_caller(self):
        """Guards against callers on a version that has not served any request yet."""
        actions = plan_move(MOVE, build_views("v1", "v1", "v1"), {}, False, 0.0)
        assert actions == [OrderVersion("e0", "v2")]

    def test_share_waits_for_evidence_while_there_is_traffic(self):
        """Guards against raising the share of a version without any evidence."""
        evidence = {
            "v1": {"draft": OutcomeCounts(500, 0, 0)},
            "v2": {"draft": OutcomeCounts(3, 0, 0)},
        }
        move = replace(MOVE, shadow_ppm=PPM // 3)
        moves = list_updates(plan_move(move, build_views("v2", "v1", "v1"), evidence, False, 50.0))
        assert all(move.step == 0 and move.share_ppm == 0 for move in moves)

    def test_good_version_takes_every_step(self):
        """Guards against a good version that stalls before the deadline."""
        move, engines, now_s = MOVE, build_views("v1", "v1", "v1", "v1", "v1", "v1"), 0.0
        while move.active and now_s < 200.0:
            for action in plan_move(move, engines, GOOD, False, now_s, load_s=1.0):
                match action:
                    case UpdateMove(changed):
                        move = changed
                    case OrderVersion(name, version):
                        index = int(name[1:])
                        engines[index] = replace(engines[index], version=version)
            now_s += 1.0
        assert move.phase is MovePhase.DONE
        assert now_s <= MOVE.deadline_s

    def test_bad_version_is_stopped_and_taken_back(self):
        """Guards against a bad version that keeps its share."""
        move = replace(MOVE, step=2, share_ppm=50_000)
        actions = plan_move(move, build_views("v2", "v1", "v1"), BAD, False, 58.0)
        assert isinstance(actions[0], HaltVersion)
        (changed,) = list_updates(actions)
        assert changed.phase is MovePhase.ROLLING_BACK
        assert changed.share_ppm == changed.shadow_ppm == 0

    def test_halt_of_another_instance_is_enough(self):
        """Guards against a holder that ignores a halt because it has no evidence of its own."""
        (changed,) = list_updates(plan_move(MOVE, build_views("v2", "v1"), {}, True, 10.0))
        assert changed.phase is MovePhase.ROLLING_BACK

    def test_late_move_is_taken_back_unless_in_its_last_step(self):
        """Guards against a move that neither finishes nor ends at its deadline."""
        (changed,) = list_updates(
            plan_move(replace(MOVE, step=2), build_views("v2", "v1"), {}, False, 101.0)
        )
        assert changed.phase is MovePhase.ROLLING_BACK
        last = replace(MOVE, step=LAST_STEP)
        for changed in list_updates(plan_move(last, build_views("v2", "v1"), GOOD, False, 101.0)):
            assert changed.phase is MovePhase.RUNNING


class TestRollback:
    def test_every_engine_returns_to_the_old_version_first(self):
        """Guards against a move reported as rolled back while engines still run the new version."""
        move = replace(MOVE, phase=MovePhase.ROLLING_BACK)
        actions = plan_move(move, build_views("v2", "v1", "v2"), {}, True, 10.0)
        assert actions == [OrderVersion("e0", "v1"), OrderVersion("e2", "v1")]
        (changed,) = list_updates(plan_move(move, build_views("v1", "v1", "v1"), {}, True, 11.0))
        assert changed.phase is MovePhase.ROLLED_BACK

    def test_late_order_of_the_new_version_is_fenced_off_before_the_end(self):
        """Guards against an order that loads a halted version after its move was rolled back."""
        (changed,) = list_updates(plan_move(MOVE, build_views("v1", "v1"), {}, True, 10.0))
        assert changed.fence == MOVE.fence + 1
        engines = [EngineView("e0", "v1", True, fenced=False), EngineView("e1", "v1", True)]
        assert plan_move(changed, engines, {}, True, 11.0) == [OrderVersion("e0", "v1")]


class TestShare:
    def test_share_never_exceeds_what_ready_engines_carry(self):
        """Guards against a quarter of the callers on one engine of six."""
        assert limit_share(250_000, 1, 6) == PPM // 6
        assert limit_share(250_000, 0, 6) == 0
        assert limit_share(STEPS[1].share_ppm, 1, 260) == STEPS[1].share_ppm
