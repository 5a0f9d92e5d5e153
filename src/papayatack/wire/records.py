"""JSON encoding of the records of the log streams.

A record is one JSON object with the fields of the record, its ``kind`` and the format
version ``v``. Unknown fields are ignored, so that a later version may add fields; an
unknown kind or format version is a failure. A payload that cannot be decoded gives a
typed failure instead of an exception. Every node must skip the same records, so the
result depends only on the payload and the stream.
"""

import dataclasses
import enum
import functools
import math
import re
from collections.abc import Mapping
from typing import Annotated, Any

import pydantic
import pydantic_core
from returns.result import Failure, Result, Success

from papayatack.core.records import (
    CONFIG_STREAM,
    OWNERSHIP_STREAM,
    Activate,
    Admit,
    Announce,
    Assign,
    Attach,
    CheckpointChunk,
    ConfigRecord,
    DeclareLost,
    Fenced,
    OwnershipRecord,
    Publish,
    ReportSuspects,
    Retire,
)

__all__ = [
    "FORMAT_VERSION",
    "MAX_INTEGER",
    "MAX_RECORD_BYTES",
    "RECORD_KINDS",
    "RecordFailure",
    "RecordFailureKind",
    "RecordTooLargeError",
    "decode_record",
    "encode_record",
]

FORMAT_VERSION = 1
"""Version of the record format, written as ``v``."""

MAX_RECORD_BYTES = 256 * 1024
"""Largest payload of a record that is written or read."""

MAX_INTEGER = 2**53 - 1
"""Largest integer that a field of a record may have."""

MAX_DETAIL_CHARACTERS = 200
"""Length to which the detail of a failure is truncated."""

RECORD_KINDS: Mapping[str, Mapping[str, type]] = {
    CONFIG_STREAM: {
        "publish": Publish,
        "checkpoint-chunk": CheckpointChunk,
    },
    OWNERSHIP_STREAM: {
        "announce": Announce,
        "attach": Attach,
        "admit": Admit,
        "assign": Assign,
        "activate": Activate,
        "retire": Retire,
        "fenced": Fenced,
        "declare-lost": DeclareLost,
        "report-suspects": ReportSuspects,
        "checkpoint-chunk": CheckpointChunk,
    },
}
"""Record class by kind, for each stream; the kinds are part of the format."""

_KIND_OF_CLASS = {
    record_class: kind
    for kinds in RECORD_KINDS.values()
    for kind, record_class in kinds.items()
}


class RecordFailureKind(enum.StrEnum):
    """Reason for which a payload cannot be decoded."""

    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    UNSUPPORTED_VERSION = "unsupported-version"
    UNKNOWN_KIND = "unknown-kind"
    INVALID_FIELDS = "invalid-fields"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordFailure:
    """Description of a payload that cannot be decoded and that every reader skips.

    Attributes:
        kind: Reason of the failure.
        detail: Description of the error for the log.
    """

    kind: RecordFailureKind
    detail: str = ""


class RecordTooLargeError(ValueError):
    """A record exceeds ``MAX_RECORD_BYTES``; the writer must split it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Envelope:
    v: Annotated[int, pydantic.Field(ge=0)]
    kind: str


_ENVELOPE = pydantic.TypeAdapter(_Envelope)

_UNUSUAL_NUMBER = re.compile(rb"[:,\[]\s*-|\d{16}")
"""Matches payloads in which an integer may be out of range: negative or of 16 digits.
Records have no other numbers."""


@functools.cache
def _get_adapter(record_class: type) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(record_class)


def encode_record(record: OwnershipRecord | ConfigRecord) -> bytes:
    """Encode a record as its JSON payload.

    Raises:
        RecordTooLargeError: The payload exceeds ``MAX_RECORD_BYTES``.
    """
    record_class = type(record)
    fields = _get_adapter(record_class).dump_python(record, mode="json")
    payload = pydantic_core.to_json(
        {"v": FORMAT_VERSION, "kind": _KIND_OF_CLASS[record_class], **fields}
    )
    if len(payload) > MAX_RECORD_BYTES:
        raise RecordTooLargeError(
            f"record {record.record_id} has {len(payload)} bytes, "
            f"the limit is {MAX_RECORD_BYTES}"
        )
    return payload


def decode_record(
    stream: str, payload: bytes
) -> Result[OwnershipRecord | ConfigRecord, RecordFailure]:
    """Decode a payload of ``stream``.

    Returns the record, or the failure for which every reader of the stream skips it.
    """
    if len(payload) > MAX_RECORD_BYTES:
        return _fail(RecordFailureKind.OVERSIZED, f"{len(payload)} bytes")
    try:
        envelope = _ENVELOPE.validate_json(payload, strict=True)
    except ValueError as error:
        return _fail(RecordFailureKind.MALFORMED, _summarize(error))
    if envelope.v != FORMAT_VERSION:
        return _fail(RecordFailureKind.UNSUPPORTED_VERSION, str(envelope.v))
    record_class = RECORD_KINDS.get(stream, {}).get(envelope.kind)
    if record_class is None:
        return _fail(RecordFailureKind.UNKNOWN_KIND, envelope.kind)
    try:
        record = _get_adapter(record_class).validate_json(payload, strict=True)
        if _UNUSUAL_NUMBER.search(payload):
            _check_bounds(record)
    except ValueError as error:
        return _fail(RecordFailureKind.INVALID_FIELDS, _summarize(error))
    return Success(record)


def _fail(kind: RecordFailureKind, detail: str) -> Result[Any, RecordFailure]:
    return Failure(RecordFailure(kind=kind, detail=detail[:MAX_DETAIL_CHARACTERS]))


@functools.singledispatch
def _summarize(error: ValueError) -> str:
    return str(error)


@_summarize.register
def _(error: pydantic.ValidationError) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    path = ".".join(str(part) for part in first["loc"])
    return f"{path}: {first['msg']}" if path else first["msg"]


@functools.singledispatch
def _check_bounds(value: object) -> None:
    """Raise ``ValueError`` if a number in ``value`` is out of range.

    The range is the one that every node can represent: integers from 0 to
    ``MAX_INTEGER`` and finite floats.
    """
    for field in dataclasses.fields(value):
        _check_bounds(getattr(value, field.name))


@_check_bounds.register(str)
@_check_bounds.register(type(None))
def _(value: str | None) -> None:
    """Accept any text, since the limit on the record bounds its size."""


@_check_bounds.register
def _(value: int) -> None:
    if not 0 <= value <= MAX_INTEGER:
        raise ValueError("integer out of range")


@_check_bounds.register
def _(value: float) -> None:
    if not math.isfinite(value):
        raise ValueError("number is not finite")


@_check_bounds.register
def _(value: tuple) -> None:
    for item in value:
        _check_bounds(item)
