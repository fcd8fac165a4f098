"""The operators' command-line tool `jayyoke`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer
import yaml

from jayyoke.core.error import InvalidDocument
from jayyoke.parser.configuration import format_document, parse_configuration
from jayyoke.scripts import domain, move, quarantine
from jayyoke.scripts.client import Client
from jayyoke.scripts.session import (
    EXIT_CODES,
    EXIT_DONE,
    EXIT_IN_PROGRESS,
    EXIT_REFUSED,
    EXIT_USAGE,
    Session,
    fail,
    read_duration,
    read_file,
    read_status,
    run,
    show,
    split_instances,
    wait_until_in_force,
)
from jayyoke.scripts.table import format_changes, format_in_force, format_status

ConfigurationFile = Annotated[
    Path, typer.Argument(metavar="FILE", help="YAML file with services, classes and teams.")
]

app = typer.Typer(
    help=f"Declare what the fleet must meet, and see what it does.\n\n{EXIT_CODES}",
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)
app.add_typer(domain.app, name="domain")
app.add_typer(move.app, name="version")
app.add_typer(quarantine.app, name="quarantine")
app.command("moves")(move.show_moves)


@app.callback()
def _main(
    context: typer.Context,
    instance: Annotated[
        list[str] | None,
        typer.Option(
            envvar="JAYYOKE_INSTANCES",
            help="Operator URL of an instance; repeatable, tried in order. "
            "The variable holds several, separated by commas or spaces.",
        ),
    ] = None,
    key_file: Annotated[
        Path | None,
        typer.Option(help="File with the operator key; else JAYYOKE_OPERATOR_KEY holds the key."),
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")] = False,
) -> None:
    context.obj = Session(split_instances(instance or ()), key_file, as_json)


@app.command()
def check(context: typer.Context, file: ConfigurationFile) -> None:
    """Check a configuration file without contacting any instance."""
    session: Session = context.obj
    try:
        configuration = parse_configuration(read_file(file), str(file))
    except InvalidDocument as error:
        raise fail(str(error), EXIT_USAGE) from error
    counts = {
        "services": len(configuration.services),
        "classes": len(configuration.classes),
        "teams": len(configuration.teams),
    }
    text = ", ".join(f"{count} {part}" for part, count in counts.items())
    show(session, counts, f"{file}: no findings; {text}")


@app.command()
def apply(
    context: typer.Context,
    file: ConfigurationFile,
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until it is in force at all live instances.")
    ] = False,
    timeout: Annotated[str, typer.Option(help="How long --wait waits.")] = "30s",
    if_version: Annotated[
        int | None, typer.Option(help="Refuse unless this version is in force.", min=0)
    ] = None,
) -> None:
    """Put a configuration file in force; the same file again changes nothing."""
    session: Session = context.obj
    timeout_s = read_duration(timeout)
    try:
        document = format_document(parse_configuration(read_file(file), str(file)))
    except InvalidDocument as error:
        raise fail(str(error), EXIT_USAGE) from error
    headers = {} if if_version is None else {"If-Match": f'"{if_version}"'}

    async def work(client: Client) -> int:
        body = await client.request("PUT", "/v1/configuration", document, headers)
        if not wait:
            show(session, body, format_changes(body))
            return EXIT_DONE
        reached, names = await wait_until_in_force(client, body["version"], timeout_s)
        text = f"{format_changes(body)}\n{format_in_force(body['version'], names)}"
        show(session, body | {"in_force": reached, "unconfirmed": names}, text)
        return EXIT_DONE if reached else EXIT_IN_PROGRESS

    run(session, work)


@app.command("show")
def show_configuration(context: typer.Context) -> None:
    """Print the configuration in force, in the form that `apply` reads."""
    session: Session = context.obj

    async def work(client: Client) -> int:
        body = await client.request("GET", "/v1/configuration")
        head = f"# Version {body['version']}."
        if body["domains_out"]:
            head += f" Domains out: {', '.join(body['domains_out'])}."
        text = yaml.safe_dump(body["document"], sort_keys=False, allow_unicode=True)
        show(session, body, f"{head}\n{text.rstrip()}")
        return EXIT_DONE

    run(session, work)


@app.command()
def status(
    context: typer.Context,
    version: Annotated[
        int | None, typer.Option(help="Version to look for; the one in force by default.", min=0)
    ] = None,
) -> None:
    """Print the live instances; exit with 1 unless all of them have confirmed the version."""
    session: Session = context.obj

    async def work(client: Client) -> int:
        body = await read_status(client, version)
        show(session, body, format_status(body))
        return EXIT_REFUSED if body["unconfirmed"] else EXIT_DONE

    run(session, work)


@app.command()
def watch(context: typer.Context) -> None:
    """Print changes of the configuration, domains, moves and instances as they happen."""
    session: Session = context.obj

    async def work(client: Client) -> int:
        async for event in client.watch():
            body = {"event": event.name, "data": event.data}
            words = " ".join(f"{key}={value}" for key, value in event.data.items())
            show(session, body, f"{event.name} {words}")
        return EXIT_DONE

    run(session, work)


def main() -> None:
    """Run the command line of the tool."""
    app()


if __name__ == "__main__":
    main()
