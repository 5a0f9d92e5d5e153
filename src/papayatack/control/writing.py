"""The task that appends ownership records to the log."""

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
"""Time limit of an append, including retries."""

MAX_RELAYS = 2
"""Number of nodes that are asked to append a record that this node could not."""


class RecordWriter:
    """Appends records one after the other.

    A log that this node cannot append to may still serve other nodes: they are asked to
    append the record. A record that is appended twice is rejected the second
    time.

    Args:
        core: The ownership core of the node.
        appender: Appends to the ownership stream.
        decoder: Decodes records that other nodes ask this node to append.
        send: Sends a message to a node.
        metrics: Counts records written, dropped and relayed, by type.
        random: Selects the nodes that are asked.
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
        """Queue a record without blocking.

        If the queue is full, the record is dropped; the core creates it again when it
        is next due.
        """
        try:
            self._queue.put_nowait(record)
        except asyncio.QueueFull:
            self._metrics.count("ownership_appends_dropped", type(record).__name__)

    def receive(self, message: RelayRecord, sender: IncarnationId) -> None:
        """Queue a record that its writer, the sender, could not append itself.

        Malformed records and those of another writer are ignored.
        """
        record = self._decoder.decode(OWNERSHIP_STREAM, 0, message.payload).record
        if record is not None and record.writer == sender:
            self.put(record)

    async def run(self) -> None:
        """Append queued records until cancelled."""
        while True:
            record = await self._queue.get()
            self._metrics.count("records_written", type(record).__name__)
            deadline_s = asyncio.get_running_loop().time() + APPEND_DEADLINE_S
            result = await self._appender.append(record, deadline_s=deadline_s)
            if not is_successful(result) and record.writer == self._core.incarnation:
                self._relay(record)

    def _relay(self, record: OwnershipRecord) -> None:
        """Ask other nodes to append a record that this node could not."""
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
