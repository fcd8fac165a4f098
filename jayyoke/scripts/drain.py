"""Takes an entry instance from SIGTERM to the last byte of its callers' answers."""

from __future__ import annotations

import asyncio

from jayyoke.edge.log import log_event
from jayyoke.ops.stopwindow import StopWindow
from jayyoke.server.entrylistener import EntryListener
from jayyoke.utils.boottime import read_boot_time_s

# The load balancer probes once a second and removes an instance after two failed probes.
READINESS_DELAY_S = 2.6
# Requests that still run this long before the platform kills the process are aborted. The fraction
# of the grace keeps short ones within its last sixth, in which the users count no loss.
KILL_SLACK_S = 0.5
KILL_SLACK_FRACTION = 0.1
# Answers that are not sent after this fraction of that time are given up.
EXIT_SLACK_FRACTION = 0.5
POLL_S = 0.05
# Connections that were accepted last are known after some turns of the event loop.
SETTLED_POLLS = 2


async def drain(listener: EntryListener, window: StopWindow, grace_s: float) -> None:
    """Let the load balancer remove this instance, then wait until every answer is out.

    The platform kills the process `grace_s` seconds after SIGTERM.
    """
    began_s = read_boot_time_s()
    listener.draining = True
    log_event("draining", busy=listener.busy)
    slack_s = min(KILL_SLACK_S, KILL_SLACK_FRACTION * grace_s)
    end_s = began_s + grace_s - slack_s
    balanced_s = min(READINESS_DELAY_S, grace_s / 2)
    window.begin(end_s, began_s + balanced_s)
    await asyncio.sleep(balanced_s)
    listener.stop()
    await _wait_settled(listener, end_s)
    # Connections accepted last may bring requests that are not counted yet.
    window.close()
    log_event("drained", busy=listener.busy, unsent_bytes=listener.unsent_bytes)
    if listener.busy:
        await listener.end_calls()
    await _wait_settled(listener, end_s + EXIT_SLACK_FRACTION * slack_s)
    if listener.unsent_bytes:
        log_event("answers-not-sent", unsent_bytes=listener.unsent_bytes)


async def _wait_settled(listener: EntryListener, until_s: float) -> None:
    """Close connections until none is left with a request or with bytes that are not sent."""
    settled_polls = 0
    while read_boot_time_s() < until_s:
        listener.close_idle()
        settled_polls = settled_polls + 1 if listener.settled else 0
        if settled_polls >= SETTLED_POLLS:
            return
        await asyncio.sleep(POLL_S)
