"""Commands for version moves; instances refuse them until moves are built."""

from __future__ import annotations

import hashlib
from typing import Annotated
from urllib.parse import quote

import typer
import yaml

from jayyoke.scripts.client import Client
from jayyoke.scripts.session import EXIT_DONE, Session, read_duration, run, show

app = typer.Typer(
    help="Move services to versions (not built yet).", no_args_is_help=True, rich_markup_mode=None
)


@app.callback()
def _group() -> None:
    """Move services to versions (not built yet)."""


@app.command()
def start(
    context: typer.Context,
    service: Annotated[str, typer.Argument(metavar="SERVICE", help="Name of the service.")],
    version: Annotated[str, typer.Argument(metavar="VERSION", help="Version in the weight store.")],
    deadline: Annotated[str, typer.Option(help="Finish or roll back within this time.")],
    attempt: Annotated[
        int, typer.Option(help="Raise it to move to the same version once more.", min=1)
    ] = 1,
) -> None:
    """Move a service to a version; the same command again finds the same move."""
    session: Session = context.obj
    body = {
        "id": name_move(service, version, attempt),
        "service": service,
        "version": version,
        "deadline_s": read_duration(deadline),
    }

    async def work(client: Client) -> int:
        answer = await client.request("POST", "/v1/moves", body)
        show(session, answer, yaml.safe_dump(answer, sort_keys=False).rstrip())
        return EXIT_DONE

    run(session, work)


def show_moves(
    context: typer.Context,
    move_id: Annotated[str, typer.Argument(metavar="ID", help="One move; all by default.")] = "",
) -> None:
    """Print version moves (not built yet)."""
    session: Session = context.obj
    path = f"/v1/moves/{quote(move_id, safe='')}" if move_id else "/v1/moves"

    async def work(client: Client) -> int:
        answer = await client.request("GET", path)
        show(session, answer, yaml.safe_dump(answer, sort_keys=False).rstrip())
        return EXIT_DONE

    run(session, work)


def name_move(service: str, version: str, attempt: int) -> str:
    """Return the id of a move, equal for equal commands, so that a repeat starts no second one."""
    text = f"{service}\n{version}\n{attempt}"
    return hashlib.sha256(text.encode("utf-8", "replace")).hexdigest()[:16]
