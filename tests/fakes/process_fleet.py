"""Nodes as processes, each with its own way to one store, which can be disturbed."""

import asyncio
import contextlib
import dataclasses
import signal
import time

from standins.platformstore import KeyedStore, StoreServer
from tests.platform.test_process import Machine

__all__ = ["FleetMachine", "ProcessFleet", "Span", "StoreFront", "is_touched"]

CONFIG_TOPIC = "keyed.op"
READS_WATCHED_S = 3.0
POLL_S = 0.1
START_LIMIT_S = 60.0
LAYOUT = (
    ("east", "desk"),
    ("west", "papers"),
    ("south", "sheets"),
    ("east", "papers"),
    ("west", "sheets"),
    ("south", "desk"),
    ("east", "sheets"),
    ("west", "desk"),
    ("south", "papers"),
    ("east", "papers"),
    ("west", "sheets"),
    ("south", "papers"),
)
"""Data centre and service of each node, repeated in larger fleets."""


@dataclasses.dataclass(slots=True)
class Span:
    """A time on the event loop's clock; until it ends, ``end_s`` is infinite."""

    start_s: float
    end_s: float = float("inf")


def is_touched(spans, start_s, end_s):
    """Return whether any span has a moment between two times."""
    return any(span.start_s < end_s and span.end_s > start_s for span in spans)


class StoreFront(StoreServer):
    """The store as one node reaches it.

    Attributes:
        delay_s: Time by which each answer is late.
        is_silent: Whether no call is answered.
        is_cut: The same for this node alone.
    """

    def __init__(self, *, store):
        super().__init__(store=store)
        self.delay_s = 0.0
        self.is_silent = False
        self.is_cut = False
        self._long_reads_s = []

    async def answer(self, request):
        """Return the answer to a call; never return if it gets none."""
        self._note(request.target)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        response = await super().answer(request)
        if self.is_silent or self.is_cut:
            await asyncio.get_running_loop().create_future()
        return response

    def _note(self, target):
        is_waiting = b"WaitMs=0" not in target
        if CONFIG_TOPIC.encode() in target and is_waiting:
            self._long_reads_s.append(asyncio.get_running_loop().time())

    def count_long_reads(self):
        """Return how often the node has lately waited for a configuration."""
        first_s = asyncio.get_running_loop().time() - READS_WATCHED_S
        self._long_reads_s = [at_s for at_s in self._long_reads_s if at_s > first_s]
        return len(self._long_reads_s)


class FleetMachine(Machine):
    """A node whose process and way to the store can be disturbed.

    Attributes:
        number: Its number in the fleet.
        front: Its way to the store.
        life: Counts the starts of its process.
        spans: When it was disturbed.
        has_ended_itself: Whether its process ended without having been killed.
    """

    def __init__(self, *, front, number, **options):
        super().__init__(store_port=front.port, number=number, **options)
        self.number = number
        self.front = front
        self.life = 0
        self.spans = []
        self.has_ended_itself = False

    @property
    def is_running(self):
        """Whether its process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def start_node(self):
        """Start the node's process; the start counts as a disturbance."""
        self.life += 1
        await super().start_node()
        self._begin()
        self._end()

    def _begin(self):
        self.spans.append(Span(asyncio.get_running_loop().time()))

    def _end(self):
        for span in self.spans:
            span.end_s = min(span.end_s, asyncio.get_running_loop().time())

    def strike(self, way):
        """Disturb it in a way of :data:`WAYS` until :meth:`mend`."""
        self._begin()
        match way:
            case "kill":
                self.process.kill()
            case "stop":
                self.process.send_signal(signal.SIGSTOP)
            case "cut":
                self.front.is_cut = True

    async def mend(self, way):
        """End a disturbance."""
        match way:
            case "kill":
                await self.process.wait()
                await self.start_node()
            case "stop":
                self.process.send_signal(signal.SIGCONT)
            case "cut":
                self.front.is_cut = False
        self._end()

    async def stop(self):
        """Stop the node, the upstream and the way to the store."""
        is_killed = any(span.end_s == float("inf") for span in self.spans)
        self.has_ended_itself = not self.is_running and not is_killed
        await super().stop()
        await self.front.stop()


class ProcessFleet:
    """Machines at one store.

    Attributes:
        store: The store.
        machines: The machines.
        spans: When the store was disturbed.
        stalls: When this process itself stood still.
    """

    STALL_S = 0.25
    STALL_POLL_S = 0.02

    def __init__(self, *, folder):
        self.store = KeyedStore()
        self.machines = []
        self.spans = []
        self.stalls = []
        self.clock_offset_s = 0.0
        self._folder = folder
        self._trouble = {}
        self._watch = None

    async def start(self, nodes):
        """Start a number of nodes, all at once."""
        self.clock_offset_s = time.time() - asyncio.get_running_loop().time()
        self._watch = asyncio.ensure_future(self._watch_stalls())
        await self.add(nodes)

    async def add(self, nodes):
        """Start further nodes, all at once; return them."""
        added = []
        for _ in range(nodes):
            front = StoreFront(store=self.store)
            await front.start()
            self._apply(front)
            number = len(self.machines)
            place, service = LAYOUT[number % len(LAYOUT)]
            machine = FleetMachine(
                front=front,
                folder=self._folder,
                place=place,
                service=service,
                number=number,
            )
            self.machines.append(machine)
            added.append(machine)
        await asyncio.gather(*(machine.start() for machine in added))
        return added

    async def stop(self):
        """Stop everything."""
        self._watch.cancel()
        await asyncio.gather(*(machine.stop() for machine in self.machines))

    def trouble_store(self, **attributes):
        """Disturb the store: set attributes of all ways to it."""
        self.spans.append(Span(asyncio.get_running_loop().time()))
        self._trouble = attributes
        for machine in self.machines:
            self._apply(machine.front)

    def _apply(self, front):
        for name, value in self._trouble.items():
            setattr(front, name, value)

    def mend_store(self):
        """End the disturbance of the store."""
        self._trouble = {"delay_s": 0.0, "is_silent": False, "refuse_with": None}
        for machine in self.machines:
            self._apply(machine.front)
        self.spans[-1].end_s = asyncio.get_running_loop().time()

    def store_config(self, manifest):
        """Append a manifest; return the time of the store's response."""
        self.store.append(CONFIG_TOPIC, b"config", manifest)
        return asyncio.get_running_loop().time()

    def find_planner(self, machines):
        """Return the machine whose node has waited most for configurations lately."""
        return max(machines, key=lambda machine: machine.front.count_long_reads())

    async def wait_served(self, path):
        """Wait until all nodes serve a path.

        Raises:
            ChildProcessError: A node has ended.
        """
        async with asyncio.timeout(START_LIMIT_S):
            for machine in self.machines:
                while not await _is_served(machine, path):
                    if not machine.is_running:
                        raise ChildProcessError(f"node {machine.number} has ended")
                    await asyncio.sleep(POLL_S)

    async def _watch_stalls(self):
        loop = asyncio.get_running_loop()
        while True:
            started_s = loop.time()
            await asyncio.sleep(self.STALL_POLL_S)
            if loop.time() - started_s > self.STALL_S:
                self.stalls.append(Span(started_s, loop.time()))


async def _is_served(machine, path):
    with contextlib.suppress(OSError, TimeoutError, IndexError):
        status, _, _ = await machine.ask(path)
        return status == 200
    return False
