"""Fake upstreams that hold grants of key ranges, and a checker of exclusive ownership.

The checker compares the grants that each upstream process holds for each slice, the
smallest range that is granted separately. It records these violations:

- A process receives a grant of a slice whose fencing token is not higher than those
  of all other processes.
- Two processes hold a slice for more than half a second, or both start requests for it
  while both hold it.
- A process receives a grant of a slice while another still processes a request for
  it, before that one's grant would have expired.

The checker excuses grants that were in transit while their sender was frozen or its
link was cut, or shortly after that.
"""

import asyncio
import contextvars
import dataclasses
import json

from returns.result import Failure, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.network.bodies import BytesBody
from papayatack.network.exchanges import Response
from tests.fakes.clocks import PROCESS

__all__ = ["OwnershipChecker", "RangePool", "RangeUpstream", "SLICE_WIDTH"]

SLICE_WIDTH = 8
"""Number of keys in a hot slice; every granted range consists of whole slices."""

MAX_OVERLAP_S = 0.5
"""Maximum time for which two processes may hold a slice."""

THAW_SLACK_S = 0.3
"""Time after a thaw in which grants that arrive are still excused."""

CLOCK_RATE = 1.02
"""Rate by which the upstream's time for a grant exceeds the sender's."""

MEAN_LATENCY_S = 0.004
MAX_STALL_S = 3.0
"""Maximum time for which a stalled grant is delayed."""


@dataclasses.dataclass
class _Hold:
    """Hold of a process on a slice, by virtue of a grant.

    Attributes:
        token: Its fencing token.
        since_s: Time at which the process began to hold the slice.
        until_s: Time at which it expires, or at which it was released.
        expires_s: Time at which it expires if it is not released before.
        is_excused: Whether the checker ignores it.
    """

    token: int
    since_s: float
    until_s: float
    expires_s: float
    is_excused: bool


class OwnershipChecker:
    """Records violations of exclusive ownership.

    Attributes:
        violations: Time, rule and description of each violation.
        history: Time and description of each event.
        processes: All upstream processes, including those that have ended.
    """

    def __init__(self):
        self.violations = []
        self.history = []
        self.processes = []
        self._overlaps = {}

    def record_event(self, text):
        """Add an event to the history."""
        self.history.append((asyncio.get_running_loop().time(), text))

    def find_process(self, name):
        """Return the upstream process of a name."""
        return next(process for process in self.processes if process.name == name)

    def check_grant(self, process, slice_index, token, *, renews):
        """Check a grant of a slice that a process is about to accept."""
        now = asyncio.get_running_loop().time()
        for other in self.processes:
            if other is process:
                continue
            hold = other.holds.get(slice_index)
            if hold is not None and hold.token >= token and not renews:
                same = other.sender is process.sender
                rule = "token of an earlier process" if same else "token"
                self._record_violation(rule, slice_index, process, token, other, hold)
            is_busy = other.is_up and other.work.get(slice_index, 0)
            if hold is not None and is_busy and now < hold.expires_s:
                self._record_violation(
                    "still busy", slice_index, process, token, other, hold
                )

    def check_exclusivity(self, starting=None, slice_index=None):
        """Check that no two processes hold a slice.

        Args:
            starting: Process that has just started a request, if any.
            slice_index: Slice of that request.
        """
        now = asyncio.get_running_loop().time()
        holders = {}
        for process in self.processes:
            if not process.is_up:
                continue
            for index, hold in process.holds.items():
                if now < hold.until_s and not hold.is_excused:
                    holders.setdefault(index, []).append(process)
        overlaps = {
            index: holders_of_slice
            for index, holders_of_slice in holders.items()
            if holders_of_slice[1:]
        }
        for index in list(self._overlaps):
            if index not in overlaps:
                del self._overlaps[index]
        for index, (process, other, *_) in overlaps.items():
            since_s, starters = self._overlaps.setdefault(index, (now, set()))
            hold = other.holds[index]
            if now - since_s > MAX_OVERLAP_S:
                token = process.holds[index].token
                self._record_violation("held twice", index, process, token, other, hold)
            if starting is not None and slice_index == index:
                starters.add(starting)
                if len(starters) > 1:
                    token = process.holds[index].token
                    self._record_violation(
                        "started twice", index, process, token, other, hold
                    )

    def _record_violation(self, rule, slice_index, process, token, other, hold):
        now = asyncio.get_running_loop().time()
        text = (
            f"key {slice_index * SLICE_WIDTH}: "
            f"{process.name} has {describe_token(token)}, "
            f"{other.name} had {describe_token(hold.token)}"
        )
        if (rule, text) not in [(known, seen) for _, known, seen in self.violations]:
            self.violations.append((now, rule, text))
            self.record_event(f"VIOLATION {rule}: {text}")


