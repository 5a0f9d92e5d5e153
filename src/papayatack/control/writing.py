"""The task that appends ownership records to the log."""

import asyncio
import contextlib
import dataclasses
import logging
import math
import random
from collections.abc import Callable, Sequence

from returns.pipeline import is_successful

from papayatack.control.pending import PendingRecord, PendingRecords, PlanWrite
from papayatack.control.retirements import KEEPERS, RetirementKeeper, list_keepers
from papayatack.core.identity import IncarnationId
from papayatack.core.messages import ControlMessage, RelayRecord
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.selection import rank_planners
from papayatack.core.records import OWNERSHIP_STREAM, OwnershipRecord, Retire
from papayatack.logservice.appender import Appender
from papayatack.logservice.decoding import RecordDecoder
from papayatack.observability.events import Event, log_event, to_ms
from papayatack.observability.metrics import Metrics
from papayatack.wire.records import encode_record

__all__ = ["RecordWriter"]

LOGGER = logging.getLogger(__name__)

PLAN_WAIT_S = 3.0
"""Longest time for which the planner waits for the records of its last plan."""

APPEND_DEADLINE_S = 1.6
"""Time limit of an append, including retries."""

MIN_APPEND_S = 0.5
"""Time that an append has at least, also of a record that is nearly too old: a shorter
one would fail although the log is there, since the appender paces its calls."""

PROBE_DEADLINE_S = 1.2
"""Time limit of an append of a record that is kept for another node."""

CATCH_UP_CHECK_S = 0.02
CATCH_UP_S = 0.3
"""Time for which the records of others are awaited after appends have failed."""

MAX_RELAYS = 2
"""Number of nodes that are asked to append a record that this node could not."""

HANDOVER_INTERVAL_S = 0.4
"""Time for which a node's own Retire record may be without effect, after which further
nodes are asked to keep it."""

HANDOVER_ROUNDS = 3
"""Number of times that nodes are asked to keep it."""


