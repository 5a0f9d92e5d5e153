"""JSON encoding of the records of the log streams.

A record is one JSON object: the record's fields, its ``kind`` and the format version
``v``. Fields that this version does not know are ignored, so that a later version may
add some; a kind or a format version that it does not know is a failure. Whatever does
not decode gives a typed failure and never an exception, because every node must skip
the same records: the rules depend on the payload and the stream alone.
"""

import dataclasses
import enum
import functools
import math
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
MAX_RECORD_BYTES = 256 * 1024
MAX_INTEGER = 2**53 - 1
MAX_DETAIL_CHARACTERS = 200

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
        "checkpoint-chunk": CheckpointChunk,
    },
}
"""The kinds that each stream may carry; the names are part of the format."""

_KIND_OF_CLASS = {
    record_class: kind
    for kinds in RECORD_KINDS.values()
    for kind, record_class in kinds.items()
}


class RecordFailureKind(enum.StrEnum):
    """Why a payload is not a record."""

    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    UNSUPPORTED_VERSION = "unsupported-version"
    UNKNOWN_KIND = "unknown-kind"
    INVALID_FIELDS = "invalid-fields"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordFailure:
    """A payload that every reader skips.

    Attributes:
        kind: Why it is skipped.
        detail: What is wrong, for the log.
    """

    kind: RecordFailureKind
    detail: str = ""


class RecordTooLargeError(ValueError):
    """A record is larger than any reader accepts; split it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Envelope:
    v: Annotated[int, pydantic.Field(ge=0)]
    kind: str


_ENVELOPE = pydantic.TypeAdapter(_Envelope)


@functools.cache
def _get_adapter(record_class: type) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(record_class)


def encode_record(record: OwnershipRecord | ConfigRecord) -> bytes:
    """Return the payload of a record.

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
    """Return the record in ``payload``, or why every reader of ``stream`` skips it."""
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
    place = ".".join(str(part) for part in first["loc"])
    return f"{place}: {first['msg']}" if place else first["msg"]


@functools.singledispatch
def _check_bounds(value: object) -> None:
    """Raise ValueError for a number that no field can hold on every node."""
    for field in dataclasses.fields(value):
        _check_bounds(getattr(value, field.name))


@_check_bounds.register(str)
@_check_bounds.register(type(None))
def _(value: str | None) -> None:
    """Text is bounded by the size of the record."""


@_check_bounds.register
def _(value: int) -> None:
    if not 0 <= value <= MAX_INTEGER:
        raise ValueError("an integer is out of bounds")


@_check_bounds.register
def _(value: float) -> None:
    if not math.isfinite(value):
        raise ValueError("a number is not finite")


@_check_bounds.register
def _(value: tuple) -> None:
    for item in value:
        _check_bounds(item)
