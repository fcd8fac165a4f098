"""Runs every fuzz model of the repository: python -m bench.fuzz --steps N --seed S.

A model is a hypothesis state machine; add its module and class to MODELS.
"""

from __future__ import annotations

import argparse
import importlib
import time

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

MODELS = [
    "bench.fuzz_once:OnceMachine",
    "bench.fuzz_outbox:OutboxMachine",
    "bench.fuzz_moves:MovesMachine",
    "bench.fuzz_answers:AnswersMachine",
    "bench.fuzz_control:ControlMachine",
    "bench.fuzz_domains:DomainsMachine",
]
STEPS_PER_EXAMPLE = 40


def run_model(name: str, steps: int, seed_value: int, shrink: bool = True) -> None:
    """Run a model for about `steps` steps; raise the failure that it finds.

    Without shrinking, a run that finds a failure takes no longer than one that finds none.
    """
    module, _, machine_name = name.partition(":")
    machine_type = getattr(importlib.import_module(module), machine_name)
    options = settings(
        max_examples=max(1, steps // STEPS_PER_EXAMPLE),
        stateful_step_count=STEPS_PER_EXAMPLE,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        phases=(Phase.generate, Phase.shrink) if shrink else (Phase.generate,),
    )
    seeded_type = seed(seed_value)(type(machine_type.__name__, (machine_type,), {}))
    run_state_machine_as_test(seeded_type, settings=options)


def main() -> None:
    """Run the models that the command line names, by default all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--steps", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="", help="part of a model's name")
    options = parser.parse_args()
    for name in MODELS:
        if options.only not in name:
            continue
        started_s = time.monotonic()
        run_model(name, options.steps, options.seed)
        elapsed_s = time.monotonic() - started_s
        print(f"{name}: {options.steps} steps, seed {options.seed}: passed in {elapsed_s:.1f} s")


if __name__ == "__main__":
    main()
