"""Loads a stream's state from the log alone, for a node that has no state yet."""

import asyncio
import dataclasses
import enum
import logging
import random
from collections.abc import Callable
from typing import Generic, TypeVar

from returns.result import Failure, Result, Success

from papayatack.core.checkpoint import (
    Checkpoint,
    CheckpointAssembler,
    choose_checkpoint,
)
from papayatack.core.records import CheckpointChunk
from papayatack.logservice.backoff import Backoff
from papayatack.logservice.decoding import LoggedRecord, RecordDecoder
from papayatack.logservice.interface import LogFailureKind, LogService
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


@dataclasses.dataclass(slots=True, kw_only=True)
class _ReadProgress:
    """The part of the stream that has been read so far.

    Attributes:
        first: Oldest retained offset, as far as known.
        records: The records from ``first`` on.
        checkpoints: Complete checkpoints that were read.
        assembler: Holds the incomplete checkpoints.
        at_end: Whether the end of the stream was reached, so that the next read waits
            for new records.
        end: End of the stream at the last read.
        started_s: Event loop time at which loading began.
        reads: Number of reads that were answered.
        failed_reads: Number of reads that were not.
        last_failure: Detail of the last of these.
    """

    first: int = 0
    records: list[LoggedRecord] = dataclasses.field(default_factory=list)
    checkpoints: list[Checkpoint] = dataclasses.field(default_factory=list)
    assembler: CheckpointAssembler = dataclasses.field(
        default_factory=CheckpointAssembler
    )
    at_end: bool = False
    end: int = 0
    started_s: float = 0.0
    reads: int = 0
    failed_reads: int = 0
    last_failure: str = ""

    @property
    def next_offset(self) -> int:
        return self.first + len(self.records)

    def add(self, logged: LoggedRecord) -> None:
        """Add the next record."""
        record = logged.record
        if type(record) is CheckpointChunk:
            match self.assembler.add(logged.offset, record):
                case Success(checkpoint):
                    self.checkpoints.append(checkpoint)
            shortened = dataclasses.replace(record, data="")
            logged = LoggedRecord(offset=logged.offset, record=shortened)
        self.records.append(logged)

    def restart(self, first: int) -> None:
        """Restart at ``first`` after records expired before they were read.

        The checkpoints are kept: one that covers ``first`` is still usable.
        """
        self.first = first
        self.records.clear()
        self.at_end = False


async def load_stream(
    *,
    log: LogService,
    stream: str,
    create: Callable[[], State],
    load: Callable[[str], State],
    metrics: Metrics,
    random: random.Random,
    deadline_s: float,
) -> Result[LoadedStream[State], BootstrapFailure]:
    """Load a stream's state from the log.

    The state comes from the newest checkpoint whose following records are all
    retained. Without such a checkpoint, the whole stream is folded if its first record
    is still retained. Otherwise the function waits for another node to write a
    checkpoint. A node whose stream cannot be loaded must not start to serve.

    Args:
        log: The log service.
        stream: The stream's name.
        create: Returns the empty state.
        load: Returns the state of a checkpoint's document; raises ValueError if the
            document is invalid.
        metrics: Counts ``bootstrap`` by outcome.
        random: Source of the backoff's jitter.
        deadline_s: Event loop time at which to give up.
    """
    progress = _ReadProgress(started_s=asyncio.get_running_loop().time())
    decoder = RecordDecoder(metrics=metrics)
    backoff = Backoff(initial_s=INITIAL_BACKOFF_S, max_s=MAX_BACKOFF_S, random=random)
    failure = BootstrapFailureKind.LOG_UNAVAILABLE
    reporting = asyncio.ensure_future(_report_progress(progress, stream))
    try:
        async with asyncio.timeout_at(deadline_s):
            while True:
                if not await _read_page(log, stream, decoder, progress):
                    await asyncio.sleep(backoff.advance_delay_s())
                    continue
                if not progress.at_end:
                    continue
                loaded = _load_newest_checkpoint(
                    progress, stream, create, load, metrics
                )
                if loaded is not None:
                    return _report_loaded(loaded, progress, stream, metrics)
                failure = BootstrapFailureKind.NO_CHECKPOINT
    except TimeoutError:
        return _report_failure(failure, progress, stream, metrics)
    finally:
        reporting.cancel()


async def _report_progress(progress: _ReadProgress, stream: str) -> None:
    """Log at intervals how far loading has come, until cancelled."""
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        log_event(
            LOGGER,
            Event.BOOTSTRAP_WAITING,
            level=logging.WARNING,
            stream=stream,
            first=progress.first,
            records=len(progress.records),
            end=progress.end,
            reads=progress.reads,
            failed=progress.failed_reads,
            detail=progress.last_failure,
            waited_ms=_measure_wait_ms(progress),
        )


def _measure_wait_ms(progress: _ReadProgress) -> int:
    return to_ms(asyncio.get_running_loop().time() - progress.started_s)


async def _read_page(
    log: LogService, stream: str, decoder: RecordDecoder, progress: _ReadProgress
) -> bool:
    """Read the next page; return whether the log service responded."""
    offset = progress.next_offset
    wait_s = READ_WAIT_S if progress.at_end else 0.0
    result = await log.read(
        stream,
        offset,
        limit=PAGE_RECORDS,
        wait_s=wait_s,
        timeout_s=wait_s + ANSWER_TIMEOUT_S,
    )
    match result:
        case Success(page):
            for logged in decoder.decode_page(stream, page.first, page.payloads):
                progress.add(logged)
            progress.reads += 1
            progress.end = page.end
            progress.at_end = progress.next_offset >= page.end
            return True
        case Failure(failure) if failure.kind is LogFailureKind.EXPIRED:
            progress.reads += 1
            progress.restart(failure.first)
            return True
        case Failure(failure):
            progress.failed_reads += 1
            progress.last_failure = failure.detail
    return False


def _load_newest_checkpoint(
    progress: _ReadProgress,
    stream: str,
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
                stream=stream,
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
    progress: _ReadProgress, create: Callable[[], State]
) -> LoadedStream[State]:
    return LoadedStream(
        state=create(),
        checkpoint=None,
        records=tuple(progress.records),
        next_offset=progress.next_offset,
    )


def _report_loaded(
    loaded: LoadedStream[State],
    progress: _ReadProgress,
    stream: str,
    metrics: Metrics,
) -> Result[LoadedStream[State], BootstrapFailure]:
    checkpoint = loaded.checkpoint
    metrics.count("bootstrap", "from-checkpoint" if checkpoint else "from-start")
    log_event(
        LOGGER,
        Event.BOOTSTRAP_LOADED,
        stream=stream,
        covers=checkpoint.covers if checkpoint else 0,
        next_offset=loaded.next_offset,
        reads=progress.reads,
        failed=progress.failed_reads,
        waited_ms=_measure_wait_ms(progress),
    )
    return Success(loaded)


def _report_failure(
    kind: BootstrapFailureKind, progress: _ReadProgress, stream: str, metrics: Metrics
) -> Result[LoadedStream[State], BootstrapFailure]:
    metrics.count("bootstrap", kind.value)
    detail = (
        f"stream {stream}: {kind.value}; read offsets {progress.first} to "
        f"{progress.next_offset}, {len(progress.checkpoints)} complete checkpoints; "
        f"{REMEDIES[kind]}"
    )
    log_event(LOGGER, Event.BOOTSTRAP_FAILED, level=logging.ERROR, detail=detail)
    return Failure(BootstrapFailure(kind=kind, detail=detail))
