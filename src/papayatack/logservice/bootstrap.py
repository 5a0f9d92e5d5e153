"""Loads a stream's state from the log alone, for a node that has no state yet."""

import asyncio
import dataclasses
import enum
import logging
import random
from collections.abc import Callable
from typing import Generic, TypeVar

from returns.result import Failure, Result, Success

from papayatack.core.checkpoint import Checkpoint, choose_checkpoint
from papayatack.logservice.backoff import Backoff
from papayatack.logservice.decoding import LoggedRecord, RecordDecoder
from papayatack.logservice.interface import (
    LogFailureKind,
    LogService,
    SnapshotStore,
)
from papayatack.logservice.read_progress import ReadProgress
from papayatack.observability.events import Event, log_event, to_ms
from papayatack.observability.metrics import Metrics

__all__ = ["BootstrapFailure", "BootstrapFailureKind", "LoadedStream", "load_stream"]

LOGGER = logging.getLogger(__name__)

PAGE_RECORDS = 500
"""Maximum number of records per read."""

READ_WAIT_S = 2.0
"""Time that the service waits for new records before it responds to a read."""

ANSWER_TIMEOUT_S = 2.0
"""Time that a read may take beyond the wait for new records."""

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""Longest delay after a failed read. With :data:`ANSWER_TIMEOUT_S`, a node that starts
without the service reads at most 3 s after its return."""

REPORT_INTERVAL_S = 1.0
"""Interval at which a node that still loads a stream logs how far it is."""

State = TypeVar("State")


class BootstrapFailureKind(enum.StrEnum):
    """Reasons why a stream's state could not be loaded."""

    LOG_UNAVAILABLE = "log-unavailable"
    NO_CHECKPOINT = "no-checkpoint"


