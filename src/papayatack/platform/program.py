"""The life of the process on the platform: one node after the other."""

import asyncio
import contextlib
import logging
import os
import signal
import sys

import uvloop

from papayatack.core.errors import SettingsError
from papayatack.daemon.node import Ending, Node
from papayatack.network.garbage_collection import shorten_collector_pauses
from papayatack.observability.events import Event, log_event
from papayatack.observability.lines import LineHandler
from papayatack.observability.metrics import Metrics
from papayatack.platform.settings import PlatformSettings, read_platform_settings
from papayatack.platform.surroundings import PlatformSurroundings

__all__ = ["run_program"]

LOGGER = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_BAD_SETTINGS = 2
SETTINGS_VARIABLE = "PAPAYATACK_BOOT"


def run_program() -> None:
    """Run until the process is to end; it exits with its status."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = read_platform_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    _configure_lines()
    shorten_collector_pauses()
    sys.exit(uvloop.run(_run(path, settings)))


def _configure_lines() -> None:
    handler = LineHandler(descriptor=sys.stdout.fileno())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)


async def _run(path: str, settings: PlatformSettings) -> int:
    """Run one incarnation after the other until the process is to stop."""
    metrics = Metrics()
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _check_settings, path, settings)
    while True:
        node = Node(
            settings=settings.build_settings(),
            surroundings=PlatformSurroundings(settings=settings, metrics=metrics),
            metrics=metrics,
        )
        ending = await _run_node(node, stopping)
        if stopping.is_set():
            return EXIT_OK
        if ending is Ending.FAILED:
            return EXIT_FAILURE


async def _run_node(node: Node, stopping: asyncio.Event) -> Ending:
    async def drain() -> None:
        await stopping.wait()
        node.start_drain()

    waiting = asyncio.ensure_future(drain())
    try:
        return await node.run()
    finally:
        waiting.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await waiting


def _check_settings(path: str, settings: PlatformSettings) -> None:
    """Say what a changed settings file means; addresses change with a restart alone."""
    try:
        changed = read_platform_settings(path)
    except SettingsError as error:
        log_event(
            LOGGER, Event.SETTINGS_REJECTED, level=logging.ERROR, detail=str(error)
        )
        return
    log_event(LOGGER, Event.SETTINGS_RELOADED, changed=changed != settings)
