"""Measures the memory of an entry process before a large crowd of one form.

Run `python -m standin.abusivecrowd FORM ...` by hand; it sends to loopback only.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

from standin.abusiveclients import Crowd, Form, build_forms
from standin.crowdcases import CASES, FIELDS, Case
from standin.crowdmachine import POLL_S, PORTS, Machine, run_machine
from standin.entryupstream import EntryUpstream, answer_whole
from standin.processmemory import count_descriptors, read_peak_bytes, watch_memory

# The crowd ends when the process has used this much.
MAX_PEAK_BYTES = 1 << 30
PATHS = {"readiness": "/-/readyz", "peers": "/relay", "metrics": "/metrics"}


@dataclass(frozen=True, slots=True)
class Size:
    """Holds the size of a crowd and of the machine before it."""

    clients: int
    bytes_each: int
    limit_s: float
    memory_mb: int
    descriptors: int


def list_cases(port: str) -> dict[str, Case]:
    """Return the crowds for a port; those with whole requests are for callers."""
    path, fields = PATHS.get(port, "/sound/x"), FIELDS if port == "callers" else "Host: h\r\n"
    get, post = f"GET {path} HTTP/1.1\r\n{fields}", f"POST {path} HTTP/1.1\r\n{fields}"
    forms = {"silent": Form(b"", b"", 1.0)} | build_forms(get, post)
    forms["unread-answers"] = Form(b"", f"{get}\r\n".encode() * 20, reading=False)
    cases = {name: Case(_build_sound, form) for name, form in forms.items()}
    return cases | CASES if port == "callers" else cases


def _build_sound(name: str) -> EntryUpstream:
    return EntryUpstream(name, answer_whole)


async def measure(name: str, port: str, size: Size) -> str:
    """Return one line about a crowd before a new process."""
    case = list_cases(port)[name]
    upstream = case.build_upstream("u2")
    with tempfile.TemporaryDirectory(prefix="jayyoke-") as folder:
        async with run_machine(
            Path(folder), size.memory_mb, size.descriptors, upstream, case.kind
        ) as machine:
            return await _run_crowd(name, port, size, machine)


def send_crowd(name: str, port: str, number: int, size: Size, sent) -> None:
    """Send a crowd from this process, and keep its connections for the rest of the time."""
    case = list_cases(port)[name]

    async def run() -> None:
        bytes_each = min(size.bytes_each, case.bytes_each)
        crowd = Crowd(number, case.form, size.clients, bytes_each)
        async with asyncio.TaskGroup() as group:
            group.create_task(crowd.send(size.limit_s))
            group.create_task(asyncio.sleep(size.limit_s))
        sent.value = crowd.sent_bytes
        await crowd.close()

    asyncio.run(run())


async def _run_crowd(name: str, port: str, size: Size, machine: Machine) -> str:
    process = machine.process
    before_bytes = read_peak_bytes(process.pid)
    # Ordinary requests come from a process of their own, as those of other callers do.
    context = multiprocessing.get_context("spawn")
    sent = context.Value("q", 0)
    arguments = (name, port, machine.ports[port], size, sent)
    crowd = context.Process(target=send_crowd, args=arguments, daemon=True)
    found: list[int | str] = []
    descriptors = 0
    async with watch_memory(process.pid) as watch:
        crowd.start()
        try:
            while crowd.is_alive() and process.returncode is None:
                found.append(await machine.call())
                descriptors = max(descriptors, count_descriptors(process.pid))
                if watch.peak_bytes > MAX_PEAK_BYTES:
                    break
                await asyncio.sleep(POLL_S)
        finally:
            crowd.kill()
            crowd.join()
        after = await machine.call()
    failed = [answer for answer in found if answer != 200]
    return (
        f"{name}: from {before_bytes / 1e6:.0f} MB: {watch}, {descriptors} descriptors, "
        f"{sent.value / 1e6:.0f} MB sent; {found.count(200)} of {len(found)} requests answered "
        f"meanwhile, {after} afterwards; others: {failed[:3]}"
    )


def main(
    names: Annotated[list[str], typer.Argument(help="Forms; 'all' for every one.")],
    port: Annotated[str, typer.Option(help=f"One of {', '.join(PORTS)}.")] = "callers",
    clients: Annotated[int, typer.Option(help="Connections.")] = 4000,
    bytes_each: Annotated[int, typer.Option(help="Bytes that each sends at most.")] = 1 << 20,
    limit_s: Annotated[float, typer.Option(help="Seconds of one crowd.")] = 10.0,
    memory_mb: Annotated[int, typer.Option(help="Memory of the machine.")] = 200,
    descriptors: Annotated[int, typer.Option(help="Descriptors of the process.")] = 4100,
) -> None:
    """Print the peak memory of an entry process before each form."""
    size = Size(clients, bytes_each, limit_s, memory_mb, descriptors)
    for name in list(list_cases(port)) if names == ["all"] else names:
        print(asyncio.run(measure(name, port, size)), flush=True)


if __name__ == "__main__":
    typer.run(main)
