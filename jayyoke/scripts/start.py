"""Starts an entry instance: the reaction to signals first, then imports that take half a second."""

import signal


def main() -> None:
    """Run an entry instance; a SIGHUP while it starts changes nothing, since it reads settings."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from jayyoke.scripts import entry

    entry.run_command()


if __name__ == "__main__":
    main()
