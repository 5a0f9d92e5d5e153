"""Checkpoints: snapshots of a stream's folded state, stored in the stream itself.

Records of the log expire. Therefore a node that holds the state periodically writes it
to the stream as a document split into chunks. A checkpoint states which records it
covers; a node that starts loads one and applies the records that follow. All readers
assemble the same checkpoints from the same records, even if chunks of several writers
are interleaved.
"""

import base64
import binascii
import dataclasses
import enum
import zlib
from collections.abc import Iterable

import xxhash
from returns.result import Failure, Result, Success

from papayatack.core.records import CheckpointChunk

__all__ = [
    "MAX_CHUNKS",
    "MAX_DOCUMENT_BYTES",
    "Checkpoint",
    "CheckpointAssembler",
    "CheckpointFailure",
    "CheckpointSchedule",
    "choose_checkpoint",
    "compute_digest",
    "compute_payload_digest",
    "split_document",
]

MAX_CHUNK_CHARACTERS = 128 * 1024
MAX_CHUNKS = 512
MAX_DOCUMENT_BYTES = 256 * 1024 * 1024
MAX_PARTIAL_CHECKPOINTS = 4

DUE_SHARE = 0.25
"""Minimum age at which the next checkpoint is due, as a share of the retention."""

JITTER_SHARE = 0.125
"""Jitter added to that age per node, as a share of the retention."""

HOLD_OFF_S = 30.0
"""Time to wait after another writer's latest chunk before writing a checkpoint."""

RECOVERY_SPREAD_S = 60.0
"""Period over which nodes spread their checkpoints after an outage of the log."""


class CheckpointFailure(enum.StrEnum):
    """Reasons why a chunk did not complete a checkpoint."""

    INCOMPLETE = "incomplete"
    INVALID_CHUNK = "invalid-chunk"
    UNREADABLE = "unreadable"
    DIGEST_MISMATCH = "digest-mismatch"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Checkpoint:
    """A complete checkpoint whose digest has been verified.

    Attributes:
        checkpoint_id: Id of the checkpoint.
        writer: The node that wrote it.
        covers: Offset before which all records have been applied to the state.
        digest: Digest of the document.
        document: The state, serialized by its fold.
        completed_offset: Offset of the chunk that completed the checkpoint.
    """

    checkpoint_id: str
    writer: str
    covers: int
    digest: str
    document: str
    completed_offset: int


def compute_digest(document: str) -> str:
    """Return the digest that nodes use to compare documents."""
    return compute_payload_digest(document.encode())


def compute_payload_digest(payload: bytes) -> str:
    """Return the digest by which nodes recognize an encoded record."""
    return xxhash.xxh3_128_hexdigest(payload)


