"""Implements the product's log service on the platform's store.

The ownership stream is a topic that retains the newest record of each key for ever.
Each record has a unique key, so that the whole stream is retained. The config stream is
the operators' topic, of which only the newest manifest is used.
"""

import base64
import dataclasses
import http
import struct
import urllib.parse
import uuid

import h11
import pydantic
from pydantic.alias_generators import to_pascal
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM
from papayatack.logservice.calls import HttpCall, HttpClient, ResponseError
from papayatack.logservice.interface import LogFailure, LogFailureKind, LogPage
from papayatack.observability.metrics import Metrics

__all__ = ["PlatformStore"]

TOPICS = {CONFIG_STREAM: "keyed.op", OWNERSHIP_STREAM: "keyed.ownership"}
_STREAMS = {topic: stream for stream, topic in TOPICS.items()}
MANIFEST_KEY = b"config"
PARTITION = 0
MAX_READ_KB = 1024
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
_CALL_ERRORS = (OSError, h11.ProtocolError, ResponseError, ValueError)


class _StoreResponse(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(alias_generator=to_pascal)


class _AppendResponse(_StoreResponse):
    offset: pydantic.NonNegativeInt


class _NewestItem(_StoreResponse):
    key: str
    value: str
    offset: pydantic.NonNegativeInt


class _NewestResponse(_StoreResponse):
    items: list[_NewestItem] = pydantic.Field(alias="items")
    has_more: bool = False
    end_offset: pydantic.NonNegativeInt


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Record:
    offset: int
    key: bytes
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _TopicPage:
    """Records of a topic in order of their offsets, and the end offset of the topic."""

    records: tuple[_Record, ...]
    end: int


class PlatformStore:
    """Log service on the store; implements :class:`papayatack.logservice.LogService`.

    Args:
        host: IP address of the store.
        port: TCP port of the store.
        metrics: Counts ``store_calls`` by kind and stream.
    """

    def __init__(self, *, host: str, port: int, metrics: Metrics) -> None:
        self._caller = HttpClient(host=host, port=port)
        self._metrics = metrics
        self._scanned_offsets = dict.fromkeys(TOPICS, 0)

    async def append(
        self, stream: str, payload: bytes, *, timeout_s: float
    ) -> Result[int, LogFailure]:
        """Append one record and return its offset.

        A failure of kind ``UNKNOWN`` means that the record may have been appended.
        """
        key = uuid.uuid4().hex.encode()
        content = bytes([len(key)]) + key + payload
        query = urllib.parse.urlencode({"Topic": TOPICS[stream], "part": PARTITION})
        call = HttpCall(
            method="POST",
            target=f"/log-append?{query}",
            body=_LENGTH.pack(len(content)) + content,
        )
        self._metrics.count("store_calls", f"append {stream}")
        try:
            status, response = await self._caller.call(call, timeout_s=timeout_s)
        except _CALL_ERRORS as error:
            kind = LogFailureKind.UNKNOWN if call.sent else LogFailureKind.REFUSED
            return _fail(kind, _describe(error))
        if status != http.HTTPStatus.OK:
            was_rejected = status < 500 or status == http.HTTPStatus.SERVICE_UNAVAILABLE
            kind = LogFailureKind.REFUSED if was_rejected else LogFailureKind.UNKNOWN
            return _fail(kind, f"status {status}")
        try:
            return Success(_AppendResponse.model_validate_json(response).offset)
        except ValueError:
            return _fail(LogFailureKind.UNKNOWN, "malformed response to an append")

    async def read(
        self, stream: str, offset: int, *, limit: int, wait_s: float, timeout_s: float
    ) -> Result[LogPage, LogFailure]:
        """Read records from ``offset`` on, waiting up to ``wait_s`` for the first."""
        start = max(offset, self._scanned_offsets[stream])
        found = await self._read_topic(TOPICS[stream], start, wait_s, timeout_s)
        if not is_successful(found):
            return Failure(found.failure())
        if stream == CONFIG_STREAM:
            return Success(self._select_manifest(found.unwrap()))
        return _build_page(found.unwrap(), offset, limit)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._caller.close()

    def _select_manifest(self, found: _TopicPage) -> LogPage:
        """Return a page with the newest manifest, without any other records."""
        if found.records:
            self._scanned_offsets[CONFIG_STREAM] = found.records[-1].offset + 1
        manifests = [item for item in found.records if item.key == MANIFEST_KEY]
        if not manifests:
            return LogPage(first=found.end, payloads=(), end=found.end)
        newest = manifests[-1]
        return LogPage(first=newest.offset, payloads=(newest.value,), end=found.end)

    async def _read_topic(
        self, topic: str, offset: int, wait_s: float, timeout_s: float
    ) -> Result[_TopicPage, LogFailure]:
        query = urllib.parse.urlencode(
            {
                "Topic": topic,
                "part": PARTITION,
                "From": offset,
                "MaxKb": MAX_READ_KB,
                "WaitMs": int(wait_s * 1000),
            }
        )
        call = HttpCall(method="GET", target=f"/log-read?{query}")
        self._metrics.count("store_calls", f"read {_STREAMS[topic]}")
        try:
            status, content = await self._caller.call(call, timeout_s=timeout_s)
            if status == http.HTTPStatus.GONE:
                return Success(await self._read_newest(topic, offset, timeout_s))
            if status != http.HTTPStatus.OK:
                return _fail(LogFailureKind.REFUSED, f"status {status}")
            return Success(_parse_records(content, offset))
        except _CALL_ERRORS as error:
            return _fail(LogFailureKind.REFUSED, _describe(error))

    async def _read_newest(
        self, topic: str, offset: int, timeout_s: float
    ) -> _TopicPage:
        """Return the newest record of each key, from ``offset`` on.

        Raises:
            ResponseError: The store responded with an error status.
            ValueError: A response is malformed.
        """
        records: list[_Record] = []
        after = ""
        while True:
            query = {"Topic": topic, "part": PARTITION}
            if after:
                query["after"] = after
            call = HttpCall(
                method="GET", target=f"/log-newest?{urllib.parse.urlencode(query)}"
            )
            self._metrics.count("store_calls", f"newest {_STREAMS[topic]}")
            status, content = await self._caller.call(call, timeout_s=timeout_s)
            if status != http.HTTPStatus.OK:
                raise ResponseError(f"status {status}")
            response = _NewestResponse.model_validate_json(content)
            records.extend(map(_parse_item, response.items))
            if not response.has_more or not response.items:
                break
            after = response.items[-1].key
        records.sort(key=lambda record: record.offset)
        kept = tuple(record for record in records if record.offset >= offset)
        end = max([response.end_offset, *(record.offset + 1 for record in kept)])
        return _TopicPage(records=kept, end=end)


def _parse_item(item: _NewestItem) -> _Record:
    value = base64.b64decode(item.value)
    return _Record(offset=item.offset, key=item.key.encode(), value=value)


def _parse_records(content: bytes, offset: int) -> _TopicPage:
    """Parse a read response: end offset, first retained offset, then the records.

    Raises:
        ValueError: The content is truncated or malformed.
    """
    try:
        end, _ = _OFFSETS.unpack_from(content)
        records = []
        position = _OFFSETS.size
        while position < len(content):
            (length,) = _LENGTH.unpack_from(content, position)
            position += _LENGTH.size
            record = content[position : position + length]
            if len(record) < length:
                raise ValueError("record truncated")
            position += length
            records.append(_parse_record(offset + len(records), record))
    except struct.error as error:
        raise ValueError(f"malformed page of records: {error}") from error
    return _TopicPage(records=tuple(records), end=end)


def _parse_record(offset: int, content: bytes) -> _Record:
    key_length = content[0] if content else 0
    return _Record(
        offset=offset,
        key=content[1 : 1 + key_length],
        value=content[1 + key_length :],
    )


def _build_page(
    found: _TopicPage, offset: int, limit: int
) -> Result[LogPage, LogFailure]:
    """Return the contiguous records from ``offset`` on.

    Fails with ``EXPIRED`` if the record at ``offset`` is no longer retained.
    """
    records = found.records[:limit]
    if records and records[0].offset != offset:
        first = records[0].offset
        return Failure(LogFailure(kind=LogFailureKind.EXPIRED, first=first))
    payloads = []
    for expected_offset, record in enumerate(records, offset):
        if record.offset != expected_offset:
            break
        payloads.append(record.value)
    return Success(LogPage(first=offset, payloads=tuple(payloads), end=found.end))


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__


def _fail(kind: LogFailureKind, detail: str) -> Failure[LogFailure]:
    return Failure(LogFailure(kind=kind, detail=detail))
