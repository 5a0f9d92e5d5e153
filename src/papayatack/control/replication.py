"""Keeps the local state up to date with the records of the log streams.

Records come from the log or from other nodes. Those that are new are forwarded along
the forwarding tree, then applied in the order of their offsets.
"""

import asyncio
import functools
import logging
import math
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from papayatack.control.config_applying import ConfigApplier, StoredConfig
from papayatack.control.following import STREAMS, LogFollower
from papayatack.control.interface import ConfigState
from papayatack.control.provenance import Provenance
from papayatack.core.identity import IncarnationId
from papayatack.core.log_speed import USUAL_RESPONSE_S
from papayatack.core.messages import (
    ConfigPosition,
    ControlMessage,
    LogBatch,
    LogUnreachable,
)
from papayatack.core.ownership.effects import Effect, FinishNode
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.selection import (
    list_tree_children,
    list_tree_heads,
    list_tree_roots,
)
from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM
from papayatack.logservice.appender import Appender
from papayatack.logservice.decoding import LoggedRecord, RecordDecoder
from papayatack.logservice.tailer import (
    EndReached,
    RecordsExpired,
    RecordsRead,
    TailMessage,
)
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics
from papayatack.wire.errors import WireError
from papayatack.wire.packing import pack_record, unpack_record

if TYPE_CHECKING:
    from papayatack.logservice.checkpoints import CheckpointManager

__all__ = ["RecordReplicator"]

LOGGER = logging.getLogger(__name__)

US_PER_MS = 1000

MAX_STAND_IN_RANK = 2
"""Highest rank of a node that tells all data centres what it read from the log."""

MIN_POSITION_GAIN_S = 0.1
"""Least time by which a position must be newer than the last one to be forwarded."""


