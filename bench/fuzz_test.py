"""Fixed-seed runs of the fuzz models."""

from __future__ import annotations

import pytest

from bench.fuzz import MODELS, run_model

STEPS = 2000
# These models run several minutes of virtual time or many answers in each example.
SLOW_MODEL_STEPS = 400
SLOW_MODELS = ("bench.fuzz_moves:MovesMachine", "bench.fuzz_answers:AnswersMachine")


@pytest.mark.parametrize("name", MODELS)
def test_invariants_of_model_hold(name):
    """Guards against violations of the models' invariants, which docs/fuzzing.md lists."""
    steps = SLOW_MODEL_STEPS if name in SLOW_MODELS else STEPS
    run_model(name, steps, seed_value=7, shrink=False)
