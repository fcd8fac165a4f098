"""Fixed-seed runs of the fuzz models."""

from __future__ import annotations

import pytest

from bench.fuzz import MODELS, run_model

STEPS = 2000


@pytest.mark.parametrize("name", MODELS)
def test_model_holds(name):
    """Guards against double runs, false not-run answers, wrong replays and lost work."""
    run_model(name, STEPS, seed_value=7)
