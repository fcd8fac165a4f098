"""Batched commits: one writer per failure domain commits the puts of its peers together."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from jayyoke.core.error import Conflict, Effect, PeerUnavailable, StoreUnavailable
from jayyoke.core.member import Member
from jayyoke.core.peering import Peers
from jayyoke.ops.rendezvous import rank
from jayyoke.platform.table import MAX_PUTS_PER_COMMIT, Put, Table
from jayyoke.wire.gen.ttypes import Commit, Committed, TablePut

BATCH_INTERVAL_S = 0.05
MAX_WAITING_GROUPS = 2000
MAX_BATCH_BYTES = 4 << 20
ASK_TIMEOUT_S = 2.0  # Longer than the table's own timeout of 1 s plus one batch interval.
COMMITTED, CONFLICT, NOT_COMMITTED, UNKNOWN = range(4)


@dataclass(slots=True)
class PutGroup:
    """Holds puts that are committed together and the future that their caller awaits."""

    puts: Sequence[Put]
    done: asyncio.Future[None]


class BatchWriter:
    """Commits puts through the domain's writer, or directly if it cannot be reached."""

    def __init__(self, table: Table, peers: Peers):
        self._table = table
        self._peers = peers
        self._waiting: list[PutGroup] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._scheduled = False
        peers.serve(Commit, self._serve)

    async def commit(self, puts: Sequence[Put]) -> None:
        """Write all puts or none; raise Conflict, or StoreUnavailable with its effect."""
        writer = self._choose_writer()
        if writer == self._peers.me.name:
            return await self._enqueue(puts)
        message = Commit([TablePut(put.key, put.value, put.expect) for put in puts])
        try:
            answer = await self._peers.ask(writer, message, ASK_TIMEOUT_S)
        except PeerUnavailable as error:
            if not error.sent:
                return await self._table.commit(puts)
            raise StoreUnavailable(f"writer {writer} lost", Effect.UNKNOWN) from error
        return _raise_result(answer, len(puts))

    def _choose_writer(self) -> str:
        domain = self._peers.me.domain
        names = [member.name for member in self._peers.members() if member.domain == domain]
        return rank(f"writer|{domain}", names or [self._peers.me.name])[0]

    async def _serve(self, sender: Member, message: Commit) -> Committed:
        puts = [Put(put.key, put.value, put.expect) for put in message.puts or ()]
        if not puts or len(puts) > MAX_PUTS_PER_COMMIT:
            return Committed(NOT_COMMITTED, [])
        try:
            await self._enqueue(puts)
        except Conflict as error:
            return Committed(CONFLICT, list(error.indexes))
        except StoreUnavailable as error:
            return Committed(NOT_COMMITTED if error.effect is Effect.NONE else UNKNOWN, [])
        return Committed(COMMITTED, [])

    async def _enqueue(self, puts: Sequence[Put]) -> None:
        if len(self._waiting) >= MAX_WAITING_GROUPS:
            raise StoreUnavailable(f"{MAX_WAITING_GROUPS} commits wait already")
        loop = asyncio.get_running_loop()
        group = PutGroup(puts, loop.create_future())
        self._waiting.append(group)
        if not self._scheduled:
            self._scheduled = True
            loop.call_later(BATCH_INTERVAL_S, self._flush)
        await group.done

    def _flush(self) -> None:
        batch = self._take_batch()
        self._scheduled = bool(self._waiting)
        if self._scheduled:
            asyncio.get_running_loop().call_later(BATCH_INTERVAL_S, self._flush)
        task = asyncio.get_running_loop().create_task(self._commit_batch(batch))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _take_batch(self) -> list[PutGroup]:
        """Remove and return waiting groups that fit into one commit and share no key."""
        batch: list[PutGroup] = []
        remaining: list[PutGroup] = []
        keys: set[str] = set()
        puts = size = 0
        for group in self._waiting:
            group_keys = {put.key for put in group.puts}
            group_size = sum(len(put.value or b"") for put in group.puts)
            fits = puts + len(group.puts) <= MAX_PUTS_PER_COMMIT
            fits = fits and (not batch or size + group_size <= MAX_BATCH_BYTES)
            if not fits or keys & group_keys:
                remaining.append(group)
                # Later groups of the same keys must not overtake this one.
                keys |= group_keys
                continue
            batch.append(group)
            keys |= group_keys
            puts += len(group.puts)
            size += group_size
        self._waiting = remaining
        return batch

    async def _commit_batch(self, batch: list[PutGroup]) -> None:
        while batch:
            try:
                await self._table.commit([put for group in batch for put in group.puts])
            except Conflict as error:
                batch = _drop_conflicts(batch, error.indexes)
                continue
            except StoreUnavailable as error:
                for group in batch:
                    _fail(group, StoreUnavailable(str(error), error.effect))
                return
            except BaseException:
                for group in batch:
                    _fail(group, StoreUnavailable("batch was interrupted", Effect.UNKNOWN))
                raise
            for group in batch:
                if not group.done.done():
                    group.done.set_result(None)
            return


def _drop_conflicts(batch: list[PutGroup], indexes: Sequence[int]) -> list[PutGroup]:
    """Fail the groups whose conditions did not hold and return the others."""
    conflicts = set(indexes)
    remaining = []
    start = 0
    for group in batch:
        failed = [index for index in range(len(group.puts)) if start + index in conflicts]
        start += len(group.puts)
        if failed:
            _fail(group, Conflict(failed))
            continue
        remaining.append(group)
    return remaining


def _fail(group: PutGroup, error: Exception) -> None:
    if not group.done.done():
        group.done.set_exception(error)


def _raise_result(answer: Committed, count: int) -> None:
    match getattr(answer, "status", None):
        case 0:
            return
        case 1:
            indexes = [index for index in answer.conflicts or () if 0 <= index < count]
            raise Conflict(indexes)
        case 2:
            raise StoreUnavailable("the writer did not commit")
        case _:
            raise StoreUnavailable("the writer does not know the effect", Effect.UNKNOWN)
