"""Starts an entry instance: sets the handling of SIGHUP before imports that take half a second."""

import signal


def main() -> None:
    """Run an entry instance; ignore SIGHUP during startup, which reads the settings anyway."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from jayyoke.scripts import entry

    entry.run_command()


if __name__ == "__main__":
    main()