REMEDIES = {
    BootstrapFailureKind.LOG_UNAVAILABLE: "restore the log service",
    BootstrapFailureKind.NO_CHECKPOINT: (
        "keep a node that has the state running until it has written a checkpoint"
    ),
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BootstrapFailure:
    """Failure to load a stream's state; the node must not start to serve.

    Attributes:
        kind: Reason of the failure.
        detail: What was read and the remedy, for the log and the operator.
    """

    kind: BootstrapFailureKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadedStream(Generic[State]):
    """A stream's state, which is up to date once ``records`` are applied to it.

    Attributes:
        state: The state of the checkpoint, or the empty state.
        checkpoint: The checkpoint that was loaded, if any.
        records: All records that follow the state, in order; checkpoint chunks are
            stripped of their data.
        next_offset: Offset at which the tailer continues.
    """

    state: State
    checkpoint: Checkpoint | None
    records: tuple[LoggedRecord, ...]
    next_offset: int


async def load_stream(
    *,
    log: LogService,
    stream: str,
    create: Callable[[], State],
    load: Callable[[str], State],
    metrics: Metrics,
    random: random.Random,
    deadline_s: float,
    snapshots: SnapshotStore | None = None,
) -> Result[LoadedStream[State], BootstrapFailure]:
    """Load a stream's state from the log.

    The state comes from the stored snapshot, if there is one that belongs to the
    stream, or from the newest checkpoint whose following records are all retained.
    Without either, the whole stream is folded if its first record is still retained.
    Otherwise the function waits for another node to write a checkpoint. A node whose
    stream cannot be loaded must not start to serve.

    Args:
        log: The log service.
        stream: The stream's name.
        create: Returns the empty state.
        load: Returns the state of a checkpoint's document; raises ValueError if the
            document is invalid.
        metrics: Counts ``bootstrap`` by outcome.
        random: Source of the backoff's jitter.
        deadline_s: Event loop time at which to give up.
        snapshots: Keeps the snapshot, if snapshots of the stream are stored.
    """
    progress = ReadProgress(stream=stream, started_s=asyncio.get_running_loop().time())
    decoder = RecordDecoder(metrics=metrics)
    backoff = Backoff(initial_s=INITIAL_BACKOFF_S, max_s=MAX_BACKOFF_S, random=random)
    failure = BootstrapFailureKind.LOG_UNAVAILABLE
    reporting = asyncio.ensure_future(_report_progress(progress))
    try:
        async with asyncio.timeout_at(deadline_s):
            while snapshots is not None:
                if await _read_snapshot(snapshots, progress):
                    break
                await asyncio.sleep(backoff.advance_delay_s())
            while True:
                if not await _read_page(log, decoder, progress):
                    await asyncio.sleep(backoff.advance_delay_s())
                    continue
                if not progress.at_end:
                    continue
                loaded = _load_newest_checkpoint(progress, create, load, metrics)
                if loaded is not None:
                    return _report_loaded(loaded, progress, metrics)
                if progress.snapshot is not None:
                    _reject_snapshot(progress, "no state can be loaded from it")
                    continue
                failure = BootstrapFailureKind.NO_CHECKPOINT
    except TimeoutError:
        return _report_failure(failure, progress, metrics)
    finally:
        reporting.cancel()


async def _read_snapshot(snapshots: SnapshotStore, progress: ReadProgress) -> bool:
    """Read the stored snapshot; return whether the store responded."""
    match await snapshots.read_snapshot(timeout_s=ANSWER_TIMEOUT_S):
        case Success(None):
            return True
        case Success(snapshot):
            progress.start_from(snapshot)
            return True
        case Failure(failure):
            progress.note_failure(failure.detail)
    return False


async def _report_progress(progress: ReadProgress) -> None:
    """Log at intervals how far loading has come, until cancelled."""
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        log_event(
            LOGGER,
            Event.BOOTSTRAP_WAITING,
            level=logging.WARNING,
            stream=progress.stream,
            first=progress.first,
            records=len(progress.records),
            end=progress.end,
            reads=progress.reads,
            failed=progress.failed_reads,
            detail=progress.last_failure,
            waited_ms=_measure_wait_ms(progress),
        )


def _measure_wait_ms(progress: ReadProgress) -> int:
    return to_ms(asyncio.get_running_loop().time() - progress.started_s)


async def _read_page(
    log: LogService, decoder: RecordDecoder, progress: ReadProgress
) -> bool:
    """Read the next page; return whether the log service responded."""
    offset = progress.next_offset
    wait_s = READ_WAIT_S if progress.at_end else 0.0
    result = await log.read(
        progress.stream,
        offset,
        limit=PAGE_RECORDS,
        wait_s=wait_s,
        timeout_s=wait_s + ANSWER_TIMEOUT_S,
    )
    match result:
        case Success(page):
            if not progress.add_page(page, decoder):
                _reject_snapshot(progress, "its last record is not in the stream")
            return True
        case Failure(failure) if failure.kind is LogFailureKind.EXPIRED:
            progress.reads += 1
            progress.restart(failure.first)
            return True
        case Failure(failure):
            progress.note_failure(failure.detail)
    return False


def _reject_snapshot(progress: ReadProgress, reason: str) -> None:
    """Read the stream from its beginning instead."""
    progress.reject_snapshot()
    log_event(
        LOGGER,
        Event.CHECKPOINT_REJECTED,
        level=logging.ERROR,
        stream=progress.stream,
        reason=reason,
    )


def _load_newest_checkpoint(
    progress: ReadProgress,
    create: Callable[[], State],
    load: Callable[[str], State],
    metrics: Metrics,
) -> LoadedStream[State] | None:
    """Load the newest usable checkpoint, or start empty if the whole log is retained.

    Returns ``None`` if neither is possible.
    """
    while True:
        checkpoint = choose_checkpoint(
            progress.checkpoints, oldest_offset=progress.first
        )
        if checkpoint is None:
            return _start_empty(progress, create) if progress.first == 0 else None
        try:
            state = load(checkpoint.document)
        except ValueError as error:
            progress.checkpoints.remove(checkpoint)
            metrics.count("checkpoints", "not-loadable")
            log_event(
                LOGGER,
                Event.CHECKPOINT_REJECTED,
                level=logging.ERROR,
                stream=progress.stream,
                checkpoint=checkpoint.checkpoint_id,
                reason=str(error),
            )
            continue
        start = checkpoint.covers - progress.first
        return LoadedStream(
            state=state,
            checkpoint=checkpoint,
            records=tuple(progress.records[start:]),
            next_offset=progress.next_offset,
        )


def _start_empty(
    progress: ReadProgress, create: Callable[[], State]
) -> LoadedStream[State]:
    return LoadedStream(
        state=create(),
        checkpoint=None,
        records=tuple(progress.records),
        next_offset=progress.next_offset,
    )


def _report_loaded(
    loaded: LoadedStream[State], progress: ReadProgress, metrics: Metrics
) -> Result[LoadedStream[State], BootstrapFailure]:
    checkpoint = loaded.checkpoint
    metrics.count("bootstrap", "from-checkpoint" if checkpoint else "from-start")
    log_event(
        LOGGER,
        Event.BOOTSTRAP_LOADED,
        stream=progress.stream,
        covers=checkpoint.covers if checkpoint else 0,
        next_offset=loaded.next_offset,
        reads=progress.reads,
        failed=progress.failed_reads,
        waited_ms=_measure_wait_ms(progress),
    )
    return Success(loaded)


def _report_failure(
    kind: BootstrapFailureKind, progress: ReadProgress, metrics: Metrics
) -> Result[LoadedStream[State], BootstrapFailure]:
    metrics.count("bootstrap", kind.value)
    detail = (
        f"stream {progress.stream}: {kind.value}; read offsets {progress.first} to "
        f"{progress.next_offset}, {len(progress.checkpoints)} complete checkpoints; "
        f"{REMEDIES[kind]}"
    )
    log_event(LOGGER, Event.BOOTSTRAP_FAILED, level=logging.ERROR, detail=detail)
    return Failure(BootstrapFailure(kind=kind, detail=detail))