class RecordReplicator:
    """Applies the records of both streams, and forwards those that are new.

    Args:
        core: The ownership core of the node.
        config: State built from the config stream.
        follower: Tailers and buffers of the streams.
        decoder: Decodes the records.
        appender: Informed of the end of the ownership stream.
        checkpoint_managers: Informed of the applied records, by stream.
        send: Sends a control message to a node.
        execute_effects: Executes the core's effects.
        forwards: Whether to forward records along the forwarding tree.
        metrics: Counts void, skipped and malformed records.
        note_evacuations: Called with the evacuated data centres of each configuration
            that is applied, how it reached this node, and the time at which the one
            before it was the newest for certain.
    """

    def __init__(
        self,
        *,
        core: NodeCore,
        config: ConfigState,
        follower: LogFollower,
        decoder: RecordDecoder,
        appender: Appender,
        checkpoint_managers: Mapping[str, "CheckpointManager"],
        send: Callable[[IncarnationId, ControlMessage], None],
        execute_effects: Callable[[list[Effect]], None],
        forwards: bool,
        metrics: Metrics,
        note_evacuations: Callable[
            [frozenset[str], Provenance, float], None
        ] = lambda evacuated, provenance, current_s: None,
    ) -> None:
        self._note_evacuations = note_evacuations
        self._core = core
        self._config = config
        self._follower = follower
        self._decoder = decoder
        self._appender = appender
        self._checkpoint_managers = checkpoint_managers
        self._send = send
        self._execute_effects = execute_effects
        self._forwards = forwards
        self._metrics = metrics
        self._forwarded_s = float("-inf")
        self._logged_version = config.version
        self._applier = ConfigApplier(
            config=config,
            decoder=decoder,
            on_applied=self._note_config_applied,
            on_end=self._confirm_config,
        )

    async def run(self) -> None:
        """Apply the records of the config stream until cancelled."""
        await self._applier.run()

    @functools.singledispatchmethod
    async def receive_read(self, message: TailMessage) -> None:
        """Process a message of a tailer."""
        raise TypeError(message)

    @receive_read.register
    async def _(self, message: RecordsRead) -> None:
        known = self._count_known_records(message.stream, message.first)
        payloads = message.payloads[known:]
        packed = tuple(map(pack_record, payloads))
        provenance = Provenance(read_s=message.read_s)
        await self._process(
            message.stream, message.first + known, payloads, packed, provenance
        )

    @receive_read.register
    async def _(self, message: RecordsExpired) -> None:
        if self._follower.recent[message.stream].end < message.first:
            self._metrics.count("log_gaps", message.stream)
            self._execute_effects([FinishNode(resigned=False)])

    @receive_read.register
    async def _(self, message: EndReached) -> None:
        self._applier.put(message)

    def _confirm_config(self, end: EndReached) -> None:
        """Process that this node's read of the log found no newer configuration."""
        watch = self._core.config_watch
        watch.confirm(end.time_s)
        if self._is_measured(end):
            watch.speed.note_answer(end.time_s, end.response_s, self._read_clock())
        if self._forwards:
            self._forward_position(is_own=True)

    def _is_measured(self, end: EndReached) -> bool:
        """Return whether the time for an answer says something of the log.

        If this node stood still meanwhile, a fast answer does, and a slow one does not.
        """
        if end.response_s is None:
            return False
        is_fast = end.response_s <= USUAL_RESPONSE_S
        return is_fast or not self._follower.has_stalled(end.time_s)

    def receive_position(self, position: ConfigPosition, sender: IncarnationId) -> None:
        """Process and forward a message on how recent the configuration is."""
        self._core.receive_config_position(sender, position, self._read_clock())
        if self._forwards:
            self._forward_position(is_own=False)

    def _forward_position(self, *, is_own: bool) -> None:
        """Tell the next nodes of the tree until when the configuration was the newest.

        Args:
            is_own: Whether this node has just read that from the log itself.
        """
        watch = self._core.config_watch
        is_known = math.isfinite(watch.current_s)
        if not is_known or watch.current_s < self._forwarded_s + MIN_POSITION_GAIN_S:
            return
        self._forwarded_s = watch.current_s
        state, local = self._core.state, self._core.incarnation
        recipients = dict.fromkeys(list_tree_children(state, local))
        if is_own and self._tells_all():
            recipients |= dict.fromkeys(list_tree_heads(state))
        recipients.pop(local, None)
        position = watch.make_position(self._read_clock())
        for recipient in recipients:
            self._send(recipient, position)

    def _tells_all(self) -> bool:
        """Return whether this node tells all data centres what it reads.

        While the log is slow, whoever reads it does, as few nodes do.
        """
        is_slow = self._core.config_watch.speed.is_slow(self._read_clock())
        return is_slow or self._follower.find_rank() <= MAX_STAND_IN_RANK

    async def receive_batch(self, batch: LogBatch, sender: IncarnationId) -> None:
        """Process records that another node has forwarded."""
        if batch.stream not in STREAMS:
            return
        known = self._count_known_records(batch.stream, batch.first)
        packed = batch.packed or tuple(map(pack_record, batch.payloads))
        packed = packed[known:]
        try:
            payloads = tuple(map(unpack_record, packed))
        except WireError as error:
            self._reject_batch(batch, sender, str(error))
            return
        provenance = Provenance.of_batch(batch, sender, self._read_clock())
        await self._process(
            batch.stream, batch.first + known, payloads, packed, provenance
        )

    def report_unreachable(self, now: float) -> None:
        """Tell the nodes that rely on this one if it does not reach the log."""
        if not self._forwards:
            return
        for stream in self._follower.collect_unreachable(now):
            for recipient in self._list_recipients():
                self._send(recipient, LogUnreachable(stream=stream))

    def _count_known_records(self, stream: str, first: int) -> int:
        return max(self._follower.recent[stream].end - first, 0)

    def _reject_batch(
        self, batch: LogBatch, sender: IncarnationId, detail: str
    ) -> None:
        """Reject malformed records; the log or other nodes supply them again."""
        self._metrics.count("record_batches_refused", batch.stream)
        log_event(
            LOGGER,
            Event.PEER_MESSAGE_REFUSED,
            level=logging.WARNING,
            reason=detail,
            subject=f"LogBatch from {sender}",
        )

    async def _process(
        self,
        stream: str,
        first: int,
        payloads: tuple[bytes, ...],
        packed: tuple[bytes, ...],
        provenance: Provenance,
    ) -> None:
        """Forward records that are new to this node, then apply them.

        The records are forwarded first, so that the recipients do not wait while this
        node decodes a large record.

        Args:
            stream: Name of the stream.
            first: Offset of the first record.
            payloads: The records, uncompressed.
            packed: The same records, compressed for forwarding.
            provenance: How they reached this node.
        """
        will_apply = not self._is_gapless(stream) or (
            first == self._follower.recent[stream].end
        )
        if self._forwards and packed and will_apply:
            batch = LogBatch(
                stream=stream,
                first=first,
                packed=packed,
                hops=provenance.hops + 1,
                age_us=provenance.find_age_us(self._read_clock()),
            )
            for recipient in self._list_recipients():
                self._send(recipient, batch)
            await asyncio.sleep(0)
        self._apply_next(stream, first, payloads, packed, provenance)

    def _note_config_applied(
        self, logged: LoggedRecord, provenance: Provenance
    ) -> None:
        """Process that a record of the config stream has been applied."""
        self._observe(CONFIG_STREAM, logged)
        self._note_evacuations(
            self._config.configuration.evacuated,
            provenance,
            self._core.config_watch.current_s,
        )
        self._core.config_watch.set_offset(self._config.next_offset)
        if self._config.version > self._logged_version:
            self._logged_version = self._config.version
            self._log_configuration(provenance)

    def _log_configuration(self, provenance: Provenance) -> None:
        """Log that a newer configuration is in force, and how it reached this node."""
        age_us = provenance.find_age_us(self._read_clock())
        log_event(
            LOGGER,
            Event.CONFIGURATION_IN_FORCE,
            version=self._config.version,
            offset=self._config.next_offset - 1,
            routes=len(self._config.configuration.routes),
            source=provenance.sender or "log",
            hops=provenance.hops,
            age_ms=age_us // US_PER_MS,
        )

    def _read_clock(self) -> float:
        return asyncio.get_running_loop().time()

    def _list_recipients(self) -> list[IncarnationId]:
        """Return the nodes to which this node forwards records.

        They are its children in the forwarding tree of its data centre and, if it reads
        the log for the whole fleet, the roots of all trees.
        """
        state, local = self._core.state, self._core.incarnation
        recipients = list_tree_children(state, local)
        if self._follower.is_lead:
            recipients.extend(
                root
                for root in list_tree_roots(state)
                if root != local and root not in recipients
            )
        return recipients

    def _is_gapless(self, stream: str) -> bool:
        return stream != CONFIG_STREAM or self._config.is_gapless

    def _apply_next(
        self,
        stream: str,
        first: int,
        payloads: tuple[bytes, ...],
        packed: tuple[bytes, ...],
        provenance: Provenance,
    ) -> None:
        """Apply the records that are next in order.

        Records that follow missing ones are ignored; the tailer reads them from the
        log later.
        """
        recent = self._follower.recent[stream]
        for offset, payload in enumerate(payloads, first):
            if self._is_gapless(stream) and offset != recent.end:
                continue
            recent.add(offset, packed[offset - first], provenance)
            if stream == CONFIG_STREAM:
                self._applier.put(
                    StoredConfig(offset=offset, payload=payload, provenance=provenance)
                )
            else:
                self._apply_ownership(offset, payload)
        self._follower.skip_to(stream, recent.end)
        if stream == OWNERSHIP_STREAM:
            self._appender.observe(recent.end)
            now = self._read_clock()
            self._execute_effects(self._core.advance(now))

    def _observe(self, stream: str, logged: LoggedRecord) -> None:
        """Pass a record to the checkpoints of its stream, if there are any."""
        if stream in self._checkpoint_managers:
            self._checkpoint_managers[stream].observe(
                logged.record, offset=logged.offset, now=self._read_clock()
            )

    def _apply_ownership(self, offset: int, payload: bytes) -> None:
        logged = self._decoder.decode(OWNERSHIP_STREAM, offset, payload)
        self._observe(OWNERSHIP_STREAM, logged)
        now = self._read_clock()
        change, effects = self._core.apply_record(offset, logged.record, now=now)
        if not change.effective:
            self._metrics.count("ownership_records_void", change.reason)
        if logged.record is not None and logged.record.writer == self._core.incarnation:
            verdict = f"{type(logged.record).__name__} {change.reason or 'effective'}"
            self._metrics.count("own_ownership_records", verdict)
        self._execute_effects(effects)