def split_document(
    document: str, *, covers: int, checkpoint_id: str, writer: str
) -> tuple[CheckpointChunk, ...]:
    """Split a document into chunks that each fit into one record.

    The document is compressed and encoded as base64, which JSON need not escape.

    Raises:
        ValueError: The document is larger than readers accept.
    """
    content = document.encode()
    text = base64.b64encode(zlib.compress(content)).decode()
    starts = range(0, len(text), MAX_CHUNK_CHARACTERS)
    if len(content) > MAX_DOCUMENT_BYTES or len(starts) > MAX_CHUNKS:
        raise ValueError(
            f"a state of {len(content)} bytes exceeds the checkpoint limit"
        )
    digest = compute_digest(document)
    return tuple(
        CheckpointChunk(
            record_id=f"{checkpoint_id}/{index}",
            writer=writer,
            checkpoint_id=checkpoint_id,
            covers=covers,
            index=index,
            count=len(starts),
            digest=digest,
            data=text[start : start + MAX_CHUNK_CHARACTERS],
        )
        for index, start in enumerate(starts)
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _CheckpointHeader:
    """The fields that all chunks of one checkpoint share."""

    checkpoint_id: str
    writer: str
    covers: int
    count: int
    digest: str


class CheckpointAssembler:
    """Assembles checkpoints from the chunks of a stream.

    Chunks of several checkpoints may be interleaved, repeated or permanently missing. A
    chunk whose header differs from others with the same id is treated as part of
    another checkpoint, so that a bad chunk does not invalidate good ones. Only the
    ``MAX_PARTIAL_CHECKPOINTS`` incomplete checkpoints that most recently received a
    chunk are kept.
    """

    def __init__(self) -> None:
        self._partial: dict[_CheckpointHeader, dict[int, str]] = {}

    def add(
        self, offset: int, chunk: CheckpointChunk
    ) -> Result[Checkpoint, CheckpointFailure]:
        """Add the chunk at ``offset``; return the checkpoint that it completes."""
        if not _is_valid(offset, chunk):
            return Failure(CheckpointFailure.INVALID_CHUNK)
        header = _CheckpointHeader(
            checkpoint_id=chunk.checkpoint_id,
            writer=chunk.writer,
            covers=chunk.covers,
            count=chunk.count,
            digest=chunk.digest,
        )
        parts = self._partial.pop(header, {})
        parts.setdefault(chunk.index, chunk.data)
        if len(parts) < chunk.count:
            self._store_partial(header, parts)
            return Failure(CheckpointFailure.INCOMPLETE)
        text = "".join(parts[index] for index in range(chunk.count))
        return _decode_document(text, chunk.digest).map(
            lambda document: Checkpoint(
                checkpoint_id=header.checkpoint_id,
                writer=header.writer,
                covers=header.covers,
                digest=header.digest,
                document=document,
                completed_offset=offset,
            )
        )

    def _store_partial(self, header: _CheckpointHeader, parts: dict[int, str]) -> None:
        self._partial[header] = parts
        if len(self._partial) > MAX_PARTIAL_CHECKPOINTS:
            del self._partial[next(iter(self._partial))]


def _is_valid(offset: int, chunk: CheckpointChunk) -> bool:
    if not 0 < chunk.count <= MAX_CHUNKS or not 0 <= chunk.index < chunk.count:
        return False
    return chunk.covers <= offset and len(chunk.data) <= MAX_CHUNK_CHARACTERS


def _decode_document(text: str, digest: str) -> Result[str, CheckpointFailure]:
    try:
        inflater = zlib.decompressobj()
        content = base64.b64decode(text, validate=True)
        document = inflater.decompress(content, MAX_DOCUMENT_BYTES).decode()
    except (binascii.Error, ValueError, zlib.error):
        return Failure(CheckpointFailure.UNREADABLE)
    if not inflater.eof:
        return Failure(CheckpointFailure.UNREADABLE)
    if compute_digest(document) != digest:
        return Failure(CheckpointFailure.DIGEST_MISMATCH)
    return Success(document)


def choose_checkpoint(
    checkpoints: Iterable[Checkpoint], *, oldest_offset: int
) -> Checkpoint | None:
    """Return the newest checkpoint whose following records are all retained.

    Args:
        checkpoints: Complete checkpoints, in the order of their completion.
        oldest_offset: Oldest offset that the log still retains.
    """
    usable = [item for item in checkpoints if item.covers >= oldest_offset]
    return max(usable, key=lambda item: item.covers, default=None)


class CheckpointSchedule:
    """Decides when a node should write a checkpoint.

    A checkpoint is due once the age of the newest one has reached a share of the
    retention. Each node adds a jitter that depends on the node and on that checkpoint,
    so that one node writes before the others are due, and not always the same one.

    The newest checkpoint continues to age during an outage of the log. When the log is
    available again, the nodes write their states spread over ``RECOVERY_SPREAD_S``.

    Args:
        incarnation: Incarnation of this node.
        retention_s: Seconds for which the log retains records.
        now: Event loop time in seconds, from which the first checkpoint is scheduled.
    """

    def __init__(self, *, incarnation: str, retention_s: float, now: float) -> None:
        self._incarnation = incarnation
        self._retention_s = retention_s
        self._newest_id = ""
        self._newest_covers = -1
        self._written_s = now - DUE_SHARE * retention_s
        self._chunk_seen_s = float("-inf")
        self._log_recovered_s = float("-inf")

    @property
    def newest_covered_offset(self) -> int:
        """``covers`` of the newest complete checkpoint, or -1 if none is known."""
        return self._newest_covers

    def note_chunk(self, *, now: float) -> None:
        """Record that another node is writing a checkpoint, as its chunk was read."""
        self._chunk_seen_s = now

    def note_checkpoint(self, checkpoint: Checkpoint, *, now: float) -> None:
        """Record a complete checkpoint that was read while following the stream."""
        if checkpoint.covers > self._newest_covers:
            self._newest_covers = checkpoint.covers
            self._newest_id = checkpoint.checkpoint_id
            self._written_s = now

    def note_loaded(self, checkpoint: Checkpoint, *, now: float) -> None:
        """Record a checkpoint loaded at start-up, whose age is unknown."""
        self.note_checkpoint(checkpoint, now=now - DUE_SHARE * self._retention_s)

    def note_log_recovered(self, *, now: float) -> None:
        """Record that the log is available again after an outage."""
        self._log_recovered_s = now

    def find_due_s(self) -> float:
        """Return the event loop time from which a checkpoint is due."""
        seed = f"{self._incarnation} {self._newest_id}".encode()
        fraction = xxhash.xxh3_64_intdigest(seed) / 2**64
        share = DUE_SHARE + JITTER_SHARE * fraction
        return max(
            self._written_s + share * self._retention_s,
            self._chunk_seen_s + HOLD_OFF_S,
            self._log_recovered_s + RECOVERY_SPREAD_S * fraction,
        )

    def is_due(self, *, now: float) -> bool:
        """Return whether this node should write a checkpoint now."""
        return now >= self.find_due_s()
