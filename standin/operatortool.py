"""Runs the operators' tool `jayyoke` as a process against the instances of a fleet."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from typing import Any

from standin.fleet import OPERATOR_KEY, Fleet

TOOL_TIMEOUT_S = 60.0


class ToolFailed(Exception):
    """Reports a command of the tool that ended with another exit code than 0."""


async def run_tool(fleet: Fleet, *arguments: str) -> Any:
    """Run one command of the tool with --json and return its output; raise ToolFailed."""
    urls = " ".join(instance.operator_url for instance in fleet.instances)
    environment = os.environ | {"JAYYOKE_INSTANCES": urls, "JAYYOKE_OPERATOR_KEY": OPERATOR_KEY}
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "jayyoke.scripts.tool", "--json", *arguments),
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        start_new_session=True,
    )
    try:
        output, errors = await asyncio.wait_for(process.communicate(), TOOL_TIMEOUT_S)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    if process.returncode != 0:
        raise ToolFailed(f"jayyoke {' '.join(arguments)}: {errors.decode()[-500:]}")
    return json.loads(output)


async def wait_for_move(fleet: Fleet, move_id: str, timeout_s: float) -> dict[str, Any]:
    """Return a move once it has ended, or its last known state after the timeout."""
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    url = f"{fleet.instances[0].operator_url}/v1/moves/{move_id}"
    deadline_s = asyncio.get_running_loop().time() + timeout_s
    while True:
        async with fleet.http.get(url, headers=headers) as answer:
            move = await answer.json()
        if move.get("state") in ("done", "taken-back"):
            return move
        if asyncio.get_running_loop().time() > deadline_s:
            return move
        await asyncio.sleep(0.1)
