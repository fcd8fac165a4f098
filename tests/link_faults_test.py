"""Tests of connections that go silent and answers that are truncated or reordered."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import replace

import pytest

from standin.deployment import DEPLOYMENTS
from standin.enginemodel import generate_token
from standin.faultyfleet import FaultyFleet, FleetSession, wait_until
from standin.fleet import load_example
from standin.proxy import Rules

DEPLOYMENT = replace(DEPLOYMENTS["ballenticket"], engine_count=3, instances_per_domain=1)
SILENT = Rules(silence_old_only=True)
TOKENS = 150
# 1.5 s until a stream counts as silent, 0.75 s for a new connection, 1.5 s of tokens; doubled.
RESUMED_WITHIN_S = 8.0
IN_FORCE_WITHIN_S = 9.0


@pytest.fixture(scope="module")
def session() -> Iterator[FleetSession]:
    with FleetSession(DEPLOYMENT) as session:
        yield session


def expect_text(chat: str, tokens: int) -> str:
    """Return the text that every engine generates for a chat."""
    prompt = f"user question of {chat}"
    return "".join(generate_token(prompt, position) for position in range(tokens))


class TestEngineStreams:
    def test_silent_streams_resume_without_a_lost_or_doubled_token(self, session):
        """Guards against streams that end, hang or repeat tokens when connections go silent."""

        async def test(fleet: FaultyFleet) -> None:
            chats = [f"silent-{n}" for n in range(6)]
            instances = fleet.fleet.instances
            calls = [
                asyncio.create_task(fleet.send_chat(instances[n % 3], chat, TOKENS))
                for n, chat in enumerate(chats)
            ]
            await asyncio.sleep(0.5)
            await fleet.set_rules(SILENT, "engine.")
            for chat, reply in zip(chats, await asyncio.gather(*calls), strict=True):
                assert (reply.status, reply.text) == (200, expect_text(chat, TOKENS))
                assert reply.took_s < RESUMED_WITHIN_S

        session.run(test)

    def test_truncated_streams_are_completed(self, session):
        """Guards against an answer that ends where its connection was cut."""

        async def test(fleet: FaultyFleet) -> None:
            instance = fleet.fleet.instances[0]
            # Each engine connection breaks after some 20 of the 40 tokens.
            await fleet.set_rules(Rules(truncate_after_bytes=4000), "engine.")
            reply = await fleet.send_chat(instance, "truncated", 40)
            assert (reply.status, reply.text) == (200, expect_text("truncated", 40))

        session.run(test)

    def test_overtaking_answers_reach_their_own_callers(self, session):
        """Guards against crossed answers when chunks of connections overtake each other (P5)."""

        async def test(fleet: FaultyFleet) -> None:
            await fleet.set_rules(Rules(reorder=True, jitter_s=0.02))
            chats = [f"crossed-{n}" for n in range(12)]
            instances = fleet.fleet.instances
            chat_calls = [fleet.send_chat(instances[n % 3], chat) for n, chat in enumerate(chats)]
            once_calls = [
                fleet.send_work(instances[n % 3], "once", chat, chat)
                for n, chat in enumerate(chats)
            ]
            replies = await asyncio.gather(*chat_calls, *once_calls)
            for chat, reply, work in zip(chats, replies[:12], replies[12:], strict=True):
                assert (reply.status, reply.text) == (200, expect_text(chat, 8))
                assert work.status == 200
                assert work.body["path"] == f"/{chat}"
            runs = await fleet.count_runs()
            assert [runs[chat] for chat in chats] == [1] * len(chats)

        session.run(test)


class TestPlainServices:
    def test_silent_connections_to_a_plain_service_are_replaced(self, session):
        """Guards against lookups that fail on silent connections, and once-only work run twice."""

        async def test(fleet: FaultyFleet) -> None:
            instances = fleet.fleet.instances
            for instance in instances:
                assert (await fleet.send_work(instance, "lookup", "warm")).status == 200
            await fleet.set_rules(SILENT, "plain.")
            for n, instance in enumerate(instances):
                assert (await fleet.send_work(instance, "lookup", f"quiet-{n}")).status == 200
                assert (
                    await fleet.send_work(instance, "once", "stamp", f"quiet-{n}")
                ).status == 200
            runs = await fleet.count_runs()
            assert [runs[f"quiet-{n}"] for n in range(3)] == [1, 1, 1]

        session.run(test)

    def test_truncated_answers_are_never_passed_on(self, session):
        """Guards against passing on half an answer as complete, and a false not-run (P5, P6)."""

        async def test(fleet: FaultyFleet) -> None:
            await fleet.set_rules(Rules(truncate_after_bytes=200), "plain.")
            instance = fleet.fleet.instances[1]
            reply = await fleet.send_work(instance, "once", "cut", "cut-1")
            assert reply.status != 200
            assert reply.run_state == "unknown"
            await fleet.clear()
            again = await fleet.send_work(instance, "once", "cut", "cut-1")
            assert again.run_state != "not-run"
            assert (await fleet.count_runs())["cut-1"] == 1

        session.run(test)


class TestTableConnections:
    def test_silent_table_connections_are_replaced(self, session):
        """Guards against once-only work that keeps failing on a silent pooled connection."""

        async def test(fleet: FaultyFleet) -> None:
            instance = fleet.fleet.instances[0]
            await fleet.set_rules(SILENT, "platform.table")

            async def is_stamped() -> bool:
                reply = await fleet.send_work(instance, "once", "stamp", "table-quiet")
                return reply.status == 200

            await wait_until(is_stamped)
            assert (await fleet.count_runs())["table-quiet"] == 1

        session.run(test)


class TestPeerLinks:
    def test_slow_links_refuse_no_chat_of_an_idle_fleet(self, session):
        """Guards against stewards that count as unreachable because they answer after 50 ms."""

        async def test(fleet: FaultyFleet) -> None:
            await fleet.set_rules(Rules(delay_s=0.05), "peer.")
            instances = fleet.fleet.instances
            chats = [fleet.send_chat(instances[n % 3], f"slow-{n}") for n in range(12)]
            assert [reply.status for reply in await asyncio.gather(*chats)] == [200] * 12

        session.run(test)

    def test_silent_links_are_replaced(self, session):
        """Guards against an instance that misses a change because its links went silent."""

        async def test(fleet: FaultyFleet) -> None:
            accepting, *others = fleet.fleet.instances
            for other in others:
                await fleet.partition_platform(fleet.find_source(other))
            await fleet.set_rules(SILENT, "peer.")
            document = load_example(DEPLOYMENT.name)
            document["classes"]["weight-check"]["repeat"] = 1
            reply = await fleet.call_operators(accepting, "PUT", "/v1/configuration", document)
            assert reply.status == 200
            version = reply.body["version"]

            async def is_everywhere() -> bool:
                versions = await fleet.read_versions()
                return min(versions.values()) >= version

            await wait_until(is_everywhere, IN_FORCE_WITHIN_S)

        session.run(test)
