"""Commands for messages of chats that are kept from engines, since engines end on them."""

from __future__ import annotations

from typing import Annotated

import typer

from jayyoke.scripts.client import Client
from jayyoke.scripts.session import EXIT_DONE, Session, run, show
from jayyoke.scripts.table import format_table

app = typer.Typer(
    help="See and clear messages on which engines end.",
    no_args_is_help=True,
    rich_markup_mode=None,
)


@app.command("list")
def show_parts(context: typer.Context) -> None:
    """Print the parts that are kept from engines, and when one request with them is tried."""
    session: Session = context.obj

    async def work(client: Client) -> int:
        body = await client.request("GET", "/v1/quarantine")
        rows = []
        for item in body["parts"]:
            rows.append((item["part"], ", ".join(item["engines"]), f"{item['trial_in_s']:.0f} s"))
        show(session, body, format_table(("part", "engines that ended", "trial in"), rows))
        return EXIT_DONE

    run(session, work)


@app.command()
def clear(
    context: typer.Context,
    part: Annotated[str, typer.Argument(metavar="PART", help="A part as `list` prints it.")],
) -> None:
    """Send requests with a part to engines again, at all instances, after it was mended."""
    session: Session = context.obj

    async def work(client: Client) -> int:
        body = await client.request("POST", "/v1/quarantine/clear", {"part": part})
        text = f"{part} is cleared" if body["cleared"] else f"{part} was not kept from engines"
        show(session, body, text)
        return EXIT_DONE

    run(session, work)
