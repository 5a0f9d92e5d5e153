"""Calls to the platform's store: reads and appends of its topics."""

import base64
import dataclasses
import http
import struct
import urllib.parse
from collections.abc import Sequence

import h11
import pydantic
from pydantic.alias_generators import to_pascal

from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM
from papayatack.logservice.calls import HttpCall, HttpClient, ResponseError
from papayatack.observability.metrics import Metrics
from papayatack.platform.eras import EraTracker

__all__ = [
    "CALL_ERRORS",
    "MAX_READ_KB",
    "SNAPSHOT_TOPIC",
    "TOPICS",
    "AppendedRecords",
    "KeyScan",
    "StoreCalls",
    "StoreRecord",
    "TopicPage",
]

TOPICS = {CONFIG_STREAM: "keyed.op", OWNERSHIP_STREAM: "keyed.ownership"}
CALL_ERRORS = (OSError, h11.ProtocolError, ResponseError, ValueError)
"""Errors of a call that got no usable response."""

PARTITION = 0
MAX_READ_KB = 1024
"""Size up to which the store returns records in one response."""

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
SNAPSHOT_TOPIC = "keyed.ownership-state"
"""Topic of the newest snapshot of the ownership state."""

_LABELS = {topic: stream for stream, topic in TOPICS.items()} | {
    SNAPSHOT_TOPIC: "ownership-state"
}
"""What calls are about by topic, for metrics."""


