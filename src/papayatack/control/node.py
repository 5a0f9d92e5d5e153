"""The control plane of one node: the tasks that drive its ownership core.

Construct a :class:`ControlNode`, await :meth:`~ControlNode.run` in a task, and cancel
that task to stop it. A daemon sets it up as follows::

    control = ControlNode(
        announcement=Announce(record_id="", writer=name, incarnation=name, ...),
        log=HttpLogService(...),      # papayatack.logservice
        sender=peers,                 # control.interface.PeerSender
        sink=upstream_grants,         # control.interface.GrantSink
        plan=papayatack.core.placement.plan_placement,
        metrics=metrics,
        random=random.Random(),
    )
    peers.on_control(control.receive)     # (sender, recipient, message)
    ownership = control.ownership         # proxy.interface.Ownership
    task = asyncio.create_task(control.run())
    ...
    control.start_departure()             # graceful shutdown
    resigned = await control.wait_finished()

``state`` and ``config`` are the results of
:func:`papayatack.control.loading.load_streams`; without them the node applies both
streams from their first record. :meth:`ControlNode.wait_finished` returns ``False`` if
the log ended this incarnation (superseded or declared lost): the process must then
restart under a new incarnation id.
"""

import asyncio
import functools
import logging
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from papayatack.control.applied_records import AppliedRecords
from papayatack.control.directory import Directory
from papayatack.control.effects import EffectExecutor
from papayatack.control.evacuation import EvacuationControl
from papayatack.control.following import STREAMS, LogFollower
from papayatack.control.interface import ConfigState, GrantSink, PeerSender
from papayatack.control.loads import LoadMeter
from papayatack.control.outcomes import OutcomeTransport
from papayatack.control.planning import Planner, PlanningIntervals
from papayatack.control.provenance import Provenance
from papayatack.control.quarantine import QuarantineControl
from papayatack.control.replication import RecordReplicator
from papayatack.control.shares import ShareWatch
from papayatack.control.snapshots import SnapshotPolicy, SnapshotWriter
from papayatack.control.suspension import SuspensionDetector
from papayatack.control.writing import RecordWriter
from papayatack.core.config_age import ConfigAge
from papayatack.core.evacuation import EVACUATION_S
from papayatack.core.identity import IncarnationId
from papayatack.core.inventory import Service
from papayatack.core.messages import (
    ConfigPosition,
    ControlMessage,
    LoadReport,
    LogBatch,
    LogUnreachable,
    OutcomePart,
    OutcomeQuery,
    RelayRecord,
)
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.selection import TailPolicy
from papayatack.core.ownership.state import OwnershipState
from papayatack.core.ownership.timing import LEASE_DURATION_S
from papayatack.core.placement.view import PlacementPlan, PlacementView
from papayatack.core.records import (
    CONFIG_STREAM,
    OWNERSHIP_STREAM,
    Announce,
)
from papayatack.logservice.appender import Appender
from papayatack.logservice.decoding import RecordDecoder
from papayatack.logservice.interface import LogService
from papayatack.logservice.tailer import (
    EndReached,
    RecordsExpired,
    RecordsRead,
    TailMessage,
)
from papayatack.observability.metrics import Metrics
from papayatack.proxy.interface import Ownership

if TYPE_CHECKING:
    from papayatack.logservice.checkpoints import CheckpointManager

__all__ = ["ControlNode"]

LOGGER = logging.getLogger(__name__)

ADVANCE_INTERVAL_S = 0.05
MAX_INBOX_ITEMS = 10_000
REPORT_INTERVAL_PER_MEMBER_S = 0.05

_Input = tuple[IncarnationId, ControlMessage] | TailMessage


