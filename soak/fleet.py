"""The processes, proxies and stand-ins of a run, and how each fault is put on them."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from pathlib import Path

import aiohttp

from jayyoke.utils.task import cancel_tasks
from soak import plan
from soak.caller import SECOND_KEY, SoakCaller
from soak.plan import Mode, Size, Trouble
from soak.promise import GRACE_S
from soak.record import NO_INSTANCE, Disturbance, KeyChange, Leaving, Record, Stop
from soak.upstream import SoakUpstream
from standin.entryconfig import KEY, build_config, format_settings
from standin.entryprocess import start_entry
from standin.port import find_free_ports
from standin.proxy import Proxy, Rules
from standin.rowstore import Fault, RowStoreStandin

CALLERS_PER_INSTANCE = 3
START_TIMEOUT_S = 30.0
LOOK_S = 0.05
# A process of the run that is not gone by then is killed.
STOP_TIMEOUT_S = GRACE_S + 4.0
SERVICE = "desk"
LONG_DELAY_S = 0.3


def build_rules(trouble: Trouble) -> Rules:
    """Return the proxy's rules for a trouble."""
    match trouble:
        case Trouble.DELAY:
            return Rules(delay_s=0.02, jitter_s=LONG_DELAY_S)
        case Trouble.RESET:
            return Rules(drop_connections=True)
        case Trouble.SILENT:
            return Rules(silence=True)
        case Trouble.ONE_WAY:
            return Rules(silence_answers=True)
        case Trouble.OLD_SILENT:
            return Rules(silence_old_only=True)
        case Trouble.BREAKS:
            return Rules(break_share=0.2)
        case Trouble.REFUSED:
            return Rules(refuse=True)


