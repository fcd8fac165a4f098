"""The last phase of a run: instances are stopped in calm while slow callers use them."""

from __future__ import annotations

import asyncio
import random
import signal
import time

from jayyoke.scripts.drain import READINESS_DELAY_S
from soak.check import STOP_GRACE_S
from soak.fleet import InstanceProcess, SoakFleet
from soak.record import Record, Stop
from soak.slowcaller import Pace, SlowCaller
from soak.upstream import SLOW_EVENT_GAP_S

STOPPED_SHARE = 0.5
SLOW_CALLERS = 10
# Slow callers are there this long before SIGTERM; their streams are fast until then.
BEFORE_S = 1.5
# An instance that nobody uses gets a burst of connections as it stops to listen.
IDLE_SHARE = 0.5
BURST_CONNECTIONS = 10
BURST_DELAY_S = (-0.006, 0.001)
# The deadline lies within the grace.
BURST_PACE = Pace("long", deadline_s=2.0)
# A process that has not ended by then is killed.
KILL_AFTER_S = STOP_GRACE_S + 4.0
EXTRA_SIGNALS = (signal.SIGHUP, signal.SIGTERM)
EXTRA_SIGNAL_SHARE = 0.5


async def stop_in_calm(fleet: SoakFleet, record: Record, rng: random.Random) -> None:
    """Stop some instances at once and wait until their callers have ended."""
    count = max(1, int(len(fleet.instances) * STOPPED_SHARE))
    stops = []
    for instance in rng.sample(fleet.instances, count):
        slow_rng = random.Random(rng.random())
        url = f"http://127.0.0.1:{instance.ports[0]}"
        caller = SlowCaller(
            f"s{instance.number}", instance.number, instance.lifetime, url, record, slow_rng
        )
        stop = _stop_idle if rng.random() < IDLE_SHARE else _stop_busy
        stops.append(stop(fleet, instance, caller, record, rng))
    await asyncio.gather(*stops)


async def _stop_busy(
    fleet: SoakFleet,
    instance: InstanceProcess,
    caller: SlowCaller,
    record: Record,
    rng: random.Random,
) -> None:
    """Stop an instance whose streams slow down at that moment."""
    stopped = asyncio.Event()
    calls = [asyncio.create_task(caller.run_until(stopped)) for _ in range(SLOW_CALLERS)]
    await asyncio.sleep(BEFORE_S)
    for upstream in fleet.upstreams:
        upstream.long_event_gap_s = SLOW_EVENT_GAP_S
    await _terminate(instance, record, rng)
    stopped.set()
    await asyncio.gather(*calls)


async def _stop_idle(
    fleet: SoakFleet,
    instance: InstanceProcess,
    caller: SlowCaller,
    record: Record,
    rng: random.Random,
) -> None:
    """Stop an instance without requests in progress, and connect as it stops to listen."""
    for each in instance.callers:
        each.stopping = True
    await asyncio.sleep(BEFORE_S)
    began_s = time.monotonic()
    stopping = asyncio.create_task(_terminate(instance, record, rng))
    burst_s = began_s + READINESS_DELAY_S + rng.uniform(*BURST_DELAY_S)
    await asyncio.sleep(burst_s - time.monotonic())
    calls = (caller.call(BURST_PACE) for _ in range(BURST_CONNECTIONS))
    await asyncio.gather(stopping, *calls)


async def _terminate(instance: InstanceProcess, record: Record, rng: random.Random) -> None:
    """Send SIGTERM, perhaps other signals later, and record when the process ended."""
    process = instance.process
    assert process is not None
    began_s = time.monotonic()
    instance.signal(signal.SIGTERM)
    timers = []
    if rng.random() < EXTRA_SIGNAL_SHARE:
        loop = asyncio.get_running_loop()
        for number in EXTRA_SIGNALS:
            timers.append(loop.call_later(rng.uniform(0.0, 5.0), instance.signal, number))
    try:
        async with asyncio.timeout(KILL_AFTER_S):
            code = await process.wait()
    except TimeoutError:
        instance.signal(signal.SIGKILL)
        code = await process.wait()
    for timer in timers:
        timer.cancel()
    record.stops.append(Stop(instance.number, instance.lifetime, began_s, time.monotonic(), code))
