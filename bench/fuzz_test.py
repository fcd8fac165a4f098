"""Fixed-seed runs of the fuzz models."""

from __future__ import annotations

import pytest

from bench.fuzz import MODELS, run_model

STEPS = 2000
# These models run several minutes of virtual time or many answers in each example.
STEPS_OF_SLOW_MODELS = 400
SLOW_MODELS = ("bench.fuzz_moves:MovesMachine", "bench.fuzz_answers:AnswersMachine")


@pytest.mark.parametrize("name", MODELS)
def test_model_holds(name):
    """Guards against what the invariants of the models exclude; docs/fuzzing.md lists it."""
    steps = STEPS_OF_SLOW_MODELS if name in SLOW_MODELS else STEPS
    run_model(name, steps, seed_value=7, shrink=False)
