"""The task that appends a node's ownership records."""

import asyncio
import random
from collections.abc import Callable

from returns.pipeline import is_successful

from papayatack.core.identity import IncarnationId
from papayatack.core.messages import ControlMessage, RelayRecord
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.selection import rank_planners
from papayatack.core.records import OWNERSHIP_STREAM, OwnershipRecord
from papayatack.logservice.appender import Appender
from papayatack.logservice.decoding import RecordDecoder
from papayatack.observability.metrics import Metrics
from papayatack.wire.records import encode_record

__all__ = ["RecordWriter"]

MAX_QUEUED_RECORDS = 32
APPEND_DEADLINE_S = 1.6
MAX_RELAYS = 2


class RecordWriter:
    """Appends records one after the other.

    A log that turns this node away may serve others: they are asked to append what it
    could not. A record that is appended twice is void the second time.

    Args:
        core: The node's ownership.
        appender: Appends to the ownership stream.
        decoder: Decodes records that others ask this node to append.
        send: Sends a message to a node.
        metrics: Counts records written, dropped and relayed, by kind.
        random: Draws the nodes that are asked.
    """

    def __init__(
        self,
        *,
        core: NodeCore,
        appender: Appender,
        decoder: RecordDecoder,
        send: Callable[[IncarnationId, ControlMessage], None],
        metrics: Metrics,
        random: random.Random,
    ) -> None:
        self._core = core
        self._appender = appender
        self._decoder = decoder
        self._send = send
        self._metrics = metrics
        self._random = random
        self._queue: asyncio.Queue[OwnershipRecord] = asyncio.Queue(MAX_QUEUED_RECORDS)

    def put(self, record: OwnershipRecord) -> None:
        """Queue a record; one too many is dropped, and made again when it is due."""
        try:
            self._queue.put_nowait(record)
        except asyncio.QueueFull:
            self._metrics.count("ownership_appends_dropped", type(record).__name__)

    def receive(self, message: RelayRecord, sender: IncarnationId) -> None:
        """Queue a record that its writer could not append."""
        record = self._decoder.decode(OWNERSHIP_STREAM, 0, message.payload).record
        if record is not None and record.writer == sender:
            self.put(record)

    async def run(self) -> None:
        """Append until cancelled."""
        while True:
            record = await self._queue.get()
            self._metrics.count("records_written", type(record).__name__)
            deadline_s = asyncio.get_running_loop().time() + APPEND_DEADLINE_S
            result = await self._appender.append(record, deadline_s=deadline_s)
            if not is_successful(result) and record.writer == self._core.incarnation:
                self._relay(record)

    def _relay(self, record: OwnershipRecord) -> None:
        """Ask other nodes to append what this one could not."""
        self._metrics.count("records_relayed", type(record).__name__)
        others = [
            name
            for name in rank_planners(self._core.state)
            if name != self._core.incarnation
        ]
        self._random.shuffle(others)
        message = RelayRecord(payload=encode_record(record))
        for recipient in others[:MAX_RELAYS]:
            self._send(recipient, message)