def describe_token(token):
    """Return the parts of a token: start offset, chain position, upstream restarts."""
    return f"{token >> 16}/{token >> 8 & 255}/{token & 255}"


class RangeUpstream:
    """One process of an upstream.

    Attributes:
        holds: Its present and past grants, by slice.
        work: Number of running requests, by slice.
        sender: The node that calls it; grants sent while it is frozen are excused.
        lose: Fraction of responses that are lost.
        slow_s: Maximum delay of a call after its arrival, in seconds.
        late_s: Maximum delay of a call or a request on its way, in seconds.
        stall: Fraction of grants that are accepted late and without a response.
        is_partitioned: Whether the link from the sender is cut.
    """

    def __init__(self, *, name, sender, checker, random):
        self.name = name
        self.sender = sender
        self.is_up = True
        self.holds = {}
        self.seen = {}
        self.work = {}
        self.lose = 0.0
        self.stall = 0.0
        self.slow_s = 0.0
        self.late_s = 0.0
        self.is_partitioned = False
        self.cut_s = float("-inf")
        self.calls = set()
        self.context = contextvars.copy_context()
        self.context.run(PROCESS.set, name)
        self._checker = checker
        self._random = random
        self._changed = asyncio.Event()
        checker.processes.append(self)

    def crash(self):
        """End the process abruptly."""
        self.is_up = False
        self._checker.record_event(f"{self.name} ends")
        self._wake()

    def cut(self):
        """Cut the link from the sender."""
        self.is_partitioned = True

    def heal(self):
        """Restore the link."""
        self.is_partitioned = False
        self.cut_s = asyncio.get_running_loop().time()

    def draw_latency_s(self):
        """Return a random network latency of a call, in seconds."""
        return MEAN_LATENCY_S * (0.5 + self._random.random())

    def draw_arrival_s(self):
        """Return a random time that a call or a request takes to arrive, in seconds."""
        late_s = self.late_s * self._random.random() if self.late_s else 0.0
        return self.draw_latency_s() + late_s

    async def call(self, target, document, sent_s, latency_s):
        """Process a call; return the response, or ``None`` if it is lost.

        The duration of a grant counts from its arrival, even if the process is frozen.
        """
        loop = asyncio.get_running_loop()
        arrived_s = sent_s + latency_s
        await asyncio.sleep(max(0.0, arrived_s - loop.time()))
        while self.is_partitioned:
            await asyncio.sleep(0.01)
            arrived_s = loop.time()
        await asyncio.sleep(self.slow_s * self._random.random())
        slices = range(
            document["From"] // SLICE_WIDTH, document["To"] // SLICE_WIDTH + 1
        )
        if not self.is_up:
            return None
        if target == b"/grant":
            until_s = arrived_s + _read_s(document["Hold"]) * CLOCK_RATE
            is_excused = self._is_excused(sent_s)
            stalled = self._random.random() < self.stall
            if stalled:
                await asyncio.sleep(self._random.random() * MAX_STALL_S)
            status = self._take(slices, document["fence"], until_s, is_excused, stalled)
            if stalled:
                return None
            headers = ()
        else:
            status, headers = 200, await self._release(slices, document)
        if self._random.random() < self.lose:
            return None
        await asyncio.sleep(self.draw_latency_s())
        return Response(
            status=status,
            headers=(*headers, (b"content-length", b"0")),
            body=BytesBody(data=b""),
        )

    def _is_excused(self, sent_s):
        """Return whether a grant that arrives now was delayed by a freeze or a cut."""
        now = asyncio.get_running_loop().time()
        since_s = min(sent_s, now - THAW_SLACK_S)
        thawed_s = self.sender.thawed_s
        return self.sender.is_frozen or thawed_s >= since_s or self.cut_s >= since_s

    def _take(self, slices, token, until_s, is_excused, stalled):
        now = asyncio.get_running_loop().time()
        description = (
            f"{self.name} grant {slices[0] * SLICE_WIDTH}"
            f"-{slices[-1] * SLICE_WIDTH + SLICE_WIDTH - 1} "
            f"{describe_token(token)} until {until_s:.3f}"
            + (" late" if stalled else "")
            + (" excused" if is_excused else "")
        )
        if not self.is_up or until_s <= now:
            return 503
        if any(self.seen.get(slice_index, 0) > token for slice_index in slices):
            self._checker.record_event(f"{description}: 409")
            return 409
        self._checker.record_event(description)
        for slice_index in slices:
            self.seen[slice_index] = token
            hold = self.holds.get(slice_index)
            held = hold is not None and now < hold.until_s
            renews = held and hold.token == token
            if not is_excused:
                self._checker.check_grant(self, slice_index, token, renews=renews)
            self.holds[slice_index] = _Hold(
                token=token,
                since_s=hold.since_s if held else now,
                until_s=max(until_s, hold.until_s) if renews else until_s,
                expires_s=max(until_s, hold.expires_s) if renews else until_s,
                is_excused=is_excused and not (renews and not hold.is_excused),
            )
        self._wake()
        return 200

    async def _release(self, slices, document):
        now = asyncio.get_running_loop().time()
        first, last = document["From"], document["To"]
        token = describe_token(document["fence"])
        self._checker.record_event(f"{self.name} release {first}-{last} {token}")
        for slice_index in slices:
            hold = self.holds.get(slice_index)
            if hold is not None:
                hold.until_s = min(hold.until_s, now)
        self._wake()
        while self.is_up and any(self.work.get(slice_index) for slice_index in slices):
            await self._changed.wait()
        return ((b"papayatack-handover", f"{first}-{last}".encode()),)

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def run(self, key, duration_s):
        """Process a request; return whether it was started.

        The request continues even if its caller is cancelled.
        """
        loop = asyncio.get_running_loop()
        task = self.context.run(
            loop.create_task, self._run(key, duration_s), context=self.context
        )
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)
        return await asyncio.shield(task)

    async def _run(self, key, duration_s):
        await asyncio.sleep(self.draw_arrival_s())
        loop = asyncio.get_running_loop()
        slice_index = key // SLICE_WIDTH
        hold = self.holds.get(slice_index)
        if not self.is_up or self.is_partitioned:
            return False
        if hold is None or loop.time() >= hold.until_s:
            return False
        self.work[slice_index] = self.work.get(slice_index, 0) + 1
        self._checker.check_exclusivity(self, slice_index)
        end_s = loop.time() + duration_s
        while self.is_up and loop.time() < end_s:
            hold = self.holds[slice_index]
            if loop.time() >= hold.expires_s:
                break
            until_s = min(end_s, hold.expires_s)
            await asyncio.sleep(max(0.001, min(0.05, until_s - loop.time())))
        self.work[slice_index] -= 1
        self._wake()
        return True


