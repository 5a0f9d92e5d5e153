"""The task that stores snapshots of the ownership state for nodes that start."""

import asyncio
import dataclasses
import logging

from returns.result import Failure, Success

from papayatack.control.following import LogFollower
from papayatack.core.checkpoint import compute_payload_digest
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.snapshot import dump_state
from papayatack.core.records import OWNERSHIP_STREAM
from papayatack.core.snapshot_schedule import SnapshotSchedule
from papayatack.logservice.interface import SnapshotStore, StoredSnapshot
from papayatack.observability.events import Event, log_event, to_ms
from papayatack.observability.metrics import Metrics

__all__ = ["SnapshotPolicy", "SnapshotWriter"]

LOGGER = logging.getLogger(__name__)

CHECK_INTERVAL_S = 1.0
RETRY_DELAY_S = 2.0
"""Further delay after a snapshot that was not stored, as serializing it takes time."""

WRITE_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotPolicy:
    """Where and how often snapshots are stored.

    Attributes:
        store: Keeps the newest snapshot.
        interval_s: Age of the oldest record without a snapshot from which one is due.
    """

    store: SnapshotStore
    interval_s: float


class SnapshotWriter:
    """Stores a snapshot of the ownership state when due.

    Only the node that reads the log for the whole fleet does so. Its state is the
    newest, and it changes with the fleet.

    Args:
        core: The ownership core of the node.
        follower: Tells which node reads the log, and has the newest records.
        policy: Where and how often snapshots are stored.
        metrics: Counts ``snapshots`` by outcome.
    """

    def __init__(
        self,
        *,
        core: NodeCore,
        follower: LogFollower,
        policy: SnapshotPolicy,
        metrics: Metrics,
    ) -> None:
        self._core = core
        self._follower = follower
        self._store = policy.store
        self._metrics = metrics
        self._schedule = SnapshotSchedule(
            interval_s=policy.interval_s, now=asyncio.get_running_loop().time()
        )

    async def run(self) -> None:
        """Store a snapshot whenever one is due, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self._follower.is_lead:
                self._schedule.reset(now=loop.time())
            elif self._is_due(loop.time()):
                await self._write()

    def _is_due(self, now: float) -> bool:
        is_due = self._schedule.is_due(self._core.state.next_offset, now=now)
        return is_due and self._follower.is_available(OWNERSHIP_STREAM)

    async def _write(self) -> None:
        """Store a snapshot of the present state."""
        started_s = asyncio.get_running_loop().time()
        snapshot = self._take_snapshot()
        if snapshot is None:
            self._metrics.count("snapshots", "no-record")
            return
        result = await self._store.write_snapshot(snapshot, timeout_s=WRITE_TIMEOUT_S)
        match result:
            case Success(_):
                self._metrics.count("snapshots", "written")
                self._schedule.note_snapshot(snapshot.covers, now=started_s)
                log_event(
                    LOGGER,
                    Event.SNAPSHOT_STORED,
                    covers=snapshot.covers,
                    document_bytes=len(snapshot.document),
                    took_ms=to_ms(asyncio.get_running_loop().time() - started_s),
                )
            case Failure(failure):
                self._metrics.count("snapshots", failure.kind.value)
                await asyncio.sleep(RETRY_DELAY_S)

    def _take_snapshot(self) -> StoredSnapshot | None:
        """Return the present state, ``None`` unless its last record is at hand."""
        state = self._core.state
        recent = self._follower.recent[OWNERSHIP_STREAM]
        last = state.next_offset - 1
        if not recent.first <= last < recent.end:
            return None
        return StoredSnapshot(
            writer=self._core.incarnation,
            covers=state.next_offset,
            last_record=compute_payload_digest(recent.read(last)),
            document=dump_state(state),
        )
