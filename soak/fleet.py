"""The processes, proxies and stand-ins of a run, and how each fault is applied to them."""

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
from soak.check import STOP_GRACE_S
from soak.plan import Mode, Size
from soak.record import NO_INSTANCE, Disturbance, KeyChange, Leaving, Record, Stop
from soak.rules import build_rules
from soak.slowcaller import build_soak_routes
from soak.storereturn import StoreReturns
from soak.upstream import SoakUpstream
from standin.entryconfig import KEY, build_config, format_settings
from standin.entryprocess import signal_entry, start_entry
from standin.port import find_free_ports
from standin.proxy import Proxy
from standin.rowstore import Fault, RowStoreServer

CALLERS_PER_INSTANCE = 3
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
# A process that has not ended by then is killed.
STOP_TIMEOUT_S = STOP_GRACE_S + 4.0
SERVICE = "desk"
DEADLY_DOWN_S = 1.5


class InstanceProcess:
    """Holds one instance: its ports, settings, process and callers."""

    def __init__(self, number: int, domain: str, folder: Path):
        self.number = number
        self.name = f"entry-{number}"
        self.domain = domain
        self.ports = find_free_ports(4)
        self.lifetime = 0
        self.restart_lock = asyncio.Lock()
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
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            signal_entry(self.process, number)