class ControlNode:
    """Runs the ownership core of a node and the tasks that feed it.

    Args:
        announcement: Describes this process; the record id and the superseded
            incarnation are filled in.
        log: The log service.
        sender: Sends control messages to other nodes.
        sink: Sends grants to the local upstream.
        plan: Computes a placement plan; a pure function.
        metrics: Counters of the process.
        random: Source of the jitter of retries.
        state: Initial ownership state.
        config: Initial config state.
        decoder: Decodes the records of both streams.
        retention_s: Seconds for which the log keeps records, or ``None`` for a log that
            keeps all records. The node maintains checkpoints unless it is ``None``.
        snapshots: Where and how often snapshots of the ownership state are stored, if
            they are.
        planning_intervals: Intervals of planning and of load reports.
        tailing: Chooses the nodes that read the log directly. New records are passed
            along the forwarding tree only if it is given.
        lease_s: Duration of a lease in seconds, the same on all nodes.
        delivery_s: Longest time that a grant takes to reach an upstream.
        evacuation_s: Time after the acknowledgement of an order to evacuate a data
            centre from which no request may reach an upstream there, in seconds.

    Attributes:
        evacuation: Whether the local upstream may be used, and until when.
        quarantine: Requests that were in flight when upstreams crashed.
        read_limit: Returns the limit in requests per second that the local upstream
            names, ``None`` if it names none.
    """

    def __init__(
        self,
        *,
        announcement: Announce,
        log: LogService,
        sender: PeerSender,
        sink: GrantSink,
        plan: Callable[[PlacementView], PlacementPlan],
        metrics: Metrics,
        random: random.Random,
        state: OwnershipState | None = None,
        config: ConfigState | None = None,
        decoder: RecordDecoder | None = None,
        retention_s: float | None = None,
        snapshots: SnapshotPolicy | None = None,
        planning_intervals: PlanningIntervals | None = None,
        tailing: TailPolicy | None = None,
        lease_s: float = LEASE_DURATION_S,
        delivery_s: float = 0.0,
        evacuation_s: float = EVACUATION_S,
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.metrics = metrics
        self.read_limit: Callable[[], float | None] = lambda: None
        self._sender = sender
        self._random = random
        self._intervals = planning_intervals or PlanningIntervals()
        self._config = config or _create_config()
        self.core = NodeCore(
            announcement=announcement,
            state=state or OwnershipState(),
            now=now,
            find_service=self._find_service,
            lease_s=lease_s,
            delivery_s=delivery_s,
        )
        self.core.config_watch.set_offset(self._config.next_offset)
        self._loads = LoadMeter(now=now)
        self._suspension = SuspensionDetector()
        self.outcomes = OutcomeTransport(
            owned_shards=self.core.context.owned_shards, send=self._send
        )
        self._inbox: asyncio.Queue[_Input] = asyncio.Queue(maxsize=MAX_INBOX_ITEMS)
        self._decoder = decoder or RecordDecoder(metrics=metrics)
        self._appender = Appender(
            log=log, stream=OWNERSHIP_STREAM, metrics=metrics, random=random
        )
        self._writer = RecordWriter(
            core=self.core,
            appender=self._appender,
            decoder=self._decoder,
            send=self._send,
            metrics=metrics,
            random=random,
        )
        self.evacuation = EvacuationControl(
            core=self.core,
            data_centre=announcement.data_centre,
            bound_s=evacuation_s,
            execute_effects=lambda effects: self._effects.execute(effects),
            check_suspension=self._check_suspension,
            metrics=metrics,
        )
        if self._config.configuration.evacuated:
            self.evacuation.note_configuration(
                self._config.configuration.evacuated,
                Provenance(read_s=now),
                float("-inf"),
            )
        self._planner = Planner(
            core=self.core,
            read_configuration=lambda: self._config.configuration,
            plan=plan,
            append=self._writer.put,
            put_plan=self._writer.put_plan,
            intervals=self._intervals,
            evacuations=self.evacuation.evacuations,
        )
        self.share_watch = ShareWatch(core=self.core, metrics=metrics)
        self._follower = LogFollower(
            core=self.core,
            log=log,
            next_offsets={
                CONFIG_STREAM: self._config.next_offset,
                OWNERSHIP_STREAM: self.core.state.next_offset,
            },
            queue=self._inbox,
            metrics=metrics,
            random=random,
            newest_only=() if self._config.is_gapless else (CONFIG_STREAM,),
            policy=tailing,
            loaded=() if state is None else (OWNERSHIP_STREAM,),
        )
        self._effects = EffectExecutor(
            core=self.core,
            sink=sink,
            recent=self._follower.recent,
            send=self._send,
            append=self._writer.put,
            metrics=metrics,
        )
        self._directory = Directory(
            core=self.core,
            config=self._config,
            loads=self._loads,
            execute_effects=self._effects.execute,
            check_suspension=self._check_suspension,
        )
        self.quarantine = QuarantineControl(
            core=self.core, execute_effects=self._effects.execute
        )
        self._checkpoint_managers: dict[str, CheckpointManager] = {}
        if retention_s is not None:
            self._checkpoint_managers = self._build_checkpoint_managers(
                log, retention_s
            )
        self._snapshot_writer: SnapshotWriter | None = None
        if snapshots is not None:
            self._snapshot_writer = SnapshotWriter(
                core=self.core,
                follower=self._follower,
                policy=snapshots,
                metrics=metrics,
            )
        self._replicator = RecordReplicator(
            core=self.core,
            config=self._config,
            follower=self._follower,
            decoder=self._decoder,
            appender=self._appender,
            checkpoint_managers=self._checkpoint_managers,
            send=self._send,
            execute_effects=self._effects.execute,
            forwards=tailing is not None,
            metrics=metrics,
            note_evacuations=self.evacuation.note_configuration,
        )

    def _build_checkpoint_managers(
        self, log: LogService, retention_s: float
    ) -> dict[str, "CheckpointManager"]:
        # Imported lazily: a log that keeps all records needs no checkpoints.
        from papayatack.control.checkpoints import build_checkpoint_managers

        config_appender = Appender(
            log=log, stream=CONFIG_STREAM, metrics=self.metrics, random=self._random
        )
        return build_checkpoint_managers(
            core=self.core,
            config=self._config,
            follower=self._follower,
            appenders={
                CONFIG_STREAM: config_appender,
                OWNERSHIP_STREAM: self._appender,
            },
            retention_s=retention_s,
            metrics=self.metrics,
            now=self._read_clock(),
        )

    @property
    def ownership(self) -> Ownership:
        """The lookup of the nodes that serve a key, for the request path."""
        return self._directory

    @property
    def config(self) -> ConfigState:
        """State built from the config stream; callers must not modify it."""
        return self._config

    def read_config_age(self) -> ConfigAge:
        """Return how old the configuration in force may be."""
        return self.core.config_watch.describe_age(self._read_clock())

    @property
    def applied_records(self) -> AppliedRecords:
        """The newest ownership records that this node has applied."""
        return AppliedRecords(
            follower=self._follower, core=self.core, queue=self._inbox
        )

    @property
    def log_reachable(self) -> bool:
        """Whether the log answered the last call of each stream's tailer."""
        return all(map(self._follower.is_available, STREAMS))

    @property
    def is_leaving(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self.core.is_leaving

    async def run(self) -> None:
        """Run all control tasks until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for stream in STREAMS:
                tasks.create_task(self._follower.follow(stream))
            for keeper in self._checkpoint_managers.values():
                tasks.create_task(keeper.run())
            if self._snapshot_writer is not None:
                tasks.create_task(self._snapshot_writer.run())
            tasks.create_task(self._effects.run())
            tasks.create_task(self._replicator.run())
            tasks.create_task(self._writer.run())
            tasks.create_task(self._planner.run())
            tasks.create_task(self.share_watch.run())
            tasks.create_task(self._report_loads())
            tasks.create_task(self._read_inbox())
            tasks.create_task(self._advance())

    def receive(
        self, sender: IncarnationId, recipient: IncarnationId, message: ControlMessage
    ) -> None:
        """Queue a control message from another node without blocking.

        The message is dropped and counted if it is for another incarnation or if the
        queue is full.
        """
        if recipient != self.core.incarnation:
            self.metrics.count("control_messages_dropped", "other-incarnation")
            return
        try:
            self._inbox.put_nowait((sender, message))
        except asyncio.QueueFull:
            self.metrics.count("control_messages_dropped", "inbox-full")

    def attach_upstream(
        self, *, service: str, upstream: str = "", slots: int = 0, connections: int = 0
    ) -> None:
        """Announce the local upstream to other nodes; an empty service means none."""
        effects = self.core.attach_upstream(
            service=service,
            upstream=upstream,
            slots=slots,
            connections=connections,
            now=self._read_clock(),
        )
        self._effects.execute(effects)

    def evacuate_shards(self) -> None:
        """Transfer all shards to other nodes: no local upstream can serve them."""
        self._effects.execute(self.core.evacuate_shards(self._read_clock()))

    def handle_upstream_restart(self) -> None:
        """Grant all shards again to an upstream that has lost its grants."""
        self._effects.execute(self.core.handle_upstream_restart(self._read_clock()))

    def start_departure(self) -> None:
        """Begin a graceful shutdown: transfer the shards, then end the leases."""
        self._effects.execute(self.core.start_departure(self._read_clock()))
        self._send_report()

    async def wait_finished(self) -> bool:
        """Wait for the node to finish; ``False`` if the log ended this incarnation."""
        return await asyncio.shield(self._effects.finished)

    def _read_clock(self) -> float:
        return asyncio.get_running_loop().time()

    def _check_suspension(self) -> None:
        if self._suspension.detect():
            self.evacuation.expire()
            self._effects.execute(self.core.handle_suspension(self._read_clock()))

    def _find_service(self, name: str) -> Service | None:
        for service in self._config.configuration.services:
            if service.name == name:
                return service
        return None

    async def _advance(self) -> None:
        while True:
            self._check_suspension()
            self._follower.update(self._read_clock())
            self._replicator.report_unreachable(self._read_clock())
            self._effects.execute(self.core.advance(self._read_clock()))
            self.evacuation.advance(self._read_clock())
            self.outcomes.send_queries(self._read_clock())
            await asyncio.sleep(ADVANCE_INTERVAL_S)

    async def _read_inbox(self) -> None:
        while True:
            await self._handle_input(await self._inbox.get())

    @functools.singledispatchmethod
    async def _handle_input(self, item: _Input) -> None:
        raise TypeError(item)

    @_handle_input.register
    async def _(self, item: tuple) -> None:
        sender, message = item
        await self._handle_message(message, sender)

    @_handle_input.register
    async def _(self, item: RecordsRead | RecordsExpired | EndReached) -> None:
        await self._replicator.receive_read(item)

    @functools.singledispatchmethod
    async def _handle_message(
        self, message: ControlMessage, sender: IncarnationId
    ) -> None:
        self._check_suspension()
        effects = self.core.receive(sender, message, now=self._read_clock())
        self._effects.execute(effects)

    @_handle_message.register
    async def _(self, message: LogBatch, sender: IncarnationId) -> None:
        await self._replicator.receive_batch(message, sender)

    @_handle_message.register
    async def _(self, message: ConfigPosition, sender: IncarnationId) -> None:
        self._replicator.receive_position(message, sender)

    @_handle_message.register
    async def _(self, message: LogUnreachable, sender: IncarnationId) -> None:
        self._follower.note_unreachable(message.stream, self._read_clock())

    @_handle_message.register
    async def _(self, message: RelayRecord, sender: IncarnationId) -> None:
        self._writer.receive(message, sender)

    @_handle_message.register(OutcomeQuery)
    @_handle_message.register(OutcomePart)
    async def _(
        self, message: OutcomeQuery | OutcomePart, sender: IncarnationId
    ) -> None:
        self.outcomes.receive(message, sender, self._read_clock())

    @_handle_message.register
    async def _(self, message: LoadReport, sender: IncarnationId) -> None:
        if message.incarnation == sender:
            self._planner.receive_report(message, self._read_clock())

    async def _report_loads(self) -> None:
        while True:
            members = len(self.core.state.members)
            interval_s = REPORT_INTERVAL_PER_MEMBER_S * members
            await asyncio.sleep(max(interval_s, self._intervals.report_interval_s))
            self._send_report()

    def _send_report(self) -> None:
        report = self._loads.make_report(
            self.core.incarnation,
            members=len(self.core.state.members),
            leaving=self.is_leaving,
            now=self._read_clock(),
            requests_per_s=self.read_limit(),
        )
        planner = self._planner.find_planner()
        if planner == self.core.incarnation:
            self._planner.receive_report(report, self._read_clock())
        elif planner is not None:
            self._send(planner, report)

    def _send(self, recipient: IncarnationId, message: ControlMessage) -> None:
        member = self.core.state.members.get(recipient)
        if member is None:
            self.metrics.count("control_messages_dropped", "unknown-recipient")
            return
        self._sender.send(member.address, recipient, message)


def _create_config() -> ConfigState:
    # Imported lazily: some platforms supply a config state of another type.
    from papayatack.core.config_fold import ConfigFold

    return ConfigFold()
