"""How closely a node follows the log itself."""

import asyncio
import random
from collections.abc import Collection, Mapping

from papayatack.control.recent import RecentRecords
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.selection import (
    TailPolicy,
    find_planner,
    is_tailer,
)
from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM
from papayatack.logservice.interface import LogService
from papayatack.logservice.tailer import Tailer
from papayatack.observability.metrics import Metrics

__all__ = ["STREAMS", "LogFollower"]

STREAMS = (CONFIG_STREAM, OWNERSHIP_STREAM)
CHECK_INTERVAL_S = 0.5
IDLE_CHECKS = 60
CHECKS_PER_ROLE = 2
CHECKS_BEHIND = 2
READ_PAUSE_S = 0.2
"""Time that a node lets pass between two reads if no other relies on it: what is
appended meanwhile comes with one call, not with one each."""


class LogFollower:
    """Tails both streams, closely only where other nodes do not bring the records.

    Args:
        core: The node's ownership.
        log: The log service.
        positions: Next offset of each stream.
        queue: Takes what the tailers read.
        metrics: Counters of the process.
        random: Jitter of retries.
        newest_only: Streams of which only the newest record counts.
        policy: Which nodes follow the log themselves.

    Attributes:
        recent: Newest records of each stream, packed, from the log or from other nodes.
        is_tailer: Whether others rely on this node to follow the log.
    """

    def __init__(
        self,
        *,
        core: NodeCore,
        log: LogService,
        positions: Mapping[str, int],
        queue: asyncio.Queue,
        metrics: Metrics,
        random: random.Random,
        newest_only: Collection[str] = (),
        policy: TailPolicy | None = None,
    ) -> None:
        self._policy = policy or TailPolicy()
        self._core = core
        self._behind = dict.fromkeys(STREAMS, 0)
        self._checks = 0
        self._check_s = float("-inf")
        self.is_tailer = True
        self._is_relied_on = False
        self.recent = {
            stream: RecentRecords(
                stream=stream, first=first, newest_only=stream in newest_only
            )
            for stream, first in positions.items()
        }
        self._tailers = {
            stream: Tailer(
                log=log,
                stream=stream,
                offset=first,
                queue=queue,
                metrics=metrics,
                random=random,
            )
            for stream, first in positions.items()
        }

    def is_available(self, stream: str) -> bool:
        """Tell whether the log answered the last call for a stream."""
        return self._tailers[stream].available

    def skip_to(self, stream: str, offset: int) -> None:
        """Leave out records that came from other nodes."""
        self._tailers[stream].skip_to(offset)

    async def follow(self, stream: str) -> None:
        """Follow a stream until cancelled."""
        while True:
            await self._tailers[stream].read_once()
            if not self._is_relied_on:
                await asyncio.sleep(READ_PAUSE_S)
            for _ in range(IDLE_CHECKS):
                if self._must_read(stream):
                    break
                await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self, now: float) -> None:
        """Look at intervals whether the node has what others have."""
        self._note_caught_up()
        if now < self._check_s:
            return
        self._check_s = now + CHECK_INTERVAL_S
        self._checks += 1
        if self._checks % CHECKS_PER_ROLE == 0:
            state, me = self._core.state, self._core.incarnation
            self.is_tailer = (
                is_tailer(state, me, self._policy) or find_planner(state) == me
            )
            self._is_relied_on = self.is_tailer and me in state.members
        for stream, heard in self._core.peer_offsets.items():
            behind = heard > self.recent[stream].end
            self._behind[stream] = self._behind[stream] + 1 if behind else 0

    def _must_read(self, stream: str) -> bool:
        holder = self._core.context.find_newest_holder()
        if not self._core.caught_up or holder is None or self.is_tailer:
            return True
        now = asyncio.get_running_loop().time()
        return not holder.is_live(now) or self._behind[stream] >= CHECKS_BEHIND

    def _note_caught_up(self) -> None:
        tailers = self._tailers.values()
        if all(tailer.last_read_s is not None for tailer in tailers):
            position = self._core.state.next_offset
            waiting = self._tailers[OWNERSHIP_STREAM].offset > position
            self._core.caught_up = self._core.caught_up or not waiting
