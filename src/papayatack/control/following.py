"""Decides how often a node reads the log directly."""

import asyncio
import logging
import random
from collections.abc import Collection, Mapping

from papayatack.control.recent import RecentRecords
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.selection import (
    TailPolicy,
    compute_rendezvous_rank,
    find_planner,
    is_tailer,
    rank_planners,
)
from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM
from papayatack.logservice.interface import LogService
from papayatack.logservice.tailer import Tailer
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics

__all__ = ["STREAMS", "LogFollower"]

LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000
STREAMS = (CONFIG_STREAM, OWNERSHIP_STREAM)
CHECK_INTERVAL_S = 0.5
CHECKS_PER_IDLE_READ = 120
"""Checks after which a node reads a stream even if other nodes forward its records."""

CHECKS_PER_ROLE_UPDATE = 2
"""Checks after which a node determines again whether it is a tailer."""

MAX_CHECKS_BEHIND = 2
"""Consecutive checks with a peer ahead after which a node reads the log itself."""

CONFIG_WAIT_S = 0.5
"""Time for which the log waits for a new configuration before it responds to the node
that reads it for all others, which then knows again that its own is the newest."""

MAX_UPDATE_DELAY_S = 0.15
"""Time between two updates above which the process was stalled, and messages of other
nodes may be waiting to be processed."""

STALL_GRACE_S = 0.3
"""Time for which a stalled process may postpone a read, to process these first."""

SPREAD_STEPS = 1000
"""Number of different moments to which the nodes' reads are spread."""

LEAD_READ_INTERVAL_S = 0.1
"""Shortest time between two reads of the node that reads the log for all others.

Records that are appended in the meantime come with one call, instead of one each."""

READ_INTERVAL_S = 0.4
"""Shortest time between two reads of a stream by any other node that must read it."""

MEMBER_READ_INTERVAL_S = 1.0
"""Shortest time between two reads by a node that also gets records from its tailer."""

UNREACHABLE_AFTER_S = 0.5
"""Time for which a tailer's reads must fail before it tells the nodes that rely on it,
and the interval at which it repeats that."""

DIRECT_READ_S = 1.5
"""Time for which a node reads the log itself after a tailer reported a failure."""


