"""Keeps the newest snapshot of the ownership state in a topic of the store.

A snapshot consists of parts, each a record with a key of its own, so that the newest
ones are retained and replace the earlier ones. All parts are appended in one call, on
the condition that no other node has appended a snapshot meanwhile.
"""

import http
import uuid
import zlib

import pydantic
from returns.result import Failure, Result, Success

from papayatack.core.checkpoint import MAX_DOCUMENT_BYTES, compute_digest
from papayatack.logservice.calls import HttpCall
from papayatack.logservice.interface import (
    LogFailure,
    LogFailureKind,
    StoredSnapshot,
)
from papayatack.observability.metrics import Metrics
from papayatack.platform.store_calls import (
    CALL_ERRORS,
    SNAPSHOT_TOPIC,
    StatusError,
    StoreCalls,
)
from papayatack.platform.topics import StoreRecord

__all__ = ["PlatformSnapshots"]

PART_BYTES = 200_000
"""Size of a part, below the store's limit on a record."""

MAX_PARTS = 9
"""Maximum number of parts, whose sum is below the store's limit on one call."""

COMPRESSION_LEVEL = 3
"""zlib compression level, from 0 to 9."""


class _PartHeader(pydantic.BaseModel):
    """First line of a part; all parts of a snapshot have the same but for the index.

    Attributes:
        snapshot: Id of the snapshot.
        index: Index of the part, from 0.
        count: Number of parts.
        digest: Digest of the document.
    """

    model_config = pydantic.ConfigDict(frozen=True, strict=True)

    snapshot: str
    index: pydantic.NonNegativeInt
    count: pydantic.PositiveInt
    writer: str
    covers: pydantic.PositiveInt
    last_record: str
    digest: str


class PlatformSnapshots:
    """Implements :class:`papayatack.logservice.interface.SnapshotStore`.

    Args:
        calls: Calls to the store.
        metrics: Counts ``snapshots`` that cannot be read by reason.
    """

    def __init__(self, *, calls: StoreCalls, metrics: Metrics) -> None:
        self._calls = calls
        self._metrics = metrics
        self._end = 0

    async def read_snapshot(
        self, *, timeout_s: float
    ) -> Result[StoredSnapshot | None, LogFailure]:
        """Return the snapshot, ``None`` if there is none that can be read."""
        try:
            found = await self._calls.read_keys(
                SNAPSHOT_TOPIC,
                after="",
                timeout_s=timeout_s,
                idle_timeout_s=timeout_s,
            )
        except StatusError as error:
            if not error.is_final:
                return _refuse(str(error))
            self._metrics.count("snapshots", "unreadable")
            return Success(None)
        except CALL_ERRORS as error:
            return _refuse(str(error) or type(error).__name__)
        self._end = found.end
        if not found.records:
            return Success(None)
        try:
            return Success(_join_parts(found.records))
        except (ValueError, zlib.error):
            self._metrics.count("snapshots", "unreadable")
            return Success(None)

    async def write_snapshot(
        self, snapshot: StoredSnapshot, *, timeout_s: float
    ) -> Result[None, LogFailure]:
        """Replace the snapshot unless another node has done so meanwhile."""
        parts = _split_snapshot(snapshot)
        if len(parts) > MAX_PARTS:
            return _refuse(f"a state of {len(snapshot.document)} bytes is too large")
        try:
            appended = await self._calls.append(
                SNAPSHOT_TOPIC,
                parts,
                call=HttpCall(method="POST", target=""),
                at=self._end,
                timeout_s=timeout_s,
            )
        except CALL_ERRORS as error:
            return _refuse(str(error) or type(error).__name__)
        if appended.offset is not None:
            self._end = appended.offset + len(parts)
            return Success(None)
        if appended.status == http.HTTPStatus.PRECONDITION_FAILED:
            self._end = appended.end
        return _refuse(f"status {appended.status}")


def _refuse(detail: str) -> Failure[LogFailure]:
    return Failure(LogFailure(kind=LogFailureKind.REFUSED, detail=detail))


def _split_snapshot(snapshot: StoredSnapshot) -> list[tuple[bytes, bytes]]:
    """Return the key and the value of each part of a snapshot."""
    content = zlib.compress(snapshot.document.encode(), COMPRESSION_LEVEL)
    starts = range(0, len(content), PART_BYTES)
    header = _PartHeader(
        snapshot=uuid.uuid4().hex,
        index=0,
        count=len(starts),
        writer=snapshot.writer,
        covers=snapshot.covers,
        last_record=snapshot.last_record,
        digest=compute_digest(snapshot.document),
    )
    parts = []
    for index, start in enumerate(starts):
        line = header.model_copy(update={"index": index}).model_dump_json().encode()
        value = line + b"\n" + content[start : start + PART_BYTES]
        parts.append((b"part-%04d" % index, value))
    return parts


def _join_parts(records: tuple[StoreRecord, ...]) -> StoredSnapshot:
    """Return the snapshot of which all parts are there.

    Raises:
        ValueError: There is none, or it is malformed.
        zlib.error: It cannot be decompressed.
    """
    newest = max(records, key=lambda record: record.offset)
    first = _parse_part(newest.value)[0].model_copy(update={"index": 0})
    contents = {}
    for record in records:
        header, content = _parse_part(record.value)
        if header.model_copy(update={"index": 0}) == first:
            contents[header.index] = content
    if sorted(contents) != list(range(first.count)):
        raise ValueError("a part of the snapshot is missing")
    content = b"".join(contents[index] for index in range(first.count))
    inflater = zlib.decompressobj()
    document = inflater.decompress(content, MAX_DOCUMENT_BYTES).decode()
    if not inflater.eof or compute_digest(document) != first.digest:
        raise ValueError("the snapshot does not match its digest")
    return StoredSnapshot(
        writer=first.writer,
        covers=first.covers,
        last_record=first.last_record,
        document=document,
    )


def _parse_part(value: bytes) -> tuple[_PartHeader, bytes]:
    line, _, content = value.partition(b"\n")
    return _PartHeader.model_validate_json(line), content
