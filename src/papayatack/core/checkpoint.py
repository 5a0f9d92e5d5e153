"""Checkpoints: a stream's folded state, kept in the stream itself.

Records of the log expire, so from time to time a node that holds the state writes it
back, as a document in chunks. A checkpoint says which records it covers; a newcomer
loads one and folds the records that follow. Every reader assembles the same
checkpoints from the same records, whoever wrote them and however they are mixed.
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
    "split_document",
]

MAX_CHUNK_CHARACTERS = 128 * 1024
MAX_CHUNKS = 512
MAX_DOCUMENT_BYTES = 256 * 1024 * 1024
MAX_PARTIAL_CHECKPOINTS = 4

DUE_SHARE = 0.25
"""Age at which a checkpoint is due, as a share of the retention."""

JITTER_SHARE = 0.125
"""Spread of that age over the nodes, as a share of the retention."""

HOLD_OFF_S = 30.0
"""Time for which another writer's last chunk keeps a node from writing too."""

RECOVERY_SPREAD_S = 60.0
"""Spread of the nodes that find a checkpoint due when the log is back."""


class CheckpointFailure(enum.StrEnum):
    """Why a chunk did not complete a checkpoint."""

    INCOMPLETE = "incomplete"
    INVALID_CHUNK = "invalid-chunk"
    UNREADABLE = "unreadable"
    DIGEST_MISMATCH = "digest-mismatch"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Checkpoint:
    """A whole checkpoint whose digest matches.

    Attributes:
        checkpoint_id: Its id.
        writer: Who wrote it.
        covers: The state is that after folding all records before this offset.
        digest: Digest of the document.
        document: The state, as its fold writes it.
        completed_at: Offset of the chunk that completed it.
    """

    checkpoint_id: str
    writer: str
    covers: int
    digest: str
    document: str
    completed_offset: int


def compute_digest(document: str) -> str:
    """Return the digest by which nodes compare documents."""
    return xxhash.xxh3_128_hexdigest(document.encode())


def split_document(
    document: str, *, covers: int, checkpoint_id: str, writer: str
) -> tuple[CheckpointChunk, ...]:
    """Return a document as chunks, each small enough for one record.

    The document is compressed and written in base64, which JSON does not lengthen.

    Raises:
        ValueError: The document is larger than any reader accepts.
    """
    content = document.encode()
    text = base64.b64encode(zlib.compress(content)).decode()
    starts = range(0, len(text), MAX_CHUNK_CHARACTERS)
    if len(content) > MAX_DOCUMENT_BYTES or len(starts) > MAX_CHUNKS:
        raise ValueError(f"a state of {len(content)} bytes is too large")
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
    """What the chunks of one checkpoint have in common."""

    checkpoint_id: str
    writer: str
    covers: int
    count: int
    digest: str


class CheckpointAssembler:
    """Assembles checkpoints from the chunks of a stream.

    Chunks of several checkpoints may be mixed, repeated, or missing for good. A chunk
    that disagrees with others of its id counts as one of another checkpoint, so that
    a bad chunk spoils no good ones. Only the newest few incomplete checkpoints are
    kept.
    """

    def __init__(self) -> None:
        self._partial: dict[_CheckpointHeader, dict[int, str]] = {}

    def add(
        self, offset: int, chunk: CheckpointChunk
    ) -> Result[Checkpoint, CheckpointFailure]:
        """Take in the chunk at ``offset``; return the checkpoint it completes."""
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
    """Return the newest checkpoint whose successor records are all kept.

    Args:
        checkpoints: Whole checkpoints, in the order in which they were completed.
        first_kept: Oldest offset that the log still keeps.
    """
    usable = [item for item in checkpoints if item.covers >= oldest_offset]
    return max(usable, key=lambda item: item.covers, default=None)


class CheckpointSchedule:
    """Tells when a node should write a checkpoint.

    A checkpoint is due once the newest one has reached a share of the retention.
    Nodes differ by a jitter that depends on the node and on that checkpoint, so that
    one of them writes before the others think of it, and not always the same one.

    An outage of the log only makes the newest checkpoint older, so that the state in
    memory is due to be written once the log is back; the nodes then differ by a
    shorter spread.

    Args:
        incarnation: This node.
        retention_s: Seconds for which the log keeps records.
        now: Event loop time, when nothing is known of any checkpoint.
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
        """What the newest whole checkpoint covers, -1 if none is known."""
        return self._newest_covers

    def note_chunk(self, *, now: float) -> None:
        """Another node's chunk was read: it is writing a checkpoint."""
        self._chunk_seen_s = now

    def note_checkpoint(self, checkpoint: Checkpoint, *, now: float) -> None:
        """A whole checkpoint was read while following the stream."""
        if checkpoint.covers > self._newest_covers:
            self._newest_covers = checkpoint.covers
            self._newest_id = checkpoint.checkpoint_id
            self._written_s = now

    def note_loaded(self, checkpoint: Checkpoint, *, now: float) -> None:
        """A checkpoint of unknown age was loaded at the start."""
        self.note_checkpoint(checkpoint, now=now - DUE_SHARE * self._retention_s)

    def note_log_recovered(self, *, now: float) -> None:
        """The log answers again after an outage."""
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
        """Tell whether this node should write a checkpoint now."""
        return now >= self.find_due_s()
