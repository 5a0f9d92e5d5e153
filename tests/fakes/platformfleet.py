"""Real nodes with real grants beside upstreams that hold ranges, on a paused clock.

Each node is a :class:`papayatack.control.ControlNode` with a
:class:`papayatack.platform.grants.RangeGrantClient`; the log, the links and the
upstreams are in memory. A node or an upstream can be frozen, ended and started again.
"""

import asyncio
import contextvars
import dataclasses
import functools
import random
import types

from returns.pipeline import is_successful
from returns.result import Failure

from papayatack.control import ControlNode
from papayatack.core.identity import IncarnationId
from papayatack.core.inventory import Configuration, KeyRange, Place, Service
from papayatack.core.ownership import OwnershipState, apply_record
from papayatack.core.ownership.selection import TailPolicy
from papayatack.core.ownership.timing import LEASE_DURATION_S
from papayatack.core.placement import PlacementPlan, plan_placement
from papayatack.core.records import OWNERSHIP_STREAM, Announce
from papayatack.core.shards import is_hot_shard
from papayatack.daemon.announcement import AnnouncedUpstream, UpstreamGone
from papayatack.daemon.upstreams import UpstreamKeeper
from papayatack.logservice.interface import LogFailure, LogFailureKind
from papayatack.observability.metrics import Metrics
from papayatack.platform.environment import PLACEMENT_LIMITS, PLANNING_INTERVALS
from papayatack.platform.grants import MAX_DELIVERY_S, RangeGrantClient
from papayatack.wire.records import decode_record, encode_record
from standins.logstore import InProcessLog, LogStore
from tests.fakes.clocks import PROCESS
from tests.fakes.ranges import OwnershipChecker, RangePool, RangeUpstream

__all__ = ["KEYS", "PlatformFleet", "SERVICE"]

SERVICE = "desk"
KEYS = 128
SHARDS = 4
LATENCY_S = 0.002
LOG_DELAY_S = 0.004
REQUEST_EVERY_S = 0.04
CHECK_EVERY_S = 0.02
DEADLINE_S = 3.0
DRAIN_S = 2.0
QUICK_PLACEMENT = dataclasses.replace(
    PLACEMENT_LIMITS, move_cooldown_s=1.0, min_hot_age_s=2.0
)
CONFIGURATION = Configuration(
    version=1,
    services=(
        Service(
            name=SERVICE,
            prefix="",
            key_ranges=(KeyRange(name="keys", shards=SHARDS, numbers=KEYS),),
            slots=8,
            connections=100,
            deadline_s=DEADLINE_S,
            places=("east", "west", "south"),
        ),
    ),
    places=tuple(Place(name=name, region="r") for name in ("east", "west", "south")),
)


class _Config:
    """A config stream that never changes."""

    is_gapless = False
    version = 1
    next_offset = 0

    def __init__(self, configuration):
        self.configuration = configuration

    def apply(self, offset, record):
        """Ignore a record."""


class _Log:
    """The log as one node reaches it."""

    def __init__(self, *, store, slot):
        self._log = InProcessLog(store=store)
        self._slot = slot

    async def append(self, stream, payload, *, timeout_s):
        """Append unless the link is cut."""
        if self._slot.is_log_cut:
            return await self._fail(timeout_s)
        return await self._log.append(stream, payload, timeout_s=timeout_s)

    async def read(self, stream, offset, *, limit, wait_s, timeout_s):
        """Read unless the link is cut."""
        if self._slot.is_log_cut:
            return await self._fail(timeout_s)
        return await self._log.read(
            stream, offset, limit=limit, wait_s=wait_s, timeout_s=timeout_s
        )

    async def _fail(self, timeout_s):
        await asyncio.sleep(timeout_s)
        return Failure(LogFailure(kind=LogFailureKind.UNKNOWN, detail="cut"))


