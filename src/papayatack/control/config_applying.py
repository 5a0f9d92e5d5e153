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

    A record that a later one has replaced before its turn came is skipped.

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
            return
        logged = await self._decoder.decode_in_slices(
            CONFIG_STREAM, item.offset, item.payload
        )
        self._config.apply(item.offset, logged.record)
        self._on_applied(logged, item.provenance)

    @_handle.register
    async def _(self, item: EndReached) -> None:
        self._on_end(item)
