"""Commands that take failure domains out of service and back."""

from __future__ import annotations

from typing import Annotated
from urllib.parse import quote

import typer

from jayyoke.scripts.client import Client
from jayyoke.scripts.session import (
    EXIT_DONE,
    EXIT_IN_PROGRESS,
    Session,
    read_duration,
    run,
    show,
    wait_until_in_force,
)
from jayyoke.scripts.table import format_changes, format_in_force, format_table

app = typer.Typer(
    help="Take failure domains out of service and back.",
    no_args_is_help=True,
    rich_markup_mode=None,
)

_Name = Annotated[str, typer.Argument(metavar="NAME", help="Name of the failure domain.")]
_Wait = Annotated[
    bool, typer.Option("--wait", help="Wait until it is in force at all live instances.")
]
_Timeout = Annotated[str, typer.Option(help="How long --wait waits.")]
_Force = Annotated[
    bool, typer.Option("--force", help="Accept a name that the instance does not know.")
]


@app.command()
def out(
    context: typer.Context,
    name: _Name,
    wait: _Wait = False,
    timeout: _Timeout = "30s",
    force: _Force = False,
) -> None:
    """Take a failure domain out: it receives no new work and drains."""
    _set_state(context.obj, name, "out", wait, read_duration(timeout), force)


@app.command()
def back(
    context: typer.Context,
    name: _Name,
    wait: _Wait = False,
    timeout: _Timeout = "30s",
    force: _Force = False,
) -> None:
    """Take a failure domain back: its upstreams return through slow start."""
    _set_state(context.obj, name, "back", wait, read_duration(timeout), force)


@app.command("list")
def show_domains(context: typer.Context) -> None:
    """Print the failure domains and their states."""
    session: Session = context.obj

    async def work(client: Client) -> int:
        body = await client.request("GET", "/v1/domains")
        rows = [(item["domain"], item["state"]) for item in body["domains"]]
        show(session, body, format_table(("domain", "state"), rows))
        return EXIT_DONE

    run(session, work)


def _set_state(
    session: Session, name: str, action: str, wait: bool, timeout_s: float, force: bool
) -> None:
    path = f"/v1/domains/{quote(name, safe='')}/{action}"
    if force:
        path += "?force=true"

    async def work(client: Client) -> int:
        body = await client.request("POST", path)
        if not wait:
            show(session, body, format_changes(body))
            return EXIT_DONE
        reached, names = await wait_until_in_force(client, body["version"], timeout_s)
        text = f"{format_changes(body)}\n{format_in_force(body['version'], names)}"
        show(session, body | {"in_force": reached, "unconfirmed": names}, text)
        return EXIT_DONE if reached else EXIT_IN_PROGRESS

    run(session, work)
