"""The process on the platform, which runs one node incarnation after another."""

import asyncio
import contextlib
import logging
import os
import signal
import sys

import uvloop

from papayatack.core.errors import SettingsError
from papayatack.core.inventory import Configuration
from papayatack.daemon.node import Ending, Node
from papayatack.network.garbage_collection import shorten_collector_pauses
from papayatack.observability.events import Event, log_event
from papayatack.observability.lines import LineHandler
from papayatack.observability.metrics import Metrics
from papayatack.platform.environment import PlatformEnvironment
from papayatack.platform.settings import PlatformSettings, read_platform_settings

__all__ = ["run_program"]

LOGGER = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_BAD_SETTINGS = 2
SETTINGS_VARIABLE = "PAPAYATACK_BOOT"


def run_program() -> None:
    """Run until the process is told to stop, then exit with its status."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = read_platform_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    _configure_logging()
    shorten_collector_pauses()
    sys.exit(uvloop.run(_run(path, settings)))


def _configure_logging() -> None:
    handler = LineHandler(descriptor=sys.stdout.fileno())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)


async def _run(path: str, settings: PlatformSettings) -> int:
    """Run one incarnation after another until the process is told to stop."""
    metrics = Metrics()
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _check_settings, path, settings)
    newest: Configuration | None = None
    while True:
        environment = PlatformEnvironment(
            settings=settings, metrics=metrics, earlier=newest
        )
        node = Node(
            settings=settings.build_settings(),
            environment=environment,
            metrics=metrics,
        )
        ending = await _run_node(node, stopping)
        if stopping.is_set():
            return EXIT_OK
        if ending is Ending.FAILED:
            return EXIT_FAILURE
        newest = environment.newest


async def _run_node(node: Node, stopping: asyncio.Event) -> Ending:
    async def drain() -> None:
        await stopping.wait()
        node.start_drain()

    draining = asyncio.ensure_future(drain())
    try:
        return await node.run()
    finally:
        draining.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await draining


def _check_settings(path: str, settings: PlatformSettings) -> None:
    """Validate the settings file and log whether it differs from the settings in use.

    The settings in use stay the same: changed addresses need a restart.
    """
    try:
        changed = read_platform_settings(path)
    except SettingsError as error:
        log_event(
            LOGGER, Event.SETTINGS_REJECTED, level=logging.ERROR, detail=str(error)
        )
        return
    log_event(LOGGER, Event.SETTINGS_RELOADED, changed=changed != settings)