class Member:
    """Holds one instance: its ports, settings and process."""

    def __init__(self, number: int, domain: str, folder: Path):
        self.number = number
        self.name = f"entry-{number}"
        self.domain = domain
        self.ports = find_free_ports(4)
        self.lifetime = 0
        self.busy = asyncio.Lock()
        self.process: asyncio.subprocess.Process | None = None
        self.settings = folder / f"{self.name}.toml"
        self.log = folder / f"{self.name}.log"
        self.callers: list[SoakCaller] = []

    async def start(self) -> None:
        """Start the process."""
        self.lifetime += 1
        for caller in self.callers:
            caller.lifetime = self.lifetime
        with self.log.open("ab") as log:
            self.process = await start_entry(self.settings, self.ports[3], stdout=log, stderr=log)

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it lives."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class SoakFleet:
    """Runs the parts of one run on loopback."""

    def __init__(self, size: Size, record: Record, folder: Path, seed: int):
        self._record = record
        self._source = random.Random(seed)
        self._seed = seed
        self.store = RowStoreStandin()
        self.proxies: dict[str, Proxy] = {}
        self._servers: list[asyncio.Server] = []
        self.members = [
            Member(number, size.domains[number % len(size.domains)], folder)
            for number in range(size.instances)
        ]
        self._domains = size.domains
        self.upstreams = [SoakUpstream(f"u{number}", record) for number in range(size.upstreams)]
        self._generations = [0] * size.upstreams
        self._version = 1
        self._second_key = False
        self._calls: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all parts and wait until every instance is ready."""
        await self.store.start()
        self._write_config()
        for number, upstream in enumerate(self.upstreams):
            await upstream.server.start()
            await self._open_link(f"upstream-{number}", upstream.server.address)
            self._write_upstream(number, "ready")
        seed_address = f"127.0.0.1:{self.members[0].ports[2]}"
        for member in self.members:
            store = await self._open_link(f"store-{member.number}", self.store.address)
            caller = await self._open_link(
                f"caller-{member.number}", f"127.0.0.1:{member.ports[0]}"
            )
            text = format_settings(
                member.name, member.domain, store, member.ports, [seed_address], GRACE_S
            )
            member.settings.write_text(text, encoding="utf-8")
            for number in range(CALLERS_PER_INSTANCE):
                member.callers.append(
                    SoakCaller(
                        f"c{member.number}{number}",
                        member.number,
                        f"http://{caller}",
                        self._record,
                        random.Random(self._source.random()),
                    )
                )
            await member.start()
        async with aiohttp.ClientSession() as http, asyncio.timeout(START_TIMEOUT_S):
            for member in self.members:
                while not await _is_ready(http, member):
                    await asyncio.sleep(LOOK_S)

    def start_callers(self) -> None:
        """Begin the traffic."""
        for member in self.members:
            for caller in member.callers:
                self._calls.append(asyncio.create_task(caller.run()))

    async def stop_callers(self) -> None:
        """End the traffic."""
        for member in self.members:
            for caller in member.callers:
                caller.stopping = True
        await asyncio.gather(*self._calls)

    async def close(self) -> None:
        """End the callers and processes of this run, then the stand-ins."""
        await cancel_tasks(self._calls)
        await asyncio.gather(*(self._end(member) for member in self.members))
        for server in self._servers:
            server.close()
        for upstream in self.upstreams:
            await upstream.server.close()
        await self.store.close()

    def note_deaths(self) -> None:
        """Record processes that ended by themselves."""
        for member in self.members:
            process = member.process
            if process is None or process.returncode is None or member.busy.locked():
                continue
            self._record.deaths.append(
                f"{member.name}, lifetime {member.lifetime}, ended with {process.returncode}"
            )

    async def apply(self, fault: plan.Fault) -> None:
        """Put a fault on and take it off after its time."""
        began_s = time.monotonic()
        # Whom the fault disturbs: each instance unless a case says otherwise, () for nobody.
        instances: tuple[int | None, ...] = (None,)
        match fault:
            case plan.StoreAway(kind, for_s):
                self.store.fault = Fault[kind]
                await asyncio.sleep(for_s)
                self.store.fault = None
            case plan.StoreCut(cut, trouble, for_s):
                instances = cut
                for number in cut:
                    self.proxies[f"store-{number}"].set_rules(build_rules(trouble))
                await asyncio.sleep(for_s)
                for number in cut:
                    self.proxies[f"store-{number}"].clear()
            case plan.StoreDeaf(for_s):
                self.store.deaf = True
                await asyncio.sleep(for_s)
                self.store.deaf = False
            case plan.StoreLate(by_s, for_s):
                self.store.delay_writes_s = by_s
                await asyncio.sleep(for_s)
                self.store.delay_writes_s = 0.0
            case plan.StoreForgets():
                self.store.forget_history()
            case plan.StoreClockJumps(by_s):
                self.store.clock_offset_s += by_s
            case plan.LinkFault(link, trouble, for_s):
                role, _, number = link.partition("-")
                instances = (NO_INSTANCE if role == "upstream" else int(number),)
                self.proxies[link].set_rules(build_rules(trouble))
                await asyncio.sleep(for_s)
                self.proxies[link].clear()
            case plan.Pause(number, for_s):
                instances = (number,)
                await self._pause(self.members[number], for_s)
            case plan.Kill(number, down_s):
                instances = (number,)
                await self._kill(self.members[number], down_s)
            case plan.Restart(number):
                instances = ()
                await self._restart(self.members[number])
            case plan.Reload(number):
                instances = ()
                self.members[number].signal(signal.SIGHUP)
            case plan.UpstreamFault(number, mode, for_s):
                instances = (NO_INSTANCE,)
                self.upstreams[number].mode = mode
                await asyncio.sleep(for_s)
                self.upstreams[number].mode = Mode.WELL
            case plan.UpstreamLeaves(number, down_s):
                instances = (NO_INSTANCE,)
                await self._replace_upstream(number, down_s)
            case plan.ToggleKey():
                instances = ()
                self._second_key = not self._second_key
                self._version += 1
                self._write_config()
                self._record.key_changes.append(KeyChange(time.monotonic(), self._second_key))
            case plan.Evacuate(domain, for_s):
                instances = (NO_INSTANCE,)
                self.store.put("op", f"evacuate/{domain}", {})
                await asyncio.sleep(for_s)
                self.store.drop("op", f"evacuate/{domain}")
        self._disturb(instances, began_s, type(fault).__name__)

    def heal(self) -> None:
        """End what overlapping faults may have left behind."""
        self.store.fault = None
        self.store.deaf = False
        self.store.delay_writes_s = 0.0
        for proxy in self.proxies.values():
            proxy.clear()
        for upstream in self.upstreams:
            upstream.mode = Mode.WELL
        for domain in self._domains:
            self.store.drop("op", f"evacuate/{domain}")
        for member in self.members:
            member.signal(signal.SIGCONT)

    def _disturb(self, instances: tuple[int | None, ...], began_s: float, what: str) -> None:
        ended_s = time.monotonic()
        for instance in instances:
            self._record.disturbances.append(Disturbance(instance, began_s, ended_s, what))

    async def _open_link(self, name: str, target: str) -> str:
        port = find_free_ports(1)[0]
        proxy = self.proxies[name] = Proxy(target, self._seed)
        self._servers.append(await proxy.serve(f"127.0.0.1:{port}"))
        return f"127.0.0.1:{port}"

    def _write_config(self) -> None:
        teams = [{"name": "yard", "apiKeys": [KEY], "prio": 1}]
        if self._second_key:
            teams.append({"name": "second", "apiKeys": [SECOND_KEY], "prio": 2})
        self.store.put("op", "config", build_config(self._version, tenants=teams))

    def _write_upstream(self, number: int, state: str) -> None:
        upstream = self.upstreams[number]
        port = self._find_link_port(f"upstream-{number}")
        row = upstream.server.describe(
            SERVICE,
            address=f"127.0.0.1:{port}",
            az=self._domains[number % len(self._domains)],
            state=state,
            born=1_700_000_000_000 + self._generations[number],
        )
        self.store.put("servers", upstream.name, row)

    def _find_link_port(self, link: str) -> int:
        index = list(self.proxies).index(link)
        return self._servers[index].sockets[0].getsockname()[1]

    async def _pause(self, member: Member, for_s: float) -> None:
        member.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        member.signal(signal.SIGCONT)

    async def _kill(self, member: Member, down_s: float) -> None:
        async with member.busy:
            process = member.process
            assert process is not None
            member.signal(signal.SIGKILL)
            await process.wait()
            await asyncio.sleep(down_s)
            await member.start()

    async def _restart(self, member: Member) -> None:
        async with member.busy:
            process, lifetime = member.process, member.lifetime
            assert process is not None
            began_s = time.monotonic()
            member.signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    code = await process.wait()
            except TimeoutError:
                member.signal(signal.SIGKILL)
                code = await process.wait()
            ended_s = time.monotonic()
            self._record.stops.append(Stop(member.number, lifetime, began_s, ended_s, code))
            await member.start()
            # The new process learns of changes only from here on.
            self._record.disturbances.append(
                Disturbance(member.number, ended_s, time.monotonic(), "start")
            )

    async def _replace_upstream(self, number: int, down_s: float) -> None:
        upstream = self.upstreams[number]
        name = upstream.name
        self._write_upstream(number, "draining")
        self._record.leavings.append(Leaving(name, time.monotonic()))
        await asyncio.sleep(down_s)
        self.store.drop("servers", name)
        self._generations[number] += 1
        upstream.name = f"u{number}-{self._generations[number]}"
        self._write_upstream(number, "ready")

    async def _end(self, member: Member) -> None:
        process = member.process
        if process is None or process.returncode is not None:
            return
        member.signal(signal.SIGCONT)
        member.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            member.signal(signal.SIGKILL)
            await process.wait()
            self._record.deaths.append(f"{member.name} did not end within {STOP_TIMEOUT_S} s")


async def _is_ready(http: aiohttp.ClientSession, member: Member) -> bool:
    try:
        async with http.get(f"http://127.0.0.1:{member.ports[1]}/-/readyz") as answer:
            return answer.status == 200
    except aiohttp.ClientError:
        return False
