"""Reads, compares and writes the checkpoints of one stream."""

import asyncio
import dataclasses
import functools
import logging
import uuid
from collections.abc import Callable

from returns.result import Failure, Success

from papayatack.core.checkpoint import (
    Checkpoint,
    CheckpointAssembler,
    CheckpointFailure,
    CheckpointSchedule,
    compute_digest,
    split_document,
)
from papayatack.core.records import CheckpointChunk, ConfigRecord, OwnershipRecord
from papayatack.logservice.appender import Appender
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics

__all__ = ["CheckpointManager", "Snapshot"]

LOGGER = logging.getLogger(__name__)

POLL_INTERVAL_S = 1.0
"""Interval at which a node checks whether a checkpoint is due."""

APPEND_DEADLINE_S = 30.0
"""Time allowed for appending one chunk."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Snapshot of the local node's state.

    Attributes:
        next_offset: Offset after the last record that the state includes.
        document: The state, as serialized by its fold.
    """

    next_offset: int
    document: str


class CheckpointManager:
    """Writes checkpoints of a stream when due and verifies those of other nodes.

    Create one instance per stream. Call :meth:`observe` with every record in log order,
    before the fold applies the record, and run :meth:`run` as a task.

    Args:
        stream: The stream's name.
        incarnation: The local incarnation.
        retention_s: Retention period of the log, in seconds.
        appender: Appends to the stream; its pacer limits the rate.
        take_snapshot: Returns a snapshot of the local state, or ``None`` if the state
            lacks some of the records before its next offset, in which case no
            checkpoint may be written.
        is_available: Returns whether the log is available to the tailer.
        metrics: Counts ``checkpoints`` by outcome.
        now: Event loop time, in seconds.
    """

    def __init__(
        self,
        *,
        stream: str,
        incarnation: str,
        retention_s: float,
        appender: Appender,
        take_snapshot: Callable[[], Snapshot | None],
        is_available: Callable[[], bool],
        metrics: Metrics,
        now: float,
    ) -> None:
        self._stream = stream
        self._incarnation = incarnation
        self._appender = appender
        self._take_snapshot = take_snapshot
        self._is_available = is_available
        self._was_available = True
        self._metrics = metrics
        self._assembler = CheckpointAssembler()
        self._schedule = CheckpointSchedule(
            incarnation=incarnation, retention_s=retention_s, now=now
        )

    def note_loaded(self, checkpoint: Checkpoint, *, now: float) -> None:
        """Record the checkpoint from which this node started."""
        self._schedule.note_loaded(checkpoint, now=now)

    @functools.singledispatchmethod
    def observe(
        self,
        record: OwnershipRecord | ConfigRecord | None,
        *,
        offset: int,
        now: float,
    ) -> None:
        """Process the record at ``offset``, before the fold applies it."""

    @observe.register
    def _(self, record: CheckpointChunk, *, offset: int, now: float) -> None:
        if record.writer != self._incarnation:
            self._schedule.note_chunk(now=now)
            if record.index == 0 and record.covers == offset:
                self._compare_digest(record)
        match self._assembler.add(offset, record):
            case Success(checkpoint):
                self._metrics.count("checkpoints", "read")
                self._schedule.note_checkpoint(checkpoint, now=now)
            case Failure(failure) if failure is not CheckpointFailure.INCOMPLETE:
                self._metrics.count("checkpoints", failure.value)
                log_event(
                    LOGGER,
                    Event.CHECKPOINT_REJECTED,
                    level=logging.WARNING,
                    stream=self._stream,
                    offset=offset,
                    checkpoint=record.checkpoint_id,
                    reason=failure.value,
                )

    def _compare_digest(self, chunk: CheckpointChunk) -> None:
        """Compare a checkpoint's digest with that of the local state.

        The comparison is skipped unless both states end at the same offset:
        ``chunk.covers`` is the next offset of the checkpoint's state.
        """
        snapshot = self._take_snapshot()
        if snapshot is None or snapshot.next_offset != chunk.covers:
            return
        digest = compute_digest(snapshot.document)
        if digest == chunk.digest:
            self._metrics.count("checkpoints", "equal")
            return
        self._metrics.count("checkpoints", "mismatch")
        log_event(
            LOGGER,
            Event.CHECKPOINT_MISMATCH,
            level=logging.ERROR,
            stream=self._stream,
            covers=chunk.covers,
            writer=chunk.writer,
            theirs=chunk.digest,
            ours=digest,
        )

    async def run(self) -> None:
        """Write a checkpoint whenever one is due, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._is_due():
                await self.write()
                # The tailer delivers the node's own chunks with a delay.
                self._schedule.note_chunk(now=asyncio.get_running_loop().time())

    def _is_due(self) -> bool:
        now = asyncio.get_running_loop().time()
        available = self._is_available()
        if available and not self._was_available:
            self._schedule.note_log_recovered(now=now)
        self._was_available = available
        return available and self._schedule.is_due(now=now)

    async def write(self) -> bool:
        """Write a checkpoint of the local state; return whether it is complete.

        Writing stops early if another checkpoint covers as much or an append fails.
        """
        snapshot = self._take_snapshot()
        if snapshot is None:
            self._metrics.count("checkpoints", "gap")
            return False
        chunks = split_document(
            snapshot.document,
            covers=snapshot.next_offset,
            checkpoint_id=f"{self._incarnation}/{uuid.uuid4().hex}",
            writer=self._incarnation,
        )
        for chunk in chunks:
            if self._schedule.newest_covered_offset >= snapshot.next_offset:
                self._metrics.count("checkpoints", "overtaken")
                return False
            deadline_s = asyncio.get_running_loop().time() + APPEND_DEADLINE_S
            match await self._appender.append(chunk, deadline_s=deadline_s):
                case Failure(failure):
                    self._metrics.count("checkpoints", f"append-{failure.kind.value}")
                    return False
        self._metrics.count("checkpoints", "written")
        log_event(
            LOGGER,
            Event.CHECKPOINT_WRITTEN,
            stream=self._stream,
            covers=snapshot.next_offset,
            chunks=len(chunks),
        )
        return True
