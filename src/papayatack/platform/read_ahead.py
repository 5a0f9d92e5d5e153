"""Reads the ownership topic for a node that starts, without reading anything twice."""

import asyncio
import dataclasses

from papayatack.core.records import OWNERSHIP_STREAM
from papayatack.platform.store_calls import TOPICS, StoreCalls
from papayatack.platform.topics import KeyScan, TopicPage

__all__ = ["ReadAhead"]

TOPIC = TOPICS[OWNERSHIP_STREAM]


class ReadAhead:
    """Keeps what reads have brought until it is asked for.

    A page may have more records than the caller takes at once. If the records have
    expired, the newest record of each key is read in several pages; after a failure the
    next read continues with the page that failed. A response that keeps arriving is not
    given up.

    Args:
        calls: Calls to the store.
    """

    def __init__(self, *, calls: StoreCalls) -> None:
        self._calls = calls
        self._era: int | None = None
        self._scan: KeyScan | None = None
        self._left: TopicPage | None = None

    def clear(self) -> None:
        """Forget all that was read, as it may not be part of the stream any more."""
        self._scan = None
        self._left = None

    async def read(
        self, offset: int, *, limit: int, wait_s: float, timeout_s: float
    ) -> TopicPage:
        """Read up to ``limit`` records from ``offset`` on.

        Args:
            offset: Offset of the first record in the store.
            limit: Maximum number of records; the others are kept.
            wait_s: Longest time for which the store waits for the first record.
            timeout_s: Time limit in seconds for the response to begin, and between two
                parts of it.
        """
        if self._calls.eras.era != self._era:
            self.clear()
        found = self._take_left(offset)
        if found is None:
            self._era = self._calls.eras.era
            found = await self._read_page(offset, wait_s, timeout_s)
            self._era = self._calls.eras.era
        else:
            await asyncio.sleep(0)
        if len(found.records) > limit:
            self._left = found
        return dataclasses.replace(found, records=found.records[:limit])

    def _take_left(self, offset: int) -> TopicPage | None:
        """Return what is left from ``offset`` on, ``None`` if that is not there."""
        left, self._left = self._left, None
        if left is None:
            return None
        left = left.skip_to(offset)
        if left.records and left.records[0].offset == offset:
            return left
        return None

    async def _read_page(
        self, offset: int, wait_s: float, timeout_s: float
    ) -> TopicPage:
        if self._scan is None:
            found = await self._calls.read_retained(
                TOPIC,
                offset,
                wait_s=wait_s,
                timeout_s=timeout_s,
                idle_timeout_s=timeout_s,
            )
            if found is not None:
                return found
            self._scan = KeyScan(topic=TOPIC)
        found = await self._calls.finish_scan(
            self._scan, timeout_s=timeout_s, idle_timeout_s=timeout_s
        )
        self._scan = None
        return found.skip_to(offset)