class RecordWriter:
    """Appends records one after the other.

    A log that this node cannot append to may still serve other nodes: they are asked to
    append the record. A record that is appended twice is rejected the second
    time. The Retire record of a node that shuts down is handed to several nodes while
    its own append still goes on; they keep it until it has taken effect.

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
        self._pending = PendingRecords()
        self._wakes = asyncio.Event()
        self._retirements = RetirementKeeper(core=core)
        self._are_appends_failing = False
        self._failing_since_s = 0.0
        self._dropped = 0
        self._handover = _Handover()

    def put(self, record: OwnershipRecord) -> None:
        """Queue a record without blocking.

        It replaces an unsent one of the same subject. If the queue is full, the least
        important record is dropped; the core creates it again when it is next due.
        """
        self._put(PendingRecord(record=record, put_s=self._read_clock()))
        if isinstance(record, Retire):
            self._handover.record = record
            self._handover.wakes.set()

    def put_plan(self, records: Sequence[OwnershipRecord]) -> PlanWrite:
        """Queue the records of a plan in place of those of earlier plans."""
        for entry in self._pending.drop_plan():
            self._drop(entry, "replaced")
        now = self._read_clock()
        ids = {record.record_id for record in records}
        write = PlanWrite(until_s=now + PLAN_WAIT_S, unresolved=ids)
        for record in records:
            self._put(PendingRecord(record=record, put_s=now, plan=write))
        return write

    def _put(self, entry: PendingRecord) -> None:
        for dropped in self._pending.put(entry):
            self._drop(dropped, "replaced" if dropped is not entry else "full")
        self._wakes.set()

    def _drop(self, entry: PendingRecord, reason: str) -> None:
        """Note that a record is not appended."""
        kind = type(entry.record).__name__
        self._metrics.count("ownership_appends_dropped", f"{kind} {reason}")
        self._dropped += 1
        self._resolve(entry, None)
        is_own = entry.record.writer == self._core.incarnation
        if is_own and reason != "replaced":
            self._core.note_unwritten(entry.record)

    def _resolve(self, entry: PendingRecord, offset: int | None) -> None:
        """Tell a record's plan at which offset it is, ``None`` for nowhere."""
        if entry.plan is None:
            return
        entry.plan.unresolved.discard(entry.record.record_id)
        if offset is None:
            entry.plan.has_failed = True
        else:
            entry.plan.end = max(entry.plan.end, offset + 1)

    def receive(self, message: RelayRecord, sender: IncarnationId) -> None:
        """Queue a record that its writer, the sender, could not append itself.

        Malformed records and those of another writer are ignored.
        """
        record = self._decoder.decode(OWNERSHIP_STREAM, 0, message.payload).record
        if record is None or record.writer != sender:
            return
        now = self._read_clock()
        if isinstance(record, Retire):
            if record.incarnation == sender:
                self._retirements.keep(record, now)
                self._wakes.set()
        else:
            self._put(PendingRecord(record=record, put_s=now, is_relayed=True))

    async def run(self) -> None:
        """Append queued records until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._append_queued())
            tasks.create_task(self._hand_over_retire())

    def _read_clock(self) -> float:
        return asyncio.get_running_loop().time()

    async def _append_queued(self) -> None:
        while True:
            now = self._read_clock()
            kept = None
            if not self._pending or not self._are_appends_failing:
                kept = self._retirements.take_due(now)
            if kept is not None:
                entry = PendingRecord(record=kept, put_s=now, is_relayed=True)
                await self._append(entry, now + PROBE_DEADLINE_S)
            elif self._pending:
                await self._append_next(now)
            else:
                await self._wait_for_records(now)

    async def _append_next(self, now: float) -> None:
        """Append the next record unless that is certain to have no effect."""
        entry = self._pending.take()
        obstacle = entry.find_obstacle(self._core.state, now)
        if obstacle:
            self._drop(entry, obstacle)
            return
        until_s = max(entry.until_s, now + MIN_APPEND_S)
        await self._append(entry, min(now + APPEND_DEADLINE_S, until_s))

    async def _wait_for_records(self, now: float) -> None:
        """Wait until a record is queued or kept, or one that is kept is due."""
        self._wakes.clear()
        due_s = self._retirements.find_due_s(now)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(None if math.isinf(due_s) else due_s - now):
                await self._wakes.wait()

    async def _append(self, entry: PendingRecord, deadline_s: float) -> None:
        record = entry.record
        begun_s = self._read_clock()
        self._metrics.count("records_written", type(record).__name__)
        self._metrics.set_gauge("ownership_append_age_seconds", begun_s - entry.put_s)
        self._metrics.set_gauge("ownership_queue_records", len(self._pending))
        result = await self._appender.append(record, deadline_s=deadline_s)
        if is_successful(result):
            self._resolve(entry, result.unwrap())
            if self._are_appends_failing:
                self._note_working(record)
                await self._wait_for_state(result.unwrap())
            return
        self._note_failing(begun_s)
        self._resolve(entry, None)
        if record.writer == self._core.incarnation:
            self._relay(record)
            self._core.note_unwritten(record)

    async def _wait_for_state(self, offset: int) -> None:
        """Wait until the state has the record at an offset, at most for a moment.

        It then shows which of the queued records others have appended before.
        """
        until_s = self._read_clock() + CATCH_UP_S
        while self._read_clock() < until_s:
            if self._core.state.next_offset > offset:
                break
            await asyncio.sleep(CATCH_UP_CHECK_S)

    def _note_working(self, record: OwnershipRecord) -> None:
        """Note that a record was appended after a failure."""
        now = self._read_clock()
        self._are_appends_failing = False
        self._retirements.note_recovered(record, now)
        log_event(
            LOGGER,
            Event.APPENDS_RESUMED,
            away_ms=to_ms(now - self._failing_since_s),
            queued=len(self._pending),
            kept=len(self._retirements),
            dropped=self._dropped,
        )

    def _note_failing(self, begun_s: float) -> None:
        """Note that an append that was begun at ``begun_s`` has failed."""
        if not self._are_appends_failing:
            self._are_appends_failing = True
            self._failing_since_s = begun_s
            self._dropped = 0
        self._retirements.note_failed(self._read_clock())

    async def _hand_over_retire(self) -> None:
        """Have other nodes keep the own Retire record unless it takes effect soon."""
        handover = self._handover
        await handover.wakes.wait()
        if not self._are_appends_failing:
            await asyncio.sleep(HANDOVER_INTERVAL_S)
        while handover.rounds < HANDOVER_ROUNDS and not self._has_retired():
            self._ask_keepers()
            await asyncio.sleep(HANDOVER_INTERVAL_S)

    def _has_retired(self) -> bool:
        member = self._core.state.members.get(self._core.incarnation)
        return member is None or member.ended is not None

    def _ask_keepers(self) -> None:
        """Ask the next nodes to keep the own Retire record."""
        handover, local = self._handover, self._core.incarnation
        if handover.record is None:
            return
        first = handover.rounds * KEEPERS
        handover.rounds += 1
        keepers = list_keepers(self._core, local, self._read_clock())
        message = RelayRecord(payload=encode_record(handover.record))
        for recipient in keepers[first : first + KEEPERS]:
            self._send(recipient, message)
        self._metrics.count("records_relayed", type(handover.record).__name__)

    def _relay(self, record: OwnershipRecord) -> None:
        """Ask other nodes to append a record that this node could not."""
        if isinstance(record, Retire):
            if not self._handover.rounds:
                self._ask_keepers()
            return
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


@dataclasses.dataclass(slots=True, kw_only=True)
class _Handover:
    """How far other nodes have been asked to keep the own Retire record.

    Attributes:
        record: The record, ``None`` while the node runs.
        rounds: Number of times that nodes were asked.
        wakes: Set once there is a record.
    """

    record: Retire | None = None
    rounds: int = 0
    wakes: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
