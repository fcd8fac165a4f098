"""The command of the soak: `python -m soak --first 1 --count 50`."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path
from typing import Annotated

import typer

from soak.plan import FAULTS_S, Size
from soak.run import run_seed

KEPT_SEEDS = Path(__file__).parent / "seeds.txt"


def read_kept_seeds() -> list[int]:
    """Return the seeds that ever failed; a line holds a seed and its cause."""
    lines = KEPT_SEEDS.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line.strip() and not line.startswith("#")]


async def run_seeds(
    seeds: list[int], jobs: int, folder: Path, size: Size, faults_s: float
) -> list[int]:
    """Run seeds side by side; print findings and return the seeds that have any."""
    slots = asyncio.Semaphore(jobs)
    failed = []

    async def run(seed: int) -> None:
        place = folder / f"seed-{seed}"
        async with slots:
            _empty(place)
            findings = await run_seed(seed, place, size, faults_s)
        if not findings:
            shutil.rmtree(place)
            print(f"seed {seed}: held", flush=True)
            return
        failed.append(seed)
        print(f"seed {seed}: {len(findings)} findings, {place}", flush=True)
        for finding in findings[:5]:
            print(f"  {finding.promise}: {finding.subject}: {finding.detail}", flush=True)

    await asyncio.gather(*(run(seed) for seed in seeds))
    return sorted(failed)


def _empty(place: Path) -> None:
    shutil.rmtree(place, ignore_errors=True)
    place.mkdir(parents=True)


def main(
    first: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="How many seeds.")] = 10,
    kept: Annotated[bool, typer.Option(help="Also run the seeds of soak/seeds.txt.")] = True,
    jobs: Annotated[int, typer.Option(help="Seeds side by side.")] = 3,
    instances: Annotated[int, typer.Option(help="Entry processes of a seed.")] = 4,
    upstreams: Annotated[int, typer.Option(help="Upstreams of a seed.")] = 4,
    faults_s: Annotated[float, typer.Option(help="Seconds with faults.")] = FAULTS_S,
    folder: Annotated[Path, typer.Option(help="Where failed seeds keep their logs.")] = Path(
        "soak-runs"
    ),
) -> None:
    """Run the soak; exit 1 if a promise was broken."""
    seeds = list(range(first, first + count))
    if kept:
        seeds = [*dict.fromkeys([*read_kept_seeds(), *seeds])]
    size = Size(instances, upstreams)
    failed = asyncio.run(run_seeds(seeds, jobs, folder.resolve(), size, faults_s))
    print(f"{len(seeds) - len(failed)} of {len(seeds)} seeds held; failed: {failed}")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
