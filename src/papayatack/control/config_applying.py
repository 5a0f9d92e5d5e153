"""Applies the records of the config stream in a task of its own.

A large configuration takes long to decode. Meanwhile the node renews its lease and
processes other messages and requests.
"""

import asyncio
import dataclasses
import functools
from collections.abc import Callable

from papayatack.control.interface import ConfigState
from papayatack.control.provenance import Provenance
from papayatack.core.records import CONFIG_STREAM
from papayatack.logservice.decoding import LoggedRecord, RecordDecoder
from papayatack.logservice.tailer import EndReached

__all__ = ["ConfigApplier", "StoredConfig"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredConfig:
    """A record of the config stream.

    Attributes:
        offset: Offset of the record.
        payload: The record as stored in the log.
        provenance: How it reached this node.
    """

    offset: int
    payload: bytes
    provenance: Provenance


class ConfigApplier:
    """Decodes records of the config stream and applies them in order.

    A record that a later one has replaced before its turn came is skipped, unless that
    one turns out to be malformed.

    Args:
        config: The state to which the records are applied.
        decoder: Decodes the records.
        on_applied: Called with each record that was applied, and how it came.
        on_end: Called when all records that the stream had at a time are applied, with
            the message that said so.
    """

    def __init__(
        self,
        *,
        config: ConfigState,
        decoder: RecordDecoder,
        on_applied: Callable[[LoggedRecord, Provenance], None],
        on_end: Callable[[EndReached], None],
    ) -> None:
        self._config = config
        self._decoder = decoder
        self._on_applied = on_applied
        self._on_end = on_end
        self._queue: asyncio.Queue[StoredConfig | EndReached] = asyncio.Queue()
        self._newest_offset = 0
        self._replaced: list[StoredConfig] = []
        self._end: EndReached | None = None

    def put(self, item: StoredConfig | EndReached) -> None:
        """Queue a record, or the message that all records have been read."""
        if isinstance(item, StoredConfig):
            self._newest_offset = max(self._newest_offset, item.offset)
        self._queue.put_nowait(item)

    async def run(self) -> None:
        """Apply the queued records until cancelled."""
        while True:
            await self._handle(await self._queue.get())

    @functools.singledispatchmethod
    async def _handle(self, item: StoredConfig | EndReached) -> None:
        raise TypeError(item)

    @_handle.register
    async def _(self, item: StoredConfig) -> None:
        if not self._config.is_gapless and item.offset < self._newest_offset:
            self._replaced.append(item)
            return
        logged = await self._decode(item)
        if logged.record is None:
            await self._apply_replaced()
        self._replaced.clear()
        self._apply(logged, item.provenance)
        self._report_end()

    @_handle.register
    async def _(self, item: EndReached) -> None:
        self._end = item
        if not self._replaced:
            self._report_end()

    def _report_end(self) -> None:
        """Report the newest end that was reached, now that all records are applied."""
        if self._end is not None:
            self._on_end(self._end)
            self._end = None

    async def _apply_replaced(self) -> None:
        """Apply the newest valid record of those that were skipped, if there is one."""
        for item in reversed(self._replaced):
            logged = await self._decode(item)
            if logged.record is not None:
                self._apply(logged, item.provenance)
                return

    async def _decode(self, item: StoredConfig) -> LoggedRecord:
        return await self._decoder.decode_in_slices(
            CONFIG_STREAM, item.offset, item.payload
        )

    def _apply(self, logged: LoggedRecord, provenance: Provenance) -> None:
        self._config.apply(logged.offset, logged.record)
        self._on_applied(logged, provenance)
