"""Commands for version moves."""

from __future__ import annotations

from typing import Annotated, Any
from urllib.parse import quote

import typer
import yaml

from jayyoke.scripts.client import Client
from jayyoke.scripts.session import EXIT_DONE, Session, read_duration, run, show
from jayyoke.scripts.table import format_table

app = typer.Typer(help="Move services to versions.", no_args_is_help=True, rich_markup_mode=None)


@app.callback()
def _group() -> None:
    """Move services to versions."""


@app.command()
def start(
    context: typer.Context,
    service: Annotated[str, typer.Argument(metavar="SERVICE", help="Name of the service.")],
    version: Annotated[str, typer.Argument(metavar="VERSION", help="Version in the weight store.")],
    deadline: Annotated[str, typer.Option(help="Finish or roll back within this time.")],
    again: Annotated[
        bool, typer.Option("--again", help="Start once more after a move to it has ended.")
    ] = False,
) -> None:
    """Move a service to a version; the same command again finds the same move."""
    session: Session = context.obj
    deadline_s = read_duration(deadline)
    body = {"service": service, "version": version, "deadline": deadline_s, "again": again}

    async def work(client: Client) -> int:
        answer = await client.request("POST", "/v1/moves", body)
        show(session, answer, _format_moves(answer))
        return EXIT_DONE

    run(session, work)


@app.command()
def stop(
    context: typer.Context,
    move_id: Annotated[str, typer.Argument(metavar="ID", help="Move to stop and take back.")],
) -> None:
    """Stop a version everywhere at once and take its move back; works during an outage too."""
    session: Session = context.obj

    async def work(client: Client) -> int:
        answer = await client.request("POST", f"/v1/moves/{quote(move_id, safe='')}/stop")
        show(session, answer, _format_moves(answer))
        return EXIT_DONE

    run(session, work)


def show_moves(
    context: typer.Context,
    move_id: Annotated[str, typer.Argument(metavar="ID", help="One move; all by default.")] = "",
) -> None:
    """Print version moves."""
    session: Session = context.obj
    path = f"/v1/moves/{quote(move_id, safe='')}" if move_id else "/v1/moves"

    async def work(client: Client) -> int:
        answer = await client.request("GET", path)
        show(session, answer, _format_moves(answer))
        return EXIT_DONE

    run(session, work)


def _format_moves(answer: Any) -> str:
    if "moves" not in answer:
        return yaml.safe_dump(answer, sort_keys=False).rstrip()
    rows = []
    for move in answer["moves"]:
        rows.append(
            (move["id"], move["service"], move["new_version"], move["state"], move["share"])
        )
    return format_table(("id", "service", "version", "state", "share"), rows)
