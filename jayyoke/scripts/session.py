"""Shared parts of the tool's commands: options, the client, exit codes and output."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
import typer

from jayyoke.parser.document import MAX_DOCUMENT_BYTES
from jayyoke.parser.unit import parse_duration
from jayyoke.scripts.client import Client, NoInstanceAnswered, Refused

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_NO_INSTANCE = 3
EXIT_IN_PROGRESS = 4
EXIT_CODES = """Exit codes: 0 done; 1 refused or not in force; 2 bad usage or file;
3 no instance answered; 4 still in progress when the wait ended.
Every command can be repeated safely."""
POLL_INTERVAL_S = 0.2


@dataclass(frozen=True, slots=True)
class Session:
    """Holds the options that are given before the command."""

    instances: tuple[str, ...]
    key_file: Path | None
    as_json: bool = False


def split_instances(values: Iterable[str]) -> tuple[str, ...]:
    """Return the URLs of options; a value may hold several, separated by commas or spaces."""
    urls = []
    for value in values:
        urls.extend(part.rstrip("/") for part in value.replace(",", " ").split())
    return tuple(urls)


def fail(message: str, code: int) -> typer.Exit:
    """Print a message to standard error and return the exit to raise."""
    print(message, file=sys.stderr)
    return typer.Exit(code)


def show(session: Session, body: Any, text: str) -> None:
    """Print the text, or with --json the body as one line of JSON."""
    print(json.dumps(body) if session.as_json else text)


def read_file(path: Path) -> str:
    """Return the text of a file; exit with 2 if it is too large or cannot be read."""
    try:
        with path.open("rb") as stream:
            data = stream.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        raise fail(f"{path}: {error.strerror}", EXIT_USAGE) from error
    if len(data) > MAX_DOCUMENT_BYTES:
        raise fail(f"{path}: larger than {MAX_DOCUMENT_BYTES} bytes", EXIT_USAGE)
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise fail(f"{path}: byte {error.start} is not UTF-8", EXIT_USAGE) from error


def read_duration(text: str) -> float:
    """Return the seconds of an option such as `10m`; exit with 2 if it is not a duration."""
    seconds = parse_duration(text)
    if seconds is None:
        try:
            seconds = parse_duration(float(text))
        except ValueError:
            seconds = None
    if seconds is None or seconds < 0:
        raise fail(f"{text!r} is not a duration such as 30s or 10m", EXIT_USAGE)
    return seconds


def run(session: Session, work: Callable[[Client], Awaitable[int]]) -> None:
    """Run the work of a command with a client and exit with its code."""
    if not session.instances:
        raise fail("no instance given: use --instance URL or JAYYOKE_INSTANCES", EXIT_USAGE)
    key = _read_key(session)
    try:
        code = asyncio.run(_run(session, key, work))
    except NoInstanceAnswered as error:
        raise fail(str(error), EXIT_NO_INSTANCE) from error
    except Refused as error:
        raise fail(_format_refusal(error), EXIT_REFUSED) from error
    except KeyboardInterrupt as error:
        raise typer.Exit(130) from error
    if code != EXIT_DONE:
        raise typer.Exit(code)


async def wait_until_in_force(
    client: Client, version: int, timeout_s: float
) -> tuple[bool, list[str] | None]:
    """Wait for a version at all live instances; return the names that have not confirmed it.

    The names are None if no instance answered within the wait.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    names: list[str] | None = None
    while True:
        try:
            names = (await read_status(client, version))["unconfirmed"]
            if not names:
                return True, []
        except NoInstanceAnswered:
            # Instances may restart during the wait.
            pass
        if loop.time() >= deadline_s:
            return False, names
        await asyncio.sleep(POLL_INTERVAL_S)


async def read_status(client: Client, version: int | None) -> dict[str, Any]:
    """Return the merged status of all given instances.

    In a large region, an instance reaches only the instances of its own failure domain.
    """
    bodies = await client.gather("/v1/status")
    newest: dict[str, dict[str, Any]] = {}
    for body in bodies:
        for item in body["instances"]:
            known = newest.get(item["instance"])
            if known is None or _confirmed_version(item) > _confirmed_version(known):
                newest[item["instance"]] = item
    if version is None:
        version = max(body["version"] for body in bodies)
    unconfirmed = [name for name in sorted(newest) if _confirmed_version(newest[name]) < version]
    instances = [newest[name] for name in sorted(newest)]
    return {"version": version, "unconfirmed": unconfirmed, "instances": instances}


def _confirmed_version(item: dict[str, Any]) -> int:
    return item["configuration"] if item["answers"] else -1


async def _run(session: Session, key: str, work: Callable[[Client], Awaitable[int]]) -> int:
    async with aiohttp.ClientSession() as http:
        return await work(Client(http, session.instances, key))


def _read_key(session: Session) -> str:
    if session.key_file is not None:
        key = read_file(session.key_file).strip()
    else:
        key = os.environ.get("JAYYOKE_OPERATOR_KEY", "").strip()
    if not key:
        raise fail("no operator key: use --key-file or JAYYOKE_OPERATOR_KEY", EXIT_USAGE)
    if not key.isprintable() or not key.isascii():
        raise fail("the operator key holds characters that a header cannot carry", EXIT_USAGE)
    return key


def _format_refusal(error: Refused) -> str:
    lines = [f"refused: {error}"]
    for finding in error.problem.get("findings", []):
        key, given, expected = finding["key"], finding["given"], finding["expected"]
        lines.append(f"{key}: given {given}, expected {expected}")
    return "\n".join(lines)
