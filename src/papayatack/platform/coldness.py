"""Asks the health check of the running upstream whether it is cold."""

import asyncio
from collections.abc import Callable

from papayatack.platform.health_check import HealthClient
from papayatack.platform.heartbeats import HeartbeatReceiver
from papayatack.platform.lifetimes import Identity, Lifetime
from papayatack.proxy.cold_watch import ColdWatch

__all__ = ["ColdnessChecker"]

PATH_WAIT_S = 0.1
"""Pause in seconds while there is no upstream or no health check to ask."""


class ColdnessChecker:
    """Asks when the watch wants it, one question at a time.

    Args:
        watch: Follows whether the upstream is cold.
        desk: Knows the running upstream and takes its heartbeats.
        find_health_path: Returns the path of its health check, empty while unknown.
    """

    def __init__(
        self,
        *,
        watch: ColdWatch,
        desk: HeartbeatReceiver,
        find_health_path: Callable[[], str],
    ) -> None:
        self._watch = watch
        self._desk = desk
        self._find_health_path = find_health_path
        self._wanted = asyncio.Event()
        self._client: HealthClient | None = None

    async def run(self) -> None:
        """Ask the upstream if it is cold whenever the watch wants to know.

        This goes on until the task is cancelled.
        """
        self._watch.on_question = self._wanted.set
        self._desk.on_report = self._watch.record_report
        self._desk.on_suspicion = self._watch.suspect
        try:
            while True:
                await self._wanted.wait()
                self._wanted.clear()
                await self._ask_once()
        finally:
            self._watch.on_question = None
            self._desk.on_report = self._desk.on_suspicion = None
            await self._close()

    async def _ask_once(self) -> None:
        running, path = self._desk.running, self._find_health_path()
        if running is None or not path:
            await asyncio.sleep(PATH_WAIT_S)
            return
        asked_s = self._watch.begin_question()
        if asked_s is None:
            return
        answer: Identity | None = None
        try:
            client = await self._find_client(running.address)
            answer = await client.check(path)
        finally:
            self._record(running, asked_s, answer)

    def _record(
        self, running: Lifetime, asked_s: float, answer: Identity | None
    ) -> None:
        if answer is None or answer.instance != running.instance:
            self._watch.record_failure()
        else:
            self._watch.record_answer(asked_s, answer.cold_s)

    async def _find_client(self, address: str) -> HealthClient:
        if self._client is None or self._client.address != address:
            await self._close()
            self._client = HealthClient(address=address)
        return self._client

    async def _close(self) -> None:
        client, self._client = self._client, None
        if client is not None:
            await client.close()
