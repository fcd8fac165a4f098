"""Demonstration: one deployment on loopback, real calls of every class, a table of promises."""

from __future__ import annotations

import argparse
import asyncio
import sys

from standin.deployment import DEPLOYMENTS
from standin.fleet import TEAM_KEYS, Fleet, run_fleet


async def run_demo(name: str) -> bool:
    """Run the demo of one deployment and tell whether every promise held."""
    async with run_fleet(DEPLOYMENTS[name]) as fleet:
        rows = [await check_chats(fleet)]
    held = True
    for promise, seen, expected, row_held in rows:
        held = held and row_held
        print(f"{promise:40} {seen:30} {expected:20} {'held' if row_held else 'BROKEN'}")
    return held


async def check_chats(fleet: Fleet) -> tuple[str, str, str, bool]:
    """Send chats through every instance and compare the answers with what engines generate."""
    chat_class = "draft" if fleet.deployment.name == "ballenticket" else "briefing"
    whole = 0
    for index, instance in enumerate(fleet.instances):
        messages = [{"role": "user", "content": f"chat {index}"}]
        body = {"model": chat_class, "messages": messages, "max_tokens": 8}
        headers = {"Authorization": f"Bearer {TEAM_KEYS[0]}"}
        url = f"{instance.url}/v1/chat/completions"
        async with fleet.http.post(url, json=body, headers=headers) as answer:
            document = await answer.json()
            whole += len(document["choices"][0]["message"]["content"].split()) == 8
    expected = len(fleet.instances)
    return "whole answers", f"{whole} of {expected}", f"{expected}", whole == expected


def main() -> None:
    """Run the demo and exit non-zero if a promise broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="ballenticket")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    sys.exit(0 if asyncio.run(run_demo(options.deployment)) else 1)


if __name__ == "__main__":
    main()
