"""Upstreams that hold ranges of keys as the platform's do, and a judge over them.

The judge keeps what each life of an upstream held of each unit, the smallest range
that is granted by itself, and notes what breaks the rules of exclusive ownership:

- A unit is taken with a token that is not above all with which others had it.
- Two upstreams hold a unit for over half a second, or both begin requests on it while
  both hold it.
- A unit is given to an upstream while another is at work on it, before that one's hold
  would have run out.

Grants that were under way while their sender was frozen or its link was cut, and for a
short while after, do not count.
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
"""Keys of a hot slice; every range that is granted consists of whole ones."""

MOST_DOUBLE_S = 0.5
THAW_SLACK_S = 0.3
CLOCK_RATE = 1.02
WAY_S = 0.004
LONGEST_STALL_S = 3.0


@dataclasses.dataclass
class _Hold:
    """What a life of an upstream has of a unit."""

    token: int
    since_s: float
    until_s: float
    would_end_s: float
    is_excused: bool


class OwnershipChecker:
    """Notes each rule that is broken.

    Attributes:
        violations: Time, rule and what was seen.
        history: Time and text of every grant, release and loss.
    """

    def __init__(self):
        self.violations = []
        self.history = []
        self.processes = []
        self._doubles = {}

    def record_event(self, text):
        """Add a line to the history."""
        self.history.append((asyncio.get_running_loop().time(), text))

    def find_process(self, name):
        """Return the life of a name."""
        return next(life for life in self.processes if life.name == name)

    def check_taken(self, life, unit, token, *, renews):
        """Judge a grant of a unit that a life is about to take in."""
        now = asyncio.get_running_loop().time()
        for other in self.processes:
            if other is life:
                continue
            hold = other.holds.get(unit)
            if hold is not None and hold.token >= token and not renews:
                same = other.sender is life.sender
                rule = "token of an earlier life" if same else "token"
                self._blame(rule, unit, life, token, other, hold)
            at_work = other.is_up and other.work.get(unit, 0)
            if hold is not None and at_work and now < hold.would_end_s:
                self._blame("at work", unit, life, token, other, hold)

    def check_exclusivity(self, begun=None, unit=None):
        """Look for units with two holders; one may just have begun a request."""
        now = asyncio.get_running_loop().time()
        holders = {}
        for life in self.processes:
            if not life.is_up:
                continue
            for number, hold in life.holds.items():
                if now < hold.until_s and not hold.is_excused:
                    holders.setdefault(number, []).append(life)
        doubles = {number: lives for number, lives in holders.items() if lives[1:]}
        for number in list(self._doubles):
            if number not in doubles:
                del self._doubles[number]
        for number, (life, other, *_) in doubles.items():
            since_s, beginners = self._doubles.setdefault(number, (now, set()))
            hold = other.holds[number]
            if now - since_s > MOST_DOUBLE_S:
                token = life.holds[number].token
                self._blame("held twice", number, life, token, other, hold)
            if begun is not None and unit == number:
                beginners.add(begun)
                if len(beginners) > 1:
                    token = life.holds[number].token
                    self._blame("begun twice", number, life, token, other, hold)

    def _blame(self, rule, unit, life, token, other, hold):
        now = asyncio.get_running_loop().time()
        text = (
            f"key {unit * SLICE_WIDTH}: {life.name} has {describe_token(token)}, "
            f"{other.name} had {describe_token(hold.token)}"
        )
        if (rule, text) not in [(known, seen) for _, known, seen in self.violations]:
            self.violations.append((now, rule, text))
            self.record_event(f"VIOLATION {rule}: {text}")


def describe_token(token):
    """Return a token's parts: since, position and life."""
    return f"{token >> 16}/{token >> 8 & 255}/{token & 255}"


