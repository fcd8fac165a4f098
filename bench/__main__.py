"""Runs every measure, prints one table and writes bench/results.json.

A measure is a module of this package that has a function `measure(seed) -> list[Result]`.
"""

from __future__ import annotations

import argparse
import importlib
import pkgutil
import time
from pathlib import Path

import bench
from bench.result import Result, print_results, write_results


def main() -> None:
    """Run the measures that the command line names, by default all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", nargs="*", help="module names")
    options = parser.parse_args()
    results: list[Result] = []
    for module in pkgutil.iter_modules(bench.__path__):
        if module.name.endswith("_test") or module.name.startswith("_"):
            continue
        if options.only and module.name not in options.only:
            continue
        measure = getattr(importlib.import_module(f"bench.{module.name}"), "measure", None)
        if measure is None:
            continue
        started_s = time.monotonic()
        results.extend(measure(options.seed))
        print(f"# {module.name}: {time.monotonic() - started_s:.1f} s", flush=True)
    print_results(results)
    if not options.only:
        write_results(results, Path(__file__).parent / "results.json")


if __name__ == "__main__":
    main()