def _read_s(duration):
    return float(duration.removesuffix("ms")) / 1000


class RangePool:
    """Fake connection pool of a node to a process of its upstream.

    Attributes:
        is_identified: Whether it leads to this process only.
    """

    is_identified = True

    def __init__(self, *, process):
        self.process = process
        self.address = self.name = process.name
        self.on_unreachable = None

    @property
    def has_open(self):
        """Whether a connection is open."""
        return self.process.is_up

    async def reserve(self, *, deadline_s):
        """Return a connection."""
        if self.process.is_up:
            return Success(_Connection(self.process))
        return Failure(Refusal(kind=ErrorKind.UPSTREAM_UNREACHABLE))

    def return_connection(self, connection):
        """Return a connection to the pool."""

    def retire(self):
        """Stop opening connections."""


class _Connection:
    def __init__(self, process):
        self._process = process

    async def exchange(self, request, *, deadline_s, matches_request):
        """Send a call, which the upstream processes even if its caller is cancelled."""
        loop = asyncio.get_running_loop()
        document = json.loads(await request.body.read())
        answered = loop.create_future()
        latency_s = self._process.draw_arrival_s()
        call = self._call(request.target, document, loop.time(), latency_s, answered)
        context = self._process.context
        task = context.run(loop.create_task, call, context=context)
        self._process.calls.add(task)
        task.add_done_callback(self._process.calls.discard)
        try:
            async with asyncio.timeout_at(deadline_s):
                response = await asyncio.shield(answered)
        except TimeoutError:
            return Failure(Refusal(kind=ErrorKind.DEADLINE_EXPIRED))
        if response is None:
            return Failure(Refusal(kind=ErrorKind.UPSTREAM_LOST))
        return Success(response)

    async def _call(self, target, document, sent_s, latency_s, answered):
        response = await self._process.call(target, document, sent_s, latency_s)
        if not answered.done():
            answered.set_result(response)
