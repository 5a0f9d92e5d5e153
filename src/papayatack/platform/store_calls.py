"""Calls to the platform's store: reads and appends of its topics."""

import http
import urllib.parse
from collections.abc import Sequence

import h11

from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM
from papayatack.logservice.calls import HttpCall, HttpClient, ResponseError
from papayatack.observability.metrics import Metrics
from papayatack.platform.eras import EraTracker
from papayatack.platform.topics import (
    AppendedRecords,
    AppendResponse,
    KeyScan,
    NewestResponse,
    TopicPage,
    encode_record,
    parse_conflict,
    parse_records,
)

__all__ = [
    "CALL_ERRORS",
    "MAX_READ_KB",
    "SNAPSHOT_TOPIC",
    "TOPICS",
    "StatusError",
    "StoreCalls",
]

TOPICS = {CONFIG_STREAM: "keyed.op", OWNERSHIP_STREAM: "keyed.ownership"}
CALL_ERRORS = (OSError, h11.ProtocolError, ResponseError, ValueError)
"""Errors of a call that got no usable response."""

PARTITION = 0
MAX_READ_KB = 1024
"""Size up to which the store returns records in one response."""

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
SNAPSHOT_TOPIC = "keyed.ownership-state"
"""Topic of the newest snapshot of the ownership state."""

_LABELS = {topic: stream for stream, topic in TOPICS.items()} | {
    SNAPSHOT_TOPIC: "ownership-state"
}
"""What calls are about by topic, for metrics."""


class StatusError(ResponseError):
    """The store answered with a status that is no success.

    Attributes:
        status: The status.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status

    @property
    def is_final(self) -> bool:
        """Whether the same call will be answered the same."""
        is_client_error = 400 <= self.status < 500
        return is_client_error and self.status != http.HTTPStatus.TOO_MANY_REQUESTS


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
        call.body = b"".join(encode_record(key, value) for key, value in records)
        status, content = await self._call(call, f"append {_LABELS[topic]}", timeout_s)
        if status == http.HTTPStatus.PRECONDITION_FAILED:
            return AppendedRecords(status=status, end=parse_conflict(content))
        if status != http.HTTPStatus.OK:
            return AppendedRecords(status=status)
        response = AppendResponse.model_validate_json(content)
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
            raise StatusError(status)
        return parse_records(content, offset)

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
    ) -> NewestResponse:
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
            raise StatusError(status)
        return NewestResponse.model_validate_json(content)

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
