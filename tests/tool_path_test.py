"""Tests the command-line tool against real processes."""

from __future__ import annotations

import asyncio
import json

from typer.testing import CliRunner

from jayyoke.scripts import tool
from standin.deployment import DEPLOYMENTS
from standin.fleet import EXAMPLES, OPERATOR_KEY, run_fleet


class TestToolPath:
    def test_change_is_reported_in_force_at_every_instance(self):
        """Guards against a wait that ends before instances of other domains have the change."""

        async def run() -> None:
            async with run_fleet(DEPLOYMENTS["tapir-ridge"], apply_example=False) as fleet:
                urls = " ".join(instance.operator_url for instance in fleet.instances)
                environment = {"JAYYOKE_INSTANCES": urls, "JAYYOKE_OPERATOR_KEY": OPERATOR_KEY}

                async def call(*arguments: str) -> dict:
                    result = await asyncio.to_thread(
                        CliRunner().invoke, tool.app, ["--json", *arguments], env=environment
                    )
                    assert result.exit_code == 0, result.output
                    return json.loads(result.output)

                example = str(EXAMPLES / "tapir-ridge.yaml")
                assert (await call("apply", example, "--wait"))["in_force"]
                assert (await call("domain", "out", "cr-central-b", "--wait"))["in_force"]
                status = await call("status")
                assert [item["configuration"] for item in status["instances"]] == [2] * 6

        asyncio.run(run())