class RangeUpstream:
    """One life of an upstream.

    Attributes:
        holds: What it holds or held, by unit.
        work: Requests that run, by unit.
        sender: The process that calls it; its freezes excuse grants.
        lose: Part of the answers that are lost.
        slow_s: Longest time after its arrival in which a call waits.
        stall: Part of the grants that are taken in late, without an answer.
        is_apart: The link from the sender is cut.
    """

    def __init__(self, *, name, sender, judge, random):
        self.name = name
        self.sender = sender
        self.is_up = True
        self.holds = {}
        self.seen = {}
        self.work = {}
        self.lose = 0.0
        self.stall = 0.0
        self.slow_s = 0.0
        self.is_apart = False
        self.cut_s = float("-inf")
        self.calls = set()
        self.context = contextvars.copy_context()
        self.context.run(PROCESS.set, name)
        self._judge = judge
        self._random = random
        self._changed = asyncio.Event()
        judge.processes.append(self)

    def crash(self):
        """End at once."""
        self.is_up = False
        self._judge.record_event(f"{self.name} ends")
        self._wake()

    def cut(self):
        """Cut the link from the sender."""
        self.is_apart = True

    def heal(self):
        """Restore the link."""
        self.is_apart = False
        self.cut_s = asyncio.get_running_loop().time()

    def draw_way_s(self):
        """Return how long a call takes on its way."""
        return WAY_S * (0.5 + self._random.random())

    async def call(self, target, document, sent_s, way_s):
        """Take a call in; return the response, ``None`` for none.

        The time of a grant counts from its arrival, also if this process is frozen.
        """
        loop = asyncio.get_running_loop()
        arrived_s = sent_s + way_s
        await asyncio.sleep(max(0.0, arrived_s - loop.time()))
        while self.is_apart:
            await asyncio.sleep(0.01)
            arrived_s = loop.time()
        await asyncio.sleep(self.slow_s * self._random.random())
        units = range(
            document["From"] // SLICE_WIDTH, document["To"] // SLICE_WIDTH + 1
        )
        if not self.is_up:
            return None
        if target == b"/grant":
            until_s = arrived_s + _read_s(document["Hold"]) * CLOCK_RATE
            is_excused = self._is_excused(sent_s)
            stalled = self._random.random() < self.stall
            if stalled:
                await asyncio.sleep(self._random.random() * LONGEST_STALL_S)
            status = self._take(units, document["fence"], until_s, is_excused, stalled)
            if stalled:
                return None
            headers = ()
        else:
            status, headers = 200, await self._release(units, document)
        if self._random.random() < self.lose:
            return None
        await asyncio.sleep(self.draw_way_s())
        return Response(
            status=status,
            headers=(*headers, (b"content-length", b"0")),
            body=BytesBody(data=b""),
        )

    def _is_excused(self, sent_s):
        """Tell whether a grant that arrives now was held up."""
        now = asyncio.get_running_loop().time()
        since_s = min(sent_s, now - THAW_SLACK_S)
        thawed_s = self.sender.thawed_s
        return self.sender.is_frozen or thawed_s >= since_s or self.cut_s >= since_s

    def _take(self, units, token, until_s, is_excused, stalled):
        now = asyncio.get_running_loop().time()
        what = (
            f"{self.name} grant {units[0] * SLICE_WIDTH}"
            f"-{units[-1] * SLICE_WIDTH + SLICE_WIDTH - 1} "
            f"{describe_token(token)} until {until_s:.3f}"
            + (" late" if stalled else "")
            + (" excused" if is_excused else "")
        )
        if not self.is_up or until_s <= now:
            return 503
        if any(self.seen.get(unit, 0) > token for unit in units):
            self._judge.record_event(f"{what}: 409")
            return 409
        self._judge.record_event(what)
        for unit in units:
            self.seen[unit] = token
            hold = self.holds.get(unit)
            held = hold is not None and now < hold.until_s
            renews = held and hold.token == token
            if not is_excused:
                self._judge.check_taken(self, unit, token, renews=renews)
            self.holds[unit] = _Hold(
                token=token,
                since_s=hold.since_s if held else now,
                until_s=max(until_s, hold.until_s) if renews else until_s,
                would_end_s=max(until_s, hold.would_end_s) if renews else until_s,
                is_excused=is_excused and not (renews and not hold.is_excused),
            )
        self._wake()
        return 200

    async def _release(self, units, document):
        now = asyncio.get_running_loop().time()
        first, last = document["From"], document["To"]
        token = describe_token(document["fence"])
        self._judge.record_event(f"{self.name} release {first}-{last} {token}")
        for unit in units:
            hold = self.holds.get(unit)
            if hold is not None:
                hold.until_s = min(hold.until_s, now)
        self._wake()
        while self.is_up and any(self.work.get(unit) for unit in units):
            await self._changed.wait()
        return ((b"papayatack-handover", f"{first}-{last}".encode()),)

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def run(self, key, duration_s):
        """Run a request; return whether it was begun here.

        It goes on without the caller.
        """
        loop = asyncio.get_running_loop()
        task = self.context.run(
            loop.create_task, self._run(key, duration_s), context=self.context
        )
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)
        return await asyncio.shield(task)

    async def _run(self, key, duration_s):
        await asyncio.sleep(self.draw_way_s())
        loop = asyncio.get_running_loop()
        unit = key // SLICE_WIDTH
        hold = self.holds.get(unit)
        if not self.is_up or self.is_apart:
            return False
        if hold is None or loop.time() >= hold.until_s:
            return False
        self.work[unit] = self.work.get(unit, 0) + 1
        self._judge.check_exclusivity(self, unit)
        end_s = loop.time() + duration_s
        while self.is_up and loop.time() < end_s:
            hold = self.holds[unit]
            if loop.time() >= hold.would_end_s:
                break
            until_s = min(end_s, hold.would_end_s)
            await asyncio.sleep(max(0.001, min(0.05, until_s - loop.time())))
        self.work[unit] -= 1
        self._wake()
        return True


def _read_s(duration):
    return float(duration.removesuffix("ms")) / 1000


class RangePool:
    """Stands for the connections of one node to a life of its upstream."""

    def __init__(self, *, life):
        self.life = life
        self.address = life.name
        self.on_unreachable = None

    async def reserve(self, *, deadline_s):
        """Return a connection."""
        if self.life.is_up:
            return Success(_Connection(self.life))
        return Failure(Refusal(kind=ErrorKind.UPSTREAM_UNREACHABLE))

    def return_connection(self, connection):
        """Take a connection back."""

    def retire(self):
        """Open no more."""


class _Connection:
    def __init__(self, life):
        self._life = life

    async def exchange(self, request, *, deadline_s):
        """Send a call to the upstream, which goes on with it without the caller."""
        loop = asyncio.get_running_loop()
        document = json.loads(await request.body.read())
        answered = loop.create_future()
        way_s = self._life.draw_way_s()
        call = self._call(request.target, document, loop.time(), way_s, answered)
        context = self._life.context
        task = context.run(loop.create_task, call, context=context)
        self._life.calls.add(task)
        task.add_done_callback(self._life.calls.discard)
        try:
            async with asyncio.timeout_at(deadline_s):
                response = await asyncio.shield(answered)
        except TimeoutError:
            return Failure(Refusal(kind=ErrorKind.DEADLINE_EXPIRED))
        if response is None:
            return Failure(Refusal(kind=ErrorKind.UPSTREAM_LOST))
        return Success(response)

    async def _call(self, target, document, sent_s, way_s, answered):
        response = await self._life.call(target, document, sent_s, way_s)
        if not answered.done():
            answered.set_result(response)
