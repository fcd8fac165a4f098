"""Runs a deployment on loopback until Ctrl-C and prints how to call it by hand."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import signal

from standin.deployment import DEPLOYMENTS
from standin.fleet import OPERATOR_KEY, TEAM_KEYS, Fleet, run_fleet

_HELP_TEXT = """\
The fleet is ready. Addresses for callers (use any):
  {callers}
A chat:
  curl -N {caller}/v1/chat/completions -H 'Authorization: Bearer {key}' \\
    -d '{{"model": "{chat}", "stream": true, "messages": [{{"role": "user", "content": "hello"}}]}}'
A call that runs once per key:
  curl {caller}/v1/work/{once} -H 'Authorization: Bearer {key}' \\
    -H 'Idempotency-Key: demo-1' -d '{{"amount": 1}}'
The operators' tool:
  export JAYYOKE_INSTANCES={operators} JAYYOKE_OPERATOR_KEY={operator_key}
  .venv/bin/python -m jayyoke.scripts.tool status
Logs: {folder}
Ctrl-C ends everything.
"""


async def serve(name: str) -> None:
    """Run a deployment until SIGINT or SIGTERM."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    async with run_fleet(DEPLOYMENTS[name]) as fleet:
        print(describe(fleet), flush=True)
        await stop.wait()


def describe(fleet: Fleet) -> str:
    """Return a text with the addresses and sample calls of a running fleet."""
    ballenticket = fleet.deployment.name == "ballenticket"
    return _HELP_TEXT.format(
        callers="\n  ".join(instance.url for instance in fleet.instances),
        caller=fleet.instances[0].url,
        key=TEAM_KEYS[0],
        chat="draft" if ballenticket else "briefing",
        once="stamp" if ballenticket else "deposit",
        operators=",".join(instance.operator_url for instance in fleet.instances),
        operator_key=OPERATOR_KEY,
        folder=fleet.folder,
    )


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="ballenticket")
    options = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(options.deployment))


if __name__ == "__main__":
    main()
