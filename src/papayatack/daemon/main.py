"""The program ``papayatackd``."""

import asyncio
import signal
import sys

from absl import app, flags

from papayatack.core.errors import SettingsError
from papayatack.daemon.logs import configure_logging
from papayatack.daemon.node import Ending, Node
from papayatack.daemon.settings import Settings, read_settings
from papayatack.network.garbage_collection import shorten_collector_pauses

__all__ = ["main"]

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_BAD_SETTINGS = 2
EXIT_START_AGAIN = 75
"""The process must be started again, as a new incarnation."""

EXITS = {
    Ending.DRAINED: EXIT_OK,
    Ending.DRAIN_TIMEOUT: EXIT_FAILURE,
    Ending.FAILED: EXIT_FAILURE,
    Ending.SUPERSEDED: EXIT_START_AGAIN,
}

SETTINGS_FLAG = flags.DEFINE_string("settings", None, "Path of the INI settings file.")


def main() -> None:
    """Run the daemon."""
    app.run(_run)


def _run(arguments: list[str]) -> int:
    if len(arguments) > 1:
        return _reject(f"unexpected arguments: {' '.join(arguments[1:])}")
    if SETTINGS_FLAG.value is None:
        return _reject("give --settings=FILE; see docs/settings.md")
    try:
        settings = read_settings(SETTINGS_FLAG.value)
    except SettingsError as error:
        return _reject(str(error))
    configure_logging(settings.logging.level)
    shorten_collector_pauses()
    return asyncio.run(_run_node(settings))


def _reject(detail: str) -> int:
    print(detail, file=sys.stderr)
    return EXIT_BAD_SETTINGS


async def _run_node(settings: Settings) -> int:
    node = Node(settings=settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.start_drain)
    try:
        ending = await node.run()
    except OSError as error:
        print(f"cannot listen: {error}; is another process there?", file=sys.stderr)
        return EXIT_FAILURE
    return EXITS[ending]


if __name__ == "__main__":
    main()