class _StoreResponse(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(alias_generator=to_pascal)


class _AppendResponse(_StoreResponse):
    offset: pydantic.NonNegativeInt


class _ConflictResponse(_StoreResponse):
    end_offset: pydantic.NonNegativeInt = 0


class _NewestItem(_StoreResponse):
    key: str
    value: str
    offset: pydantic.NonNegativeInt


class _NewestResponse(_StoreResponse):
    items: list[_NewestItem] = pydantic.Field(alias="items")
    has_more: bool = False
    end_offset: pydantic.NonNegativeInt


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreRecord:
    """A record of a topic.

    Attributes:
        offset: Its offset in the store.
        key: Its key.
        value: Its content.
    """

    offset: int
    key: bytes
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TopicPage:
    """Records of a topic in order of their offsets.

    Attributes:
        records: The records.
        end: End offset of the topic.
        newest: The newest record of each key, if the page was read that way.
        end_before: End offset of the topic before the first of these was read.
    """

    records: tuple[StoreRecord, ...]
    end: int
    newest: tuple[StoreRecord, ...] | None = None
    end_before: int = 0

    def skip_to(self, offset: int) -> "TopicPage":
        """Return the page without the records before an offset."""
        kept = tuple(record for record in self.records if record.offset >= offset)
        end = max([self.end, *(record.offset + 1 for record in kept)])
        return dataclasses.replace(self, records=kept, end=end)


@dataclasses.dataclass(slots=True, kw_only=True)
class KeyScan:
    """Progress of reading the newest record of each key of a topic, page by page.

    Attributes:
        topic: The topic.
        after: Key after which the next page begins.
        records: The records of the pages read so far.
        end_before: End offset of the topic at the first page.
        end: End offset of the topic at the last page.
        has_more: Whether there are more pages.
    """

    topic: str
    after: str = ""
    records: list[StoreRecord] = dataclasses.field(default_factory=list)
    end_before: int = 0
    end: int = 0
    has_more: bool = True

    def add(self, response: _NewestResponse) -> None:
        """Add the next page."""
        if not self.records:
            self.end_before = response.end_offset
        self.records.extend(map(_parse_item, response.items))
        self.end = response.end_offset
        self.has_more = response.has_more and bool(response.items)
        if response.items:
            self.after = response.items[-1].key


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AppendedRecords:
    """The response to an append.

    Attributes:
        status: HTTP status.
        offset: Offset of the first record, ``None`` unless the append succeeded.
        end: End of the topic, if the append failed because it did not end as required.
    """

    status: int
    offset: int | None = None
    end: int = 0


class StoreCalls:
    """Calls to the store; each raises one of :data:`CALL_ERRORS` if it fails.

    Args:
        host: IP address of the store.
        port: TCP port of the store.
        metrics: Counts ``store_calls`` by kind and stream, and ``store_bytes`` of
            the responses by the same.

    Attributes:
        eras: Follows the era that the store names.
    """

    def __init__(self, *, host: str, port: int, metrics: Metrics) -> None:
        self.eras = EraTracker(metrics=metrics)
        self._caller = HttpClient(
            host=host, port=port, max_response_bytes=MAX_RESPONSE_BYTES
        )
        self._metrics = metrics

    async def close(self) -> None:
        """Close the idle connections."""
        await self._caller.close()

    async def append(
        self,
        topic: str,
        records: Sequence[tuple[bytes, bytes]],
        *,
        call: HttpCall,
        at: int | None = None,
        timeout_s: float,
    ) -> AppendedRecords:
        """Append records, all or none of them.

        Args:
            topic: The topic.
            records: Keys and values.
            call: Is filled in; tells after an error whether it may have been sent.
            at: Offset at which the topic must end, if the append depends on it.
            timeout_s: Time limit in seconds.
        """
        query = {"Topic": topic, "part": PARTITION}
        if at is not None:
            query["At"] = at
        call.target = f"/log-append?{urllib.parse.urlencode(query)}"
        call.body = b"".join(_encode_record(key, value) for key, value in records)
        status, content = await self._call(call, f"append {_LABELS[topic]}", timeout_s)
        if status == http.HTTPStatus.PRECONDITION_FAILED:
            return AppendedRecords(status=status, end=_parse_conflict(content))
        if status != http.HTTPStatus.OK:
            return AppendedRecords(status=status)
        response = _AppendResponse.model_validate_json(content)
        return AppendedRecords(status=status, offset=response.offset)

    async def read(
        self,
        topic: str,
        offset: int,
        *,
        wait_s: float,
        timeout_s: float,
        max_kb: int = MAX_READ_KB,
    ) -> TopicPage:
        """Read records from ``offset`` on; the newest of each key if they expired.

        Args:
            topic: The topic.
            offset: Offset of the first record.
            wait_s: Longest time for which the store waits for the first record.
            timeout_s: Time limit in seconds.
            max_kb: Size up to which the store returns records.
        """
        found = await self.read_retained(
            topic, offset, wait_s=wait_s, timeout_s=timeout_s, max_kb=max_kb
        )
        if found is None:
            return await self.read_newest(topic, offset, timeout_s=timeout_s)
        return found

    async def read_retained(
        self,
        topic: str,
        offset: int,
        *,
        wait_s: float,
        timeout_s: float,
        max_kb: int = MAX_READ_KB,
        idle_timeout_s: float | None = None,
    ) -> TopicPage | None:
        """Read records from ``offset`` on; ``None`` if the record there has expired.

        Args:
            topic: The topic.
            offset: Offset of the first record.
            wait_s: Longest time for which the store waits for the first record.
            timeout_s: Time limit in seconds.
            max_kb: Size up to which the store returns records.
            idle_timeout_s: If given, applies instead once the response arrives.
        """
        query = urllib.parse.urlencode(
            {
                "Topic": topic,
                "part": PARTITION,
                "From": offset,
                "MaxKb": max_kb,
                "WaitMs": int(wait_s * 1000),
            }
        )
        call = HttpCall(method="GET", target=f"/log-read?{query}")
        era = self.eras.era
        status, content = await self._call(
            call, f"read {_LABELS[topic]}", timeout_s, idle_timeout_s
        )
        if status == http.HTTPStatus.GONE and era in (None, self.eras.era):
            return None
        if status != http.HTTPStatus.OK:
            raise ResponseError(f"status {status}")
        return _parse_records(content, offset)

    async def read_newest(
        self, topic: str, offset: int, *, timeout_s: float
    ) -> TopicPage:
        """Return the newest record of each key, from ``offset`` on."""
        found = await self.read_keys(topic, after="", timeout_s=timeout_s)
        return found.skip_to(offset)

    async def read_keys(
        self,
        topic: str,
        *,
        after: str,
        timeout_s: float,
        idle_timeout_s: float | None = None,
    ) -> TopicPage:
        """Read the newest record of each key that follows ``after``.

        The pages are no snapshot: a record that is appended meanwhile may be missing.
        It has an offset from ``end_before`` on.
        """
        scan = KeyScan(topic=topic, after=after)
        return await self.finish_scan(
            scan, timeout_s=timeout_s, idle_timeout_s=idle_timeout_s
        )

    async def finish_scan(
        self,
        scan: KeyScan,
        *,
        timeout_s: float,
        idle_timeout_s: float | None = None,
    ) -> TopicPage:
        """Read the remaining pages of a scan; one that failed can be finished later.

        Args:
            scan: Keeps the pages that have been read.
            timeout_s: Time limit of each page in seconds.
            idle_timeout_s: If given, applies instead once the page arrives.
        """
        while scan.has_more:
            response = await self._read_newest_page(
                scan.topic, scan.after, timeout_s, idle_timeout_s
            )
            scan.add(response)
        records = tuple(sorted(scan.records, key=lambda record: record.offset))
        return TopicPage(
            records=records, end=scan.end, newest=records, end_before=scan.end_before
        )

    async def _read_newest_page(
        self, topic: str, after: str, timeout_s: float, idle_timeout_s: float | None
    ) -> _NewestResponse:
        query = {"Topic": topic, "part": PARTITION}
        if after:
            query["after"] = after
        call = HttpCall(
            method="GET", target=f"/log-newest?{urllib.parse.urlencode(query)}"
        )
        status, content = await self._call(
            call, f"newest {_LABELS[topic]}", timeout_s, idle_timeout_s
        )
        if status != http.HTTPStatus.OK:
            raise ResponseError(f"status {status}")
        return _NewestResponse.model_validate_json(content)

    async def _call(
        self,
        call: HttpCall,
        label: str,
        timeout_s: float,
        idle_timeout_s: float | None = None,
    ) -> tuple[int, bytes]:
        """Send a call that is counted under a label; return status and content."""
        self._metrics.count("store_calls", label)
        status, content, headers = await self._caller.call_with_headers(
            call, timeout_s=timeout_s, idle_timeout_s=idle_timeout_s
        )
        self._metrics.count("store_bytes", label, amount=len(content))
        if not self.eras.observe(headers):
            raise ResponseError("the response is of an earlier era of the store")
        return status, content


def _encode_record(key: bytes, value: bytes) -> bytes:
    content = bytes([len(key)]) + key + value
    return _LENGTH.pack(len(content)) + content


def _parse_conflict(content: bytes) -> int:
    """Return the end of the topic that a rejected append names, 0 if it names none."""
    try:
        return _ConflictResponse.model_validate_json(content).end_offset
    except pydantic.ValidationError:
        return 0


def _parse_item(item: _NewestItem) -> StoreRecord:
    value = base64.b64decode(item.value)
    return StoreRecord(offset=item.offset, key=item.key.encode(), value=value)


def _parse_records(content: bytes, offset: int) -> TopicPage:
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
    return TopicPage(records=tuple(records), end=end)


def _parse_record(offset: int, content: bytes) -> StoreRecord:
    key_length = content[0] if content else 0
    return StoreRecord(
        offset=offset,
        key=content[1 : 1 + key_length],
        value=content[1 + key_length :],
    )
