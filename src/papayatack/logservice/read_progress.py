"""The part of a stream that a node that starts has read so far."""

import dataclasses

from returns.result import Success

from papayatack.core.checkpoint import (
    Checkpoint,
    CheckpointAssembler,
    compute_payload_digest,
)
from papayatack.core.records import CheckpointChunk
from papayatack.logservice.decoding import LoggedRecord, RecordDecoder
from papayatack.logservice.interface import LogPage, StoredSnapshot

__all__ = ["ReadProgress"]


@dataclasses.dataclass(slots=True, kw_only=True)
class ReadProgress:
    """The part of a stream that has been read so far.

    Attributes:
        stream: The stream's name.
        started_s: Event loop time at which loading began.
        first: Oldest retained offset, as far as known.
        records: The records from ``first`` on.
        checkpoints: Complete checkpoints that were read.
        assembler: Holds the incomplete checkpoints.
        snapshot: The stored snapshot, unless it is no part of the stream.
        at_end: Whether the end of the stream was reached, so that the next read waits
            for new records.
        end: End of the stream at the last read.
        reads: Number of reads that were answered.
        failed_reads: Number of reads that were not.
        last_failure: Detail of the last of these.
    """

    stream: str
    started_s: float
    first: int = 0
    records: list[LoggedRecord] = dataclasses.field(default_factory=list)
    checkpoints: list[Checkpoint] = dataclasses.field(default_factory=list)
    assembler: CheckpointAssembler = dataclasses.field(
        default_factory=CheckpointAssembler
    )
    snapshot: StoredSnapshot | None = None
    _is_compared: bool = dataclasses.field(default=False, init=False)
    at_end: bool = False
    end: int = 0
    reads: int = 0
    failed_reads: int = 0
    last_failure: str = ""

    @property
    def next_offset(self) -> int:
        """Offset of the next record to read."""
        return self.first + len(self.records)

    def start_from(self, snapshot: StoredSnapshot) -> None:
        """Continue with the last record that a snapshot covers."""
        self.restart(snapshot.covers - 1)
        self.snapshot = snapshot

    def reject_snapshot(self) -> None:
        """Restart at the beginning, without the snapshot."""
        self.restart(0)
        self.snapshot = None

    def add_page(self, page: LogPage, decoder: RecordDecoder) -> bool:
        """Add the next records.

        Returns:
            Whether the snapshot belongs to the stream, as far as the page shows. If
            not, nothing was added.
        """
        if not self._check_snapshot(page):
            return False
        for logged in decoder.decode_page(self.stream, page.first, page.payloads):
            self._add(logged)
        self.reads += 1
        self.end = page.end
        self.at_end = self.next_offset >= page.end
        return True

    def note_failure(self, detail: str) -> None:
        """Record that a read was not answered."""
        self.failed_reads += 1
        self.last_failure = detail

    def restart(self, first: int) -> None:
        """Restart at ``first`` after records expired before they were read.

        The checkpoints are kept: one that covers ``first`` is still usable. The
        snapshot must be compared with the stream again.
        """
        self.first = first
        self.records.clear()
        self.at_end = False
        if self._is_compared:
            own = _name_snapshot(self.snapshot)
            kept = (item for item in self.checkpoints if item.checkpoint_id != own)
            self.checkpoints = list(kept)
            self._is_compared = False

    def _add(self, logged: LoggedRecord) -> None:
        record = logged.record
        if type(record) is CheckpointChunk:
            match self.assembler.add(logged.offset, record):
                case Success(checkpoint):
                    self.checkpoints.append(checkpoint)
            shortened = dataclasses.replace(record, data="")
            logged = LoggedRecord(offset=logged.offset, record=shortened)
        self.records.append(logged)

    def _check_snapshot(self, page: LogPage) -> bool:
        """Compare the last record that the snapshot covers, if the page has it."""
        snapshot = self.snapshot
        if snapshot is None or self._is_compared:
            return True
        index = snapshot.covers - 1 - page.first
        if index >= len(page.payloads) and page.end >= snapshot.covers:
            return True
        if not 0 <= index < len(page.payloads):
            return False
        if compute_payload_digest(page.payloads[index]) != snapshot.last_record:
            return False
        self.checkpoints.append(_convert_snapshot(snapshot))
        self._is_compared = True
        return True


def _name_snapshot(snapshot: StoredSnapshot) -> str:
    return f"snapshot/{snapshot.writer}/{snapshot.covers}"


def _convert_snapshot(snapshot: StoredSnapshot) -> Checkpoint:
    return Checkpoint(
        checkpoint_id=_name_snapshot(snapshot),
        writer=snapshot.writer,
        covers=snapshot.covers,
        digest="",
        document=snapshot.document,
        completed_offset=snapshot.covers,
    )
