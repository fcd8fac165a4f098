"""The operators' command-line tool `jayyoke`."""

from __future__ import annotations

import typer

app = typer.Typer(help=__doc__, no_args_is_help=True)


@app.command()
def version() -> None:
    """Print the version of the tool."""
    print("jayyoke 0.1.0")


def main() -> None:
    """Run the command line of the tool."""
    app()


if __name__ == "__main__":
    main()
