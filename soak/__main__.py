"""The command of the soak: `python -m soak --first 1 --count 50`."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path
from typing import Annotated

import typer

from soak.plan import DEFAULT_FAULTS_S, Size
from soak.run import run_seed

KEPT_SEEDS_PATH = Path(__file__).parent / "seeds.txt"


def read_kept_seeds() -> list[int]:
    """Return the seeds that failed once; each line of the file holds a seed and its cause."""
    lines = KEPT_SEEDS_PATH.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line.strip() and not line.startswith("#")]


async def run_seeds(
    seeds: list[int], jobs: int, folder: Path, size: Size, faults_s: float
) -> list[int]:
    """Run up to `jobs` seeds at once; print findings and return the seeds that have any."""
    slots = asyncio.Semaphore(jobs)
    failed = []

    async def run(seed: int) -> None:
        seed_folder = folder / f"seed-{seed}"
        async with slots:
            _create_empty_folder(seed_folder)
            findings = await run_seed(seed, seed_folder, size, faults_s)
        if not findings:
            shutil.rmtree(seed_folder)
            print(f"seed {seed}: held", flush=True)
            return
        failed.append(seed)
        print(f"seed {seed}: {len(findings)} findings, {seed_folder}", flush=True)
        for finding in findings[:5]:
            print(f"  {finding.promise}: {finding.subject}: {finding.detail}", flush=True)

    await asyncio.gather(*(run(seed) for seed in seeds))
    return sorted(failed)


def _create_empty_folder(seed_folder: Path) -> None:
    shutil.rmtree(seed_folder, ignore_errors=True)
    seed_folder.mkdir(parents=True)


def main(
    first: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="Number of seeds.")] = 10,
    kept: Annotated[bool, typer.Option(help="Also run the seeds of soak/seeds.txt.")] = True,
    jobs: Annotated[int, typer.Option(help="Seeds that run at once.")] = 3,
    instances: Annotated[int, typer.Option(help="Instances of a run.")] = 4,
    upstreams: Annotated[int, typer.Option(help="Upstreams of a run.")] = 4,
    faults_s: Annotated[
        float, typer.Option(help="Seconds of the phase with faults.")
    ] = DEFAULT_FAULTS_S,
    folder: Annotated[Path, typer.Option(help="Folder for the logs of failed seeds.")] = Path(
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