class SoakFleet:
    """Runs the instances, upstreams, store, proxies and callers of one run on loopback."""

    def __init__(
        self, size: Size, record: Record, folder: Path, seed: int, *, names_era: bool = False
    ):
        self._record = record
        self._rng = random.Random(seed)
        self._seed = seed
        self.store = RowStoreServer()
        self.store.era = 1 if names_era else None
        self._store_returns = StoreReturns(self.store, record)
        self.proxies: dict[str, Proxy] = {}
        self._proxy_servers: dict[str, asyncio.Server] = {}
        self.instances = [
            InstanceProcess(number, size.domains[number % len(size.domains)], folder)
            for number in range(size.instances)
        ]
        self._domains = size.domains
        self.upstreams = [
            SoakUpstream(f"u{number}", record, self._end_upstream)
            for number in range(size.upstreams)
        ]
        self._restarts: dict[int, asyncio.Task[None]] = {}
        self._link_ports: dict[str, int] = {}
        self._generations = [0] * size.upstreams
        self._config_version = 1
        self._second_key_present = False
        self._caller_tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start everything but the callers and wait until every instance is ready."""
        await self.store.start()
        self._write_config()
        for number, upstream in enumerate(self.upstreams):
            await upstream.server.start()
            await self._open_link(f"upstream-{number}", upstream.server.address)
            self._write_upstream(number, "ready")
        seed_address = f"127.0.0.1:{self.instances[0].ports[2]}"
        for instance in self.instances:
            store_address = await self._open_link(f"store-{instance.number}", self.store.address)
            caller_address = await self._open_link(
                f"caller-{instance.number}", f"127.0.0.1:{instance.ports[0]}"
            )
            text = format_settings(
                instance.name,
                instance.domain,
                store_address,
                instance.ports,
                [seed_address],
                STOP_GRACE_S,
            )
            instance.settings.write_text(text, encoding="utf-8")
            for number in range(CALLERS_PER_INSTANCE):
                instance.callers.append(
                    SoakCaller(
                        f"c{instance.number}{number}",
                        instance.number,
                        f"http://{caller_address}",
                        self._record,
                        random.Random(self._rng.random()),
                    )
                )
            await instance.start()
        async with aiohttp.ClientSession() as http, asyncio.timeout(START_TIMEOUT_S):
            for instance in self.instances:
                while not await _is_ready(http, instance):
                    await asyncio.sleep(POLL_INTERVAL_S)

    def start_callers(self) -> None:
        """Start the traffic."""
        for instance in self.instances:
            for caller in instance.callers:
                self._caller_tasks.append(asyncio.create_task(caller.run()))

    async def stop_callers(self) -> None:
        """Stop the traffic and wait for the last requests."""
        for instance in self.instances:
            for caller in instance.callers:
                caller.stopping = True
        await asyncio.gather(*self._caller_tasks)

    async def close(self) -> None:
        """Stop the callers and processes of this run, then the stand-ins."""
        await cancel_tasks([*self._caller_tasks, *self._restarts.values()])
        await asyncio.gather(*(self._stop_process(instance) for instance in self.instances))
        for server in self._proxy_servers.values():
            server.close()
        for upstream in self.upstreams:
            await upstream.server.close()
        await self.store.close()

    def record_deaths(self) -> None:
        """Record processes that ended by themselves."""
        for instance in self.instances:
            process = instance.process
            if process is None or process.returncode is None or instance.restart_lock.locked():
                continue
            self._record.deaths.append(
                f"{instance.name}, lifetime {instance.lifetime}, ended with {process.returncode}"
            )

    async def apply(self, fault: plan.Fault) -> None:
        """Apply a fault and end it after its duration."""
        began_s = time.monotonic()
        # Instances that the fault disturbs: None stands for all, an empty tuple for none.
        disturbed: tuple[int | None, ...] = (None,)
        match fault:
            case plan.StoreAway(kind, for_s):
                self.store.fault = Fault[kind]
                await asyncio.sleep(for_s)
                self.store.fault = None
            case plan.StoreCut(numbers, trouble, for_s):
                disturbed = numbers
                for number in numbers:
                    self.proxies[f"store-{number}"].set_rules(build_rules(trouble))
                await asyncio.sleep(for_s)
                for number in numbers:
                    self.proxies[f"store-{number}"].clear()
            case plan.StoreDeaf(for_s):
                self.store.feeds_stalled = True
                await asyncio.sleep(for_s)
                self.store.feeds_stalled = False
            case plan.StoreLate(by_s, for_s):
                self.store.delay_writes_s = by_s
                await asyncio.sleep(for_s)
                self.store.delay_writes_s = 0.0
            case plan.StoreForgets():
                self.store.forget_history()
            case plan.StoreReturns():
                disturbed = (NO_INSTANCE,)
                await self._store_returns.apply(fault)
            case plan.StoreClockJumps(by_s):
                self.store.clock_offset_s += by_s
            case plan.LinkFault(link, trouble, for_s):
                role, _, number = link.partition("-")
                disturbed = (NO_INSTANCE if role == "upstream" else int(number),)
                self.proxies[link].set_rules(build_rules(trouble))
                await asyncio.sleep(for_s)
                self.proxies[link].clear()
            case plan.Pause(number, for_s):
                disturbed = (number,)
                await self._pause(self.instances[number], for_s)
            case plan.Kill(number, down_s):
                disturbed = (number,)
                await self._kill(self.instances[number], down_s)
            case plan.Restart(number):
                disturbed = ()
                await self._restart(self.instances[number])
            case plan.Reload(number):
                disturbed = ()
                self.instances[number].signal(signal.SIGHUP)
            case plan.UpstreamFault(number, mode, for_s):
                disturbed = (NO_INSTANCE,)
                self.upstreams[number].mode = mode
                await asyncio.sleep(for_s)
                self.upstreams[number].mode = Mode.WELL
            case plan.UpstreamLeaves(number, down_s):
                disturbed = (NO_INSTANCE,)
                await self._replace_upstream(number, down_s)
            case plan.ToggleKey():
                disturbed = ()
                self._second_key_present = not self._second_key_present
                self._config_version += 1
                self._write_config()
                self._record.key_changes.append(
                    KeyChange(time.monotonic(), self._second_key_present)
                )
            case plan.Evacuate(domain, for_s):
                disturbed = (NO_INSTANCE,)
                self.store.put("op", f"evacuate/{domain}", {})
                await asyncio.sleep(for_s)
                self.store.drop("op", f"evacuate/{domain}")
            case plan.DeadlyPart(share, for_s):
                disturbed = ()
                self._set_deadly_share(share)
                await asyncio.sleep(for_s)
                self._set_deadly_share(0.0)
        self._record_disturbances(disturbed, began_s, type(fault).__name__)

    def end_faults(self) -> None:
        """End all faults, since overlapping ones may leave each other in force."""
        self.store.fault = None
        self.store.feeds_stalled = False
        self.store.delay_writes_s = 0.0
        for proxy in self.proxies.values():
            proxy.clear()
        for upstream in self.upstreams:
            upstream.mode = Mode.WELL
        for domain in self._domains:
            self.store.drop("op", f"evacuate/{domain}")
        for instance in self.instances:
            instance.signal(signal.SIGCONT)

    def _set_deadly_share(self, share: float) -> None:
        for instance in self.instances:
            for caller in instance.callers:
                caller.deadly_share = share

    def _record_disturbances(
        self, disturbed: tuple[int | None, ...], began_s: float, what: str
    ) -> None:
        ended_s = time.monotonic()
        for instance in disturbed:
            self._record.disturbances.append(Disturbance(instance, began_s, ended_s, what))

    async def _open_link(self, name: str, target: str) -> str:
        port = self._link_ports[name] = find_free_ports(1)[0]
        self.proxies[name] = Proxy(target, self._seed)
        await self._listen(name)
        return f"127.0.0.1:{port}"

    async def _listen(self, name: str) -> None:
        address = f"127.0.0.1:{self._link_ports[name]}"
        self._proxy_servers[name] = await self.proxies[name].serve(address)

    def _write_config(self) -> None:
        teams = [{"name": "yard", "apiKeys": [KEY], "prio": 1}]
        if self._second_key_present:
            teams.append({"name": "second", "apiKeys": [SECOND_KEY], "prio": 2})
        config = build_config(self._config_version, tenants=teams, routes=build_soak_routes())
        self.store.put("op", "config", config)

    def _write_upstream(self, number: int, state: str) -> None:
        upstream = self.upstreams[number]
        port = self._link_ports[f"upstream-{number}"]
        row = upstream.server.describe(
            SERVICE,
            address=f"127.0.0.1:{port}",
            az=self._domains[number % len(self._domains)],
            state=state,
            born=1_700_000_000_000 + self._generations[number],
        )
        self.store.put("servers", upstream.name, row)

    def _end_upstream(self, upstream: SoakUpstream) -> None:
        """End an upstream as a crash of its process does; it is back later, another incarnation."""
        number = self.upstreams.index(upstream)
        running = self._restarts.get(number)
        if running is not None and not running.done():
            return
        self._record.ends_s.append(time.monotonic())
        self._restarts[number] = asyncio.create_task(self._restart_upstream(number))

    async def _restart_upstream(self, number: int) -> None:
        link = f"upstream-{number}"
        began_s = time.monotonic()
        self._proxy_servers[link].close()
        self.proxies[link].drop_connections()
        await asyncio.sleep(DEADLY_DOWN_S)
        await self._listen(link)
        self._generations[number] += 1
        self._write_upstream(number, "ready")
        self._record_disturbances((NO_INSTANCE,), began_s, "end of an upstream")

    async def _pause(self, instance: InstanceProcess, for_s: float) -> None:
        instance.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        instance.signal(signal.SIGCONT)

    async def _kill(self, instance: InstanceProcess, down_s: float) -> None:
        async with instance.restart_lock:
            process = instance.process
            assert process is not None
            instance.signal(signal.SIGKILL)
            await process.wait()
            await asyncio.sleep(down_s)
            await instance.start()

    async def _restart(self, instance: InstanceProcess) -> None:
        async with instance.restart_lock:
            process, lifetime = instance.process, instance.lifetime
            assert process is not None
            began_s = time.monotonic()
            instance.signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    code = await process.wait()
            except TimeoutError:
                instance.signal(signal.SIGKILL)
                code = await process.wait()
            ended_s = time.monotonic()
            self._record.stops.append(Stop(instance.number, lifetime, began_s, ended_s, code))
            await instance.start()
            # Before this point the new process could not learn of changes.
            self._record.disturbances.append(
                Disturbance(instance.number, ended_s, time.monotonic(), "start")
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

    async def _stop_process(self, instance: InstanceProcess) -> None:
        process = instance.process
        if process is None or process.returncode is not None:
            return
        instance.signal(signal.SIGCONT)
        instance.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            instance.signal(signal.SIGKILL)
            await process.wait()
            self._record.deaths.append(f"{instance.name} did not end within {STOP_TIMEOUT_S} s")


async def _is_ready(http: aiohttp.ClientSession, instance: InstanceProcess) -> bool:
    try:
        async with http.get(f"http://127.0.0.1:{instance.ports[1]}/-/readyz") as answer:
            return answer.status == 200
    except aiohttp.ClientError:
        return False
