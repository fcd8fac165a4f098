"""Tests of the command-line tools, against operator servers of two instances."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import socket
from collections.abc import Iterator

import pytest
import yaml
from typer.testing import CliRunner, Result

from jayyoke.ops.changelog import ChangeLog
from jayyoke.ops.partrecord import EngineEnd
from jayyoke.scripts import daemon, tool
from standin.fleet import EXAMPLES
from tests.operator_fleet import KEY, FakeMoves, FakeTable, OperatorFleet

EXAMPLE = str(EXAMPLES / "ballenticket.yaml")


@pytest.fixture
def fleet() -> Iterator[OperatorFleet]:
    with OperatorFleet(("luzern-a", "luzern-b")) as running:
        yield running


def run_tool(
    fleet: OperatorFleet | None, *arguments: str, urls: str = "", key: str = KEY
) -> Result:
    if fleet is not None:
        urls = urls or " ".join(fleet.urls)
    environment = {"JAYYOKE_INSTANCES": urls or None, "JAYYOKE_OPERATOR_KEY": key or None}
    environment |= {"COLUMNS": "100", "TERMINAL_WIDTH": "100", "NO_COLOR": "1"}
    return CliRunner().invoke(tool.app, list(arguments), env=environment, prog_name="jayyoke")


@contextlib.contextmanager
def refuse_connections() -> Iterator[str]:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{bound.getsockname()[1]}"


class TestHelp:
    @pytest.mark.parametrize(
        "command",
        [
            "",
            "check",
            "apply",
            "show",
            "status",
            "domain",
            "domain out",
            "domain back",
            "domain list",
            "version start",
            "moves",
            "watch",
            "quarantine list",
            "quarantine clear",
        ],
    )
    def test_help_explains_every_command(self, command, snapshot):
        """Guards against a command or option without an explanation."""
        result = run_tool(None, *command.split(), "--help")
        assert (result.exit_code, result.output) == (0, snapshot)

    def test_help_explains_every_option_of_the_daemon(self, snapshot):
        """Guards against an option of the daemon without an explanation."""
        environment = {"COLUMNS": "100", "TERMINAL_WIDTH": "100", "NO_COLOR": "1"}
        result = CliRunner().invoke(daemon.app, ["--help"], env=environment, prog_name="jayyoked")
        assert (result.exit_code, result.output) == (0, snapshot)


class TestUsage:
    def test_check_lists_every_finding_without_an_instance(self, tmp_path, snapshot):
        """Guards against a check that needs an instance or misses a finding."""
        assert run_tool(None, "check", EXAMPLE, key="").exit_code == 0
        bad = tmp_path / "bad.yaml"
        bad.write_text("services: {pool: {protocol: engin, weight: 3}}\nclases: {}\n")
        result = run_tool(None, "check", str(bad), key="")
        assert (result.exit_code, result.output.replace(str(tmp_path), "")) == (2, snapshot)

    @pytest.mark.parametrize(
        ("arguments", "code"),
        [
            (("check", "/nonexistent.yaml"), 2),
            (("apply", EXAMPLE), 2),
            (("status",), 2),
            (("apply", EXAMPLE, "--timeout", "soon"), 2),
            (("domain", "out"), 2),
            (("fly",), 2),
        ],
    )
    def test_bad_usage_has_its_own_exit_code(self, arguments, code):
        """Guards against scripts that cannot tell bad usage from a refusal."""
        assert run_tool(None, *arguments).exit_code == code

    def test_missing_or_wrong_key_is_named_in_the_message(self, fleet):
        """Guards against a traceback instead of a message about the key."""
        assert run_tool(fleet, "status", key="").exit_code == 2
        result = run_tool(fleet, "status", key="wrong")
        assert (result.exit_code, result.stderr) == (
            1,
            "refused: the operator key is missing or wrong\n",
        )

    def test_line_end_of_a_key_file_is_no_part_of_the_key(self, fleet, tmp_path):
        """Guards against a line end that becomes part of the key."""
        path = tmp_path / "key"
        path.write_text(f"{KEY}\n")
        assert run_tool(fleet, "--key-file", str(path), "domain", "list", key="").exit_code == 0


class TestApply:
    def test_output_of_apply_show_and_status_is_unchanged(self, fleet, snapshot):
        """Guards against output that changes unnoticed for scripts and operators."""
        assert run_tool(fleet, "apply", EXAMPLE).output == snapshot(name="first")
        assert run_tool(fleet, "apply", EXAMPLE).output == snapshot(name="again")
        assert run_tool(fleet, "show").output == snapshot(name="show")
        result = run_tool(fleet, "--json", "status")
        assert (result.exit_code, json.loads(result.output)["unconfirmed"]) == (1, ["luzern-b"])
        fleet.refresh(1)
        result = run_tool(fleet, "status")
        assert (result.exit_code, result.output.splitlines()[-1]) == (
            0,
            "version 1 is in force at all live instances",
        )

    def test_wait_names_instances_that_lag(self, fleet):
        """Guards against a change reported in force before every live instance has it."""
        result = run_tool(fleet, "--json", "apply", EXAMPLE, "--wait", "--timeout", "300ms")
        body = json.loads(result.output)
        assert (result.exit_code, body["in_force"]) == (4, False)
        assert body["unconfirmed"] == ["luzern-b"]
        fleet.refresh(1)
        assert run_tool(fleet, "apply", EXAMPLE, "--wait").exit_code == 0

    def test_shown_configuration_can_be_applied(self, fleet, tmp_path):
        """Guards against output of `show` that `apply` refuses or reads differently."""
        run_tool(fleet, "apply", EXAMPLE)
        path = tmp_path / "shown.yaml"
        path.write_text(run_tool(fleet, "show").output)
        result = run_tool(fleet, "--json", "apply", str(path))
        assert json.loads(result.output)["changed"] is False

    def test_bad_file_changes_nothing(self, fleet, tmp_path):
        """Guards against a file that is applied in part."""
        document = yaml.safe_load((EXAMPLES / "ballenticket.yaml").read_text())
        document["classes"]["stamp"]["repeat"] = 1
        path = tmp_path / "bad.yaml"
        path.write_text(yaml.safe_dump(document))
        assert run_tool(fleet, "apply", str(path)).exit_code == 2
        assert fleet.table.rows == {}

    def test_if_version_is_passed_on(self, fleet):
        """Guards against an apply that ignores --if-version."""
        assert run_tool(fleet, "apply", EXAMPLE, "--if-version", "3").exit_code == 1


class TestInstances:
    def test_next_instance_is_tried_after_a_dead_one(self, fleet):
        """Guards against one dead instance that locks operators out."""
        with refuse_connections() as url:
            result = run_tool(fleet, "apply", EXAMPLE, urls=f"{url} {fleet.urls[1]}")
        assert result.exit_code == 0

    def test_unreachable_fleet_has_its_own_exit_code(self):
        """Guards against an unreachable fleet that looks like a refusal."""
        with refuse_connections() as url:
            assert run_tool(None, "apply", EXAMPLE, urls=url).exit_code == 3
            assert run_tool(None, "status", urls=url).exit_code == 3
            assert run_tool(None, "watch", urls=url).exit_code == 3

    def test_change_without_the_table_is_refused(self, fleet):
        """Guards against reporting a change as made that was not recorded."""
        fleet.table.down = True
        assert run_tool(fleet, "apply", EXAMPLE).exit_code == 1

    def test_instance_without_the_table_is_passed_over(self, fleet):
        """Guards against a refusal while another instance still reaches the table."""
        cut_off = FakeTable()
        cut_off.down = True
        fleet.nodes[0].change_log = ChangeLog(cut_off)
        assert run_tool(fleet, "apply", EXAMPLE).exit_code == 0

    def test_unknown_effect_is_not_reported_as_no_change(self, fleet):
        """Guards against "was not made" from one instance when another may have made the change."""
        fleet.table.effect_unknown = True
        result = run_tool(fleet, "apply", EXAMPLE)
        assert (result.exit_code, "may have been made" in result.stderr) == (1, True)
        assert "was not made" not in result.stderr

    def test_request_is_repeated_after_a_lost_answer(self, fleet):
        """Guards against a change made twice, or reported lost, after its answer was lost."""

        async def start_relay_without_answers() -> tuple[asyncio.Server, str]:
            host, _, port = fleet.urls[0].rpartition("/")[2].rpartition(":")

            async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                upstream_reader, upstream = await asyncio.open_connection(host, int(port))
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(re.search(rb"Content-Length: (\d+)", head)[1])
                upstream.write(head + await reader.readexactly(size))
                await upstream_reader.readline()
                upstream.close()
                writer.close()

            server = await asyncio.start_server(relay, "127.0.0.1", 0)
            return server, f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"

        server, url = fleet.run_coroutine(start_relay_without_answers())
        result = run_tool(fleet, "--json", "apply", EXAMPLE, urls=f"{url} {fleet.urls[1]}")
        server.get_loop().call_soon_threadsafe(server.close)
        body = json.loads(result.output)
        assert (result.exit_code, body["version"], body["changed"]) == (0, 1, False)
        assert len(fleet.table.rows) == 1

    def test_status_merges_the_reports_of_all_instances(self, fleet):
        """Guards against unconfirmed versions in a region where no instance reaches all others."""
        fleet.hub.partition("luzern-a", "luzern-b")
        assert run_tool(fleet, "status").exit_code == 0
        assert run_tool(fleet, "status", urls=fleet.urls[0]).exit_code == 1


class TestDomain:
    def test_out_and_back_can_be_repeated(self, fleet, snapshot):
        """Guards against a domain command that is not safe to repeat."""
        run_tool(fleet, "apply", EXAMPLE)
        for action in ("out", "out", "back"):
            result = run_tool(fleet, "domain", action, "zug-c")
            assert (result.exit_code, result.output) == (0, snapshot)
        assert run_tool(fleet, "domain", "out", "zug-d").exit_code == 1
        assert run_tool(fleet, "domain", "list").output == snapshot


class TestQuarantine:
    """Tests the messages that are kept from engines, as operators see them."""

    def test_parts_are_listed_and_cleared(self, fleet, snapshot):
        """Guards against an operator who cannot see or end a quarantine."""
        quarantine = fleet.nodes[0].chat_parts.quarantine
        for number, at_s in enumerate((-2.0, -1.0)):
            quarantine.record_end(["pool/abc"], EngineEnd(f"e{number}", at_s))
        assert run_tool(fleet, "quarantine", "list").output == snapshot
        assert run_tool(fleet, "quarantine", "clear", "pool/abc").output == snapshot
        assert run_tool(fleet, "quarantine", "clear", "pool/abc").output == snapshot
        assert quarantine.list_quarantined() == []

    @pytest.mark.parametrize("part", ["", "k" * 5000])
    def test_part_that_cannot_be_is_refused(self, fleet, part):
        """Guards against a clearance that does nothing and says so to nobody."""
        result = run_tool(fleet, "quarantine", "clear", part)
        assert result.exit_code == 1
        assert "part is not a text" in result.output


class TestMove:
    START = ("version", "start", "jayyoke-pool", "v2", "--deadline", "10m")

    def test_instance_without_moves_is_an_error(self, fleet):
        """Guards against a tool that reports a move that nothing executes."""
        assert run_tool(fleet, *self.START).exit_code == 1
        assert run_tool(fleet, "moves", "x").exit_code == 1

    def test_repeated_start_shows_the_same_move(self, fleet, snapshot):
        """Guards against a repeated command that starts a second move."""
        run_tool(fleet, "apply", EXAMPLE)
        fleet.nodes[0].moves = FakeMoves()
        first = json.loads(run_tool(fleet, "--json", *self.START).output)
        assert json.loads(run_tool(fleet, "--json", *self.START).output)["id"] == first["id"]
        assert run_tool(fleet, "moves").output == snapshot
        assert run_tool(fleet, "moves", first["id"]).output.startswith(f"id: {first['id']}\n")
