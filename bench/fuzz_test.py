"""Fixed-seed runs of the fuzz models."""

from __future__ import annotations

import pytest

from bench.fuzz import MODELS, run_model

STEPS = 2000
# These models run several minutes of virtual time or many answers in each example.
STEPS_OF_SLOW_MODELS = 400


@pytest.mark.parametrize("name", MODELS)
def test_model_holds(name):
    """Guards against what the invariants of the models exclude; docs/fuzzing.md lists it."""
    quick = "fuzz_once:" in name or "fuzz_outbox:" in name
    run_model(name, STEPS if quick else STEPS_OF_SLOW_MODELS, seed_value=7, shrink=False)