class Slot:
    """A machine with a node and an upstream.

    Attributes:
        control: The node, ``None`` while none runs.
        life: The present life of the upstream, ``None`` while none runs.
        is_frozen: The node is frozen.
        thawed_s: When it was thawed last.
        is_log_cut: It does not reach the log.
        find_stall_s: Returns for how long the node gets no processor between its
            decision on effects and their execution.
    """

    def __init__(self, *, name, data_centre, service=SERVICE):
        self.name = name
        self.data_centre = data_centre
        self.service = service
        self.control = None
        self.sink = None
        self.life = None
        self.desk = None
        self.is_frozen = False
        self.thawed_s = float("-inf")
        self.is_log_cut = False
        self.find_stall_s = lambda effects: 0.0
        self.starts = 0
        self.lives = 0
        self.tasks = []


class PlatformFleet:
    """Machines, a log and links between them.

    Args:
        seed: Seed of the random latencies and requests.
        configuration: Inventory of the nodes.
        placement: Limits of the planner.
        lease_s: Duration of a lease in seconds.

    Attributes:
        cut: Pairs of machines, from and to, whose messages are lost.
        plans: Whether the nodes' planner changes anything.
        drop: Part of the messages that are lost.
        delay_s: Longest further time that a message takes.
        long_share: Part of the requests that may run until their deadline.
    """

    def __init__(
        self,
        *,
        seed,
        configuration=CONFIGURATION,
        placement=QUICK_PLACEMENT,
        lease_s=LEASE_DURATION_S,
    ):
        self.random = random.Random(seed)
        self.configuration = configuration
        self.keys = configuration.services[0].key_ranges[0].numbers
        self.placement = placement
        self.lease_s = lease_s
        self.checker = OwnershipChecker()
        self.store = LogStore()
        self.store.faults.delay_s = LOG_DELAY_S
        self.slots = {}
        self.cut = set()
        self.drop = 0.0
        self.delay_s = 0.0
        self.lose = 0.0
        self.stall = 0.0
        self.slow_s = 0.0
        self.late_s = 0.0
        self.hot_keys = (0,)
        self.long_share = 0.1
        self.served = 0
        self.plans = True
        self.records = 0

    def add(self, name, data_centre, service=SERVICE):
        """Add a machine and start both of its processes."""
        self.slots[name] = Slot(name=name, data_centre=data_centre, service=service)
        self.start_upstream(name)
        self.start(name)

    def start(self, name):
        """Start a node; one that still ran is superseded."""
        slot = self.slots[name]
        slot.starts += 1
        context = contextvars.copy_context()
        context.run(PROCESS.set, name)
        slot.is_frozen = False
        task = context.run(asyncio.create_task, self._run(slot), context=context)
        slot.tasks = [task]
        self.checker.record_event(f"{name} starts as {name}#{slot.starts}")

    async def _run(self, slot):
        """Run one node until cancelled; one that the log ended starts again."""
        incarnation = IncarnationId(f"{slot.name}#{slot.starts}")
        await self.wait_loadable(slot)
        state = OwnershipState()
        for offset, payload in enumerate(self.list_payloads()):
            record = decode_record(OWNERSHIP_STREAM, payload).value_or(None)
            apply_record(state, offset, record)
        life = slot.life
        announcement = Announce(
            record_id="",
            writer=incarnation,
            incarnation=incarnation,
            address=slot.name,
            operator_address=slot.name,
            data_centre=slot.data_centre,
            region="r",
            service=slot.service if life is not None else "",
            upstream=life.name if life is not None else "",
            slots=8,
            connections=100,
        )
        slot.sink = RangeGrantClient(
            list_hot=lambda: [shard for shard in state.shards if is_hot_shard(shard)],
            build_connections=lambda pool: pool,
        )
        slot.control = control = ControlNode(
            announcement=announcement,
            log=_Log(store=self.store, slot=slot),
            sender=_Sender(fleet=self, slot=slot, incarnation=incarnation),
            sink=slot.sink,
            plan=self._plan,
            metrics=Metrics(),
            random=random.Random(self.random.random()),
            state=state,
            config=self.build_config(),
            decoder=self.build_decoder(),
            planning_intervals=PLANNING_INTERVALS,
            tailing=TailPolicy(small_fleet_size=2, tailers_per_data_centre=1),
            lease_s=self.lease_s,
            delivery_s=MAX_DELIVERY_S,
        )
        self._stall_decisions(slot, control._effects)
        slot.desk = asyncio.Queue()
        keeper = UpstreamKeeper(
            environment=types.SimpleNamespace(
                desk=_Desk(slot.desk), note_upstream=lambda upstream: None
            ),
            control=control,
            engine=types.SimpleNamespace(
                upstream=None, notify_leaving=lambda callback: None
            ),
            gate=types.SimpleNamespace(restart=lambda: None),
            sink=slot.sink,
            build_pool=lambda upstream: RangePool(
                process=self.checker.find_process(upstream.address)
            ),
            drain_s=DRAIN_S,
        )
        if life is not None:
            slot.desk.put_nowait(self._announce(slot))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(control.run())
            tasks.create_task(keeper.run())
            tasks.create_task(self.send_requests(slot, control, tasks))
            resigned = await control.wait_finished()
            slot.control = None
            loop = asyncio.get_running_loop()
            if not resigned:
                loop.call_later(0.1, self.start, slot.name)
            raise asyncio.CancelledError

    def _stall_decisions(self, slot, executor):
        """Let time pass between the decisions of a node and their execution."""
        execute = executor.execute

        def execute_later(effects):
            stall_s = slot.find_stall_s(effects)
            if not stall_s or slot.is_frozen:
                execute(effects)
                return
            self.checker.record_event(f"{slot.name} stalls for {stall_s:.3f} s")
            loop = asyncio.get_running_loop()
            loop.freeze(slot.name)
            context = contextvars.copy_context()
            node = (slot.tasks, context, functools.partial(execute, effects))
            loop.call_later(
                stall_s, self._go_on, slot, *node, context=contextvars.Context()
            )

        executor.execute = execute_later

    def _go_on(self, slot, tasks, context, execute):
        """Let a node that stood still execute what it had decided, and go on."""
        if slot.tasks is tasks:
            context.run(execute)
        if not slot.is_frozen:
            asyncio.get_running_loop().thaw(slot.name)

    def build_config(self):
        """Return the config state of a node that starts."""
        return _Config(self.configuration)

    def build_decoder(self):
        """Return the decoder of a node's records, ``None`` for the usual one."""

    def may_send(self, slot, control):
        """Return whether a request may be sent to the upstream of a machine now."""
        return True

    async def wait_loadable(self, slot):
        """Wait until a node that starts may load the records of the log: at once."""

    def _plan(self, view):
        if not self.plans:
            return PlacementPlan(assignments=())
        return plan_placement(view, limits=self.placement)

    def _announce(self, slot, *, leaving=False):
        return AnnouncedUpstream(
            service=slot.service,
            address=slot.life.name,
            slots=8,
            connections=100,
            instance=slot.life.name,
            leaving=leaving,
        )

    def list_payloads(self):
        """Return the payloads of the ownership stream."""
        stream = self.store.get_stream(OWNERSHIP_STREAM)
        return [payload for _, payload in stream.records]

    def append(self, kind, **fields):
        """Append a record of the operator's."""
        self.records += 1
        record = kind(record_id=f"op/{self.records}", writer="operator", **fields)
        self.store.append(OWNERSHIP_STREAM, encode_record(record))

    def kill(self, name):
        """End a node at once."""
        slot = self.slots[name]
        for task in slot.tasks:
            task.cancel()
        slot.tasks = []
        slot.control = None
        self.checker.record_event(f"{name} is killed")

    def freeze(self, process):
        """Freeze a node or an upstream."""
        loop = asyncio.get_running_loop()
        loop.freeze(process)
        if process in self.slots:
            self.slots[process].is_frozen = True
        self.checker.record_event(f"{process} freezes")

    def thaw(self, process):
        """Let it go on."""
        loop = asyncio.get_running_loop()
        loop.thaw(process)
        if process in self.slots:
            self.slots[process].is_frozen = False
            self.slots[process].thawed_s = loop.time()
        self.checker.record_event(f"{process} goes on")

    def start_upstream(self, name):
        """Start a new life of an upstream, and tell the node."""
        slot = self.slots[name]
        slot.lives += 1
        slot.life = RangeUpstream(
            name=f"{name}.{slot.lives}",
            sender=slot,
            checker=self.checker,
            random=self.random,
        )
        self.spread_faults()
        if slot.desk is not None:
            slot.desk.put_nowait(self._announce(slot))

    def end_upstream(self, name):
        """End an upstream; its node hears of it when told."""
        slot = self.slots[name]
        if slot.life is not None:
            asyncio.get_running_loop().thaw(slot.life.name)
            slot.life.crash()
            slot.life = None

    def tell_upstream_gone(self, name):
        """Let a node hear that its upstream has ended."""
        slot = self.slots[name]
        if slot.life is None and slot.desk is not None:
            slot.desk.put_nowait(UpstreamGone(is_certain=True))

    def tell_upstream_leaves(self, name):
        """Let a node hear that its upstream will end."""
        slot = self.slots[name]
        if slot.life is not None and slot.desk is not None:
            slot.desk.put_nowait(self._announce(slot, leaving=True))

    def spread_faults(self):
        """Let the upstreams fail as the fleet does."""
        for slot in self.slots.values():
            if slot.life is not None:
                slot.life.lose = self.lose
                slot.life.stall = self.stall
                slot.life.slow_s = self.slow_s
                slot.life.late_s = self.late_s

    def read_state(self):
        """Return the folded state of the whole log."""
        state = OwnershipState()
        for offset, payload in enumerate(self.list_payloads()):
            record = decode_record(OWNERSHIP_STREAM, payload).value_or(None)
            apply_record(state, offset, record)
        return state

    def deliver(self, sender, source, address, recipient, message):
        """Hand a message over to its recipient."""
        slot = self.slots.get(address)
        if (source, address) in self.cut or slot is None or slot.control is None:
            return
        slot.control.receive(sender, recipient, message)

    async def watch(self):
        """Look for units with two holders until cancelled."""
        while True:
            self.checker.check_exclusivity()
            await asyncio.sleep(CHECK_EVERY_S)

    async def stop(self):
        """End all nodes."""
        loop = asyncio.get_running_loop()
        for slot in self.slots.values():
            loop.thaw(slot.name)
            if slot.life is not None:
                loop.thaw(slot.life.name)
            tasks = slot.tasks
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def send_requests(self, slot, control, tasks):
        """Send requests for keys that this node serves."""
        while True:
            await asyncio.sleep(REQUEST_EVERY_S * (0.5 + self.random.random()))
            if self.random.random() < 0.4:
                key = self.random.choice(self.hot_keys)
            else:
                key = self.random.randrange(self.keys)
            tasks.create_task(self._request(slot, control, key))

    async def _request(self, slot, control, key):
        route = control.ownership.locate(SERVICE, str(key))
        if not is_successful(route) or not route.unwrap().local:
            return
        granted = control.ownership.authorize(route.unwrap().shard)
        life = slot.life
        if not is_successful(granted) or life is None:
            return
        grant = granted.unwrap()
        if not self.may_send(slot, control):
            control.ownership.finish(grant, service_time_s=None)
            return
        longest_s = DEADLINE_S if self.random.random() < self.long_share else 0.2
        duration_s = self.random.random() * longest_s
        begun = await life.run(key, duration_s)
        control.ownership.finish(grant, service_time_s=duration_s)
        self.served += begun
        if not begun:
            control.ownership.renew_grant(grant)


class _Desk:
    """Tells a node of its upstream."""

    def __init__(self, queue):
        self._queue = queue

    async def wait_changed(self):
        """Return the next news."""
        return await self._queue.get()

    def note_leaving(self, instance):
        """Do nothing: there are no responses."""

    def suspect(self):
        """Ignore a suspicion; the schedule tells when to hear of an end."""


class _Sender:
    """Sends the control messages of one node."""

    def __init__(self, *, fleet, slot, incarnation):
        self._fleet = fleet
        self._slot = slot
        self._incarnation = incarnation

    def send(self, address, recipient, message):
        """Queue a message unless its link is cut or it is lost."""
        fleet = self._fleet
        source = self._slot.name
        lost = fleet.random.random() < fleet.drop
        if lost or (source, address) in fleet.cut:
            return
        delay_s = LATENCY_S * (0.5 + fleet.random.random())
        delay_s += fleet.delay_s * fleet.random.random()
        asyncio.get_running_loop().call_later(
            delay_s,
            fleet.deliver,
            self._incarnation,
            source,
            address,
            recipient,
            message,
            context=contextvars.Context(),
        )