class LogFollower:
    """Tails both streams for a node.

    The node reads a stream continuously if it is a tailer or if other nodes do not
    forward the records to it. Otherwise it reads the stream only at long intervals.

    Args:
        core: The ownership core of the node.
        log: The log service.
        next_offsets: Next offset of each stream.
        queue: Receives the records that the tailers read.
        metrics: Counters of the process.
        random: Source of the jitter of retries.
        newest_only: Streams in which a record replaces all earlier ones.
        policy: Chooses the nodes that read the log directly; ``None`` if nodes do not
            forward records to each other.
        loaded: Streams that have just been loaded up to their next offset.

    Attributes:
        recent: Newest records of each stream, packed, from the log or other nodes.
        is_tailer: Whether this node reads the log continuously for other nodes.
        is_lead: Whether it is the tailer that reads most often and forwards the records
            to all data centres.
    """

    def __init__(
        self,
        *,
        core: NodeCore,
        log: LogService,
        next_offsets: Mapping[str, int],
        queue: asyncio.Queue,
        metrics: Metrics,
        random: random.Random,
        newest_only: Collection[str] = (),
        policy: TailPolicy | None = None,
        loaded: Collection[str] = (),
    ) -> None:
        now = asyncio.get_running_loop().time()
        self._policy = policy or TailPolicy()
        self._is_forwarding = policy is not None
        self._core = core
        self._metrics = metrics
        self._checks_behind = dict.fromkeys(STREAMS, 0)
        self._checks = 0
        self._next_check_s = float("-inf")
        self._updated_s = now
        self._stalled_s = float("-inf")
        self._is_slow = False
        self._config_due = asyncio.Event()
        self._is_aged = False
        self._spread = (
            compute_rendezvous_rank("read", core.incarnation) % SPREAD_STEPS
        ) / SPREAD_STEPS
        self.is_tailer = True
        self.is_lead = False
        self._last_success_s = dict.fromkeys(STREAMS, now)
        self._next_report_s = dict.fromkeys(STREAMS, float("-inf"))
        self._read_directly_until_s = dict.fromkeys(STREAMS, float("-inf"))
        self.recent = {
            stream: RecentRecords(
                stream=stream, first=first, newest_only=stream in newest_only
            )
            for stream, first in next_offsets.items()
        }
        self._tailers = {
            stream: Tailer(
                log=log,
                stream=stream,
                offset=first,
                queue=queue,
                metrics=metrics,
                random=random,
                last_read_s=now if stream in loaded else None,
                reports_end=stream == CONFIG_STREAM,
            )
            for stream, first in next_offsets.items()
        }

    def is_available(self, stream: str) -> bool:
        """Tell whether the log answered the last call for a stream."""
        return self._tailers[stream].available

    def skip_to(self, stream: str, offset: int) -> None:
        """Skip the records before ``offset``, which other nodes have forwarded."""
        self._tailers[stream].skip_to(offset)

    async def follow(self, stream: str) -> None:
        """Read a stream until cancelled, continuously or as rarely as possible."""
        if stream == CONFIG_STREAM and self._is_forwarding:
            await self._follow_config()
        else:
            await self._follow_stream(stream)

    async def _follow_config(self) -> None:
        """Read the config stream as the lead, or if the configuration gets too old."""
        tailer = self._tailers[CONFIG_STREAM]
        loop = asyncio.get_running_loop()
        while True:
            started_s = loop.time()
            await tailer.read_once(wait_s=CONFIG_WAIT_S if self.is_lead else 0.0)
            interval_s = LEAD_READ_INTERVAL_S if self.is_lead else READ_INTERVAL_S
            await asyncio.sleep(max(0.0, started_s + interval_s - loop.time()))
            if not self.is_lead:
                self._config_due.clear()
                await self._config_due.wait()

    async def _follow_stream(self, stream: str) -> None:
        """Read a stream continuously or at long intervals."""
        loop = asyncio.get_running_loop()
        while True:
            started_s = loop.time()
            await self._tailers[stream].read_once()
            pause_s = started_s + self._choose_interval_s() - loop.time()
            await asyncio.sleep(max(0.0, pause_s))
            for _ in range(CHECKS_PER_IDLE_READ):
                if self._should_read(stream):
                    break
                await asyncio.sleep(CHECK_INTERVAL_S)

    def _choose_interval_s(self) -> float:
        """Return the shortest time between two reads in the node's present role."""
        if self.is_tailer and not self._is_forwarding:
            return 0.0
        if self.is_lead:
            return LEAD_READ_INTERVAL_S
        is_fed = self._core.incarnation in self._core.state.members
        if is_fed and not self.is_tailer:
            return MEMBER_READ_INTERVAL_S
        return READ_INTERVAL_S

    def update(self, now: float) -> None:
        """Update the role of the node, and whether its peers are ahead of it.

        Args:
            now: Time of the event loop in seconds.
        """
        self._update_caught_up()
        for tailer in self._tailers.values():
            tailer.note_answer(self._core.config_watch.current_s)
        is_due = self._is_config_due(now)
        if is_due:
            self._config_due.set()
        self._note_aged(is_due and not self.is_lead and self._core.caught_up, now)
        self._note_updated(now)
        if now < self._next_check_s:
            return
        self._next_check_s = now + CHECK_INTERVAL_S
        self._metrics.set_gauge(
            "config_age_seconds", self._core.config_watch.find_age_s(now)
        )
        self._checks += 1
        if self._checks % CHECKS_PER_ROLE_UPDATE == 0:
            state, local = self._core.state, self._core.incarnation
            self.is_lead = find_planner(state) == local
            self.is_tailer = self.is_lead or is_tailer(state, local, self._policy)
        for stream, peer_offset in self._core.peer_offsets.items():
            behind = peer_offset > self.recent[stream].end
            self._checks_behind[stream] = (
                self._checks_behind[stream] + 1 if behind else 0
            )

    def find_rank(self) -> int:
        """Return this node's rank as a planner; the planner has rank 0."""
        ranked = rank_planners(self._core.state)
        local = self._core.incarnation
        return ranked.index(local) if local in ranked else len(ranked)

    def _is_config_due(self, now: float) -> bool:
        """Return whether this node must look in the log for a newer configuration."""
        watch = self._core.config_watch
        if self.is_lead or not self._core.caught_up:
            return True
        is_stalled = now - self._updated_s > MAX_UPDATE_DELAY_S
        checked_s = now - STALL_GRACE_S if is_stalled else now
        return watch.is_aging(checked_s) and watch.must_read_log(
            checked_s, rank=self.find_rank(), spread=self._spread
        )

    def _note_aged(self, is_aged: bool, now: float) -> None:
        """Log that this node begins to read the log for a newer configuration."""
        if is_aged and not self._is_aged:
            watch = self._core.config_watch
            age = watch.describe_age(now)
            log_event(
                LOGGER,
                Event.CONFIGURATION_AGED,
                age_ms=None if age.age_s is None else int(age.age_s * MS_PER_S),
                superseded=age.is_superseded,
                rank=self.find_rank(),
                log_slow=watch.speed.is_slow(now),
            )
        self._is_aged = is_aged

    def _note_updated(self, now: float) -> None:
        """Note a stall of the process, and log if the log has become slow or fast."""
        if now - self._updated_s > MAX_UPDATE_DELAY_S:
            self._stalled_s = now
        self._updated_s = now
        speed = self._core.config_watch.speed
        if speed.is_slow(now) != self._is_slow:
            self._is_slow = not self._is_slow
            log_event(
                LOGGER,
                Event.LOG_SPEED_CHANGED,
                slow=self._is_slow,
                response_ms=int((speed.response_s or 0.0) * MS_PER_S),
            )

    def has_stalled(self, since_s: float) -> bool:
        """Return whether the process stood still for a while since a time."""
        now = asyncio.get_running_loop().time()
        is_stalled = now - self._updated_s > MAX_UPDATE_DELAY_S
        return is_stalled or self._stalled_s > since_s

    def note_unreachable(self, stream: str, now: float) -> None:
        """Read a stream directly for a while: the tailer does not reach the log."""
        if stream in self._read_directly_until_s:
            self._read_directly_until_s[stream] = now + DIRECT_READ_S

    def collect_unreachable(self, now: float) -> list[str]:
        """Return the streams that this tailer cannot read, to tell its dependents.

        Each is returned again at intervals while the log does not respond.
        """
        found = []
        for stream, tailer in self._tailers.items():
            if stream == CONFIG_STREAM:
                continue  # the age of the configuration tells the others
            if tailer.available or not self.is_tailer:
                self._last_success_s[stream] = now
            elif now >= max(
                self._last_success_s[stream] + UNREACHABLE_AFTER_S,
                self._next_report_s[stream],
            ):
                self._next_report_s[stream] = now + UNREACHABLE_AFTER_S
                found.append(stream)
        return found

    def _should_read(self, stream: str) -> bool:
        own_lease = self._core.context.find_newest_holder()
        if not self._core.caught_up or own_lease is None or self.is_tailer:
            return True
        now = asyncio.get_running_loop().time()
        return (
            not own_lease.is_live(now)
            or now < self._read_directly_until_s[stream]
            or self._checks_behind[stream] >= MAX_CHECKS_BEHIND
        )

    def _update_caught_up(self) -> None:
        tailers = self._tailers.values()
        if all(tailer.last_read_s is not None for tailer in tailers):
            next_offset = self._core.state.next_offset
            has_pending = self._tailers[OWNERSHIP_STREAM].offset > next_offset
            self._core.caught_up = self._core.caught_up or not has_pending
