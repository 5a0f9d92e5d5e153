"""Fleets whose nodes are stopped one after the other while the log is away.

:func:`play_outage` plays one variant on a :class:`OutageFleet`
and returns what was seen each second and which goals were missed. The upstreams go on
all the time unless the variant lets some leave.

To print what one play gives, name the variant, the seed and the number of nodes; with
the id of a shard, its records and those of the leases in its chains are printed too::

    PYTHONHASHSEED=0 python -m tests.fakes.outages stops 1 12 [desk/keys/0-7]

Without a variant, the goals that each variant misses are printed for some seeds::

    PYTHONHASHSEED=0 python -m tests.fakes.outages all 1 5
"""

import asyncio
import collections
import contextvars
import dataclasses
import logging
import random
import sys

import tabulate
from returns.pipeline import is_successful

from papayatack.core.inventory import Configuration, KeyRange, Place, Service
from papayatack.core.ownership import OwnershipState, apply_record
from papayatack.core.records import OWNERSHIP_STREAM, Assign
from papayatack.platform.environment import PLACEMENT_LIMITS
from papayatack.wire.records import decode_record
from standins.logstore import Outage
from tests.fakes.clocks import PROCESS, FreezableLoop
from tests.fakes.platformfleet import LOG_DELAY_S, SERVICE, PlatformFleet

__all__ = ["VARIANTS", "OutagePlay", "Variant", "play_outage", "print_play"]

PLACES = ("east", "west", "south")
SHARDS = 512
SLICE_WIDTH = 8
SLOTS = 8
LEASE_S = 3.0
KEYED_SHARE = 0.75
"""Share of the nodes whose upstreams have keys; the others are witnesses only."""

SETTLE_S = 14.0
"""Time before the log goes away, in which the planner spreads the keys."""

WATCHED_S = 14.0
"""Time for which the fleet is watched after the log, or all nodes, are back."""

FIRST_STOP_S = 1.0
"""Time from the loss of the log until the first node is stopped."""

RESTART_S = 4.0
"""Time from a stop of a node until its next process starts."""

LEAVING_S = 2.0
"""Time for which an upstream that leaves still serves."""

LOAD_RETRY_S = 0.1
SAMPLE_S = 0.1
MEAN_WORK_S = 0.1
UTILISATION = 0.5
"""Share of all slots that the requests need if they are served."""

MAX_REQUESTS_PER_S = 400.0

SETTLED_S = 2.0
"""Time after the return of the log, or of the nodes, from which the goals hold."""

MAX_SHARE_FACTOR = 2.0
"""Largest share of the keys, relative to the share of the slots of live upstreams."""

RETAKE_S = 2.0
"""Time within which a shard is taken once only, unless its holder is lost."""

MAX_HANDOVER_S = 0.5
"""Longest time without an owner of a shard that moves: its last requests finish."""

MAX_IDLE_S = 3.0
"""Longest time for which an upstream has no keys beside keys without an owner."""

CONFIGURATION = Configuration(
    version=1,
    services=(
        Service(
            name=SERVICE,
            prefix="",
            key_ranges=(
                KeyRange(name="keys", shards=SHARDS, numbers=SHARDS * SLICE_WIDTH),
            ),
            slots=SLOTS,
            connections=100,
            deadline_s=3.0,
            places=PLACES,
        ),
        Service(
            name="pages",
            prefix="/pages",
            key_ranges=(),
            slots=SLOTS,
            connections=100,
            deadline_s=3.0,
            places=PLACES,
        ),
    ),
    places=tuple(Place(name=name, region="r") for name in PLACES),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Variant:
    """What happens from the moment at which the log goes away, in seconds from then.

    Attributes:
        away_s: Periods in which the log is away.
        slow_s: Time by which each call of the log is slowed down instead, 0 for none.
        stopped_share: Share of the nodes that are stopped and started again.
        gap_s: Time between two stops.
        stops_at_once: Number of nodes that are stopped at each of these moments.
        last_stop_s: Time of the last stop, ``None`` to count from the first.
        leaving_share: Share of the upstreams with keys that leave for good.
        killed_s: Time at which all nodes are killed, ``None`` for never.
        are_stops_final: Whether stopped nodes and their upstreams do not start again.
    """

    away_s: tuple[tuple[float, float], ...] = ((0.0, 8.0),)
    slow_s: float = 0.0
    stopped_share: float = 0.42
    gap_s: float = 0.6
    stops_at_once: int = 1
    last_stop_s: float | None = None
    leaving_share: float = 0.0
    killed_s: float | None = None
    are_stops_final: bool = False


KILLED_AWAY_S = 0.3
"""Time after which killed nodes are back."""

VARIANTS = {
    "no stops": Variant(stopped_share=0.0),
    "stops": Variant(),
    "stops and departures": Variant(leaving_share=0.34),
    "long outage": Variant(away_s=((0.0, 16.0),)),
    "slow log": Variant(away_s=((0.0, 8.0),), slow_s=0.8),
    "two stops at once": Variant(stops_at_once=2, gap_s=1.2),
    "back during a stop": Variant(last_stop_s=7.7),
    "back and away again": Variant(away_s=((0.0, 5.0), (6.0, 10.0))),
    "all killed": Variant(killed_s=14.0, leaving_share=0.34),
    "stopped for good": Variant(killed_s=12.0, are_stops_final=True),
}
"""What happens, by the name of the variant."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Second:
    """What was seen in one second.

    Attributes:
        holders: Nodes that serve keys, at its end.
        share: Largest share of the keys.
        factor: That share relative to the node's share of the slots.
        shards: Number of shards that each node serves, at its end.
        unowned: Shards that no node serves.
        idle: Live upstreams without keys whose nodes are members.
        counts: Number of events by name.
    """

    holders: int = 0
    share: float = 0.0
    factor: float = 0.0
    shards: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    unowned: int = 0
    idle: int = 0
    counts: collections.Counter = dataclasses.field(default_factory=collections.Counter)


@dataclasses.dataclass(slots=True, kw_only=True)
class OutagePlay:
    """What one play gave; all times are seconds from the loss of the log.

    Attributes:
        seconds: What was seen, by second.
        missed: Missed goals: time, name of the goal, and what was seen.
        events: Time, node, name and fields of the events of the nodes.
        actions: Time and description of what the schedule did.
        payloads: Time and payload of each ownership record.
    """

    seconds: dict[int, Second] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(Second)
    )
    missed: list = dataclasses.field(default_factory=list)
    events: list = dataclasses.field(default_factory=list)
    actions: list = dataclasses.field(default_factory=list)
    payloads: list = dataclasses.field(default_factory=list)
    violations: list = dataclasses.field(default_factory=list)

    def list_goals(self):
        """Return the number of misses and the worst one of each goal."""
        found = {}
        for _, goal, worst, text in self.missed:
            count, known, seen = found.get(goal, (0, -1.0, ""))
            found[goal] = (count + 1, *max((known, seen), (worst, text)))
        return found


class _EventRecorder(logging.Handler):
    """Keeps the events of all nodes."""

    def __init__(self, play, begun_s):
        super().__init__(logging.INFO)
        self._play = play
        self._begun_s = begun_s

    def emit(self, record):
        """Keep an event with the node that logged it."""
        now = asyncio.get_running_loop().time() - self._begun_s
        fields = dict(vars(record))
        self._play.events.append((now, PROCESS.get(), record.getMessage(), fields))


class OutageFleet(PlatformFleet):
    """A fleet with one keyed load, in which nodes start only if they reach the log."""

    def __init__(self, *, seed, nodes, lease_s=LEASE_S):
        super().__init__(
            seed=seed,
            configuration=CONFIGURATION,
            placement=PLACEMENT_LIMITS,
            lease_s=lease_s,
        )
        self.busy = collections.Counter()
        self.leaving = set()
        self.ended = set()
        self.outcomes = collections.Counter()
        keyed = max(3, round(nodes * KEYED_SHARE))
        for number in range(nodes):
            service = SERVICE if number < keyed else "pages"
            self.add(f"n{number}", PLACES[number % len(PLACES)], service)

    @property
    def keyed(self):
        """The machines whose upstreams have keys and stay."""
        return [
            slot
            for slot in self.slots.values()
            if slot.service == SERVICE
            and slot.life is not None
            and slot.name not in self.leaving
        ]

    async def wait_loadable(self, slot):
        """Wait until the log answers a node that starts."""
        while self.store.faults.outage is not Outage.NONE:
            await asyncio.sleep(LOAD_RETRY_S)

    async def send_requests(self, slot, control, tasks):
        """Send none: :meth:`send_load` sends those of all nodes."""

    async def send_load(self):
        """Send requests for random keys, each to some node, until cancelled."""
        rate = UTILISATION * SLOTS * len(self.keyed) / MEAN_WORK_S
        rate = min(rate, MAX_REQUESTS_PER_S)
        running = set()
        while True:
            await asyncio.sleep(self.random.expovariate(rate))
            key = self.random.randrange(SHARDS * SLICE_WIDTH)
            task = asyncio.create_task(self._send(str(key)))
            running.add(task)
            task.add_done_callback(running.discard)

    async def _send(self, key):
        entries = [slot for slot in self.slots.values() if slot.control is not None]
        if not entries:
            self.outcomes["lost"] += 1
            return
        slot = self.random.choice(entries)
        route = slot.control.ownership.locate(SERVICE, key)
        if is_successful(route) and not route.unwrap().local:
            slot = self.slots[route.unwrap().address]
            if slot.control is None:
                self.outcomes["lost"] += 1
                return
            route = slot.control.ownership.locate(SERVICE, key)
        if not is_successful(route) or not route.unwrap().local:
            self.outcomes["no owner"] += 1
            return
        control, life = slot.control, slot.life
        if self.busy[slot.name] >= SLOTS:
            self.outcomes["full"] += 1
            return
        granted = control.ownership.authorize(route.unwrap().shard)
        if not is_successful(granted) or life is None:
            if is_successful(granted):
                control.ownership.finish(granted.unwrap(), service_time_s=None)
            self.outcomes["no owner"] += 1
            return
        grant = granted.unwrap()
        duration_s = MEAN_WORK_S * (0.5 + self.random.random())
        self.busy[slot.name] += 1
        begun = await life.run(int(key), duration_s)
        self.busy[slot.name] -= 1
        control.ownership.finish(grant, service_time_s=duration_s)
        if begun:
            self.outcomes["served"] += 1
        else:
            self.outcomes["not held"] += 1
            control.ownership.renew_grant(grant)

    def list_serving(self):
        """Return the node that serves each shard, by its id."""
        now = asyncio.get_running_loop().time()
        serving = {}
        for slot in self.slots.values():
            if slot.control is None:
                continue
            for shard, owned in slot.control.core.context.owned_shards.owned.items():
                if owned.confirmed_token and owned.holder.is_live(now):
                    serving[shard] = slot.name
        return serving


class _Observer:
    """Compares what the fleet does with the goals."""

    def __init__(self, *, fleet, play, begun_s, variant):
        self._fleet = fleet
        self._play = play
        self._begun_s = begun_s
        self._variant = variant
        self._served_s = {}
        self._idle_since_s = {}
        self._reported = set()
        self._logged = OwnershipState()

    def _has_settled(self, now):
        """Tell whether the log, and killed nodes, have been back for long enough."""
        variant = self._variant
        last_away_s = max(end for _, end in variant.away_s)
        if now <= last_away_s + SETTLED_S:
            return False
        killed_s = variant.killed_s
        if killed_s is None or now < killed_s:
            return True
        return now > killed_s + KILLED_AWAY_S + SETTLED_S

    async def watch(self):
        """Look at the fleet until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._sample(loop.time() - self._begun_s)
            self._fleet.checker.check_exclusivity()
            await asyncio.sleep(SAMPLE_S)

    def _sample(self, now):
        fleet = self._fleet
        serving = fleet.list_serving()
        shards = [shard for shard in serving if "=" not in shard]
        live = fleet.keyed
        counts = collections.Counter(serving[shard] for shard in shards)
        second = self._play.seconds[int(now // 1)]
        second.holders = len(counts)
        second.shards = counts
        second.counts.update(fleet.outcomes)
        fleet.outcomes.clear()
        name, most = max(counts.items(), key=lambda item: item[1], default=("", 0))
        second.share = max(second.share, most / SHARDS)
        factor = most / SHARDS * max(1, len(live))
        second.factor = max(second.factor, factor)
        second.unowned = max(second.unowned, SHARDS - len(shards))
        if self._has_settled(now) and factor > MAX_SHARE_FACTOR:
            self._miss(now, "spread", factor, f"{name} has {most} shards")
        self._look_unowned(now, set(shards))
        self._look_gone(now)
        second.idle = max(second.idle, self._look_idle(now, counts, live, len(shards)))

    def _look_unowned(self, now, serving):
        for shard in serving:
            self._served_s[shard] = now
        away = [
            shard
            for shard, seen_s in self._served_s.items()
            if now - seen_s > MAX_HANDOVER_S
        ]
        if self._has_settled(now) and away:
            self._miss(now, "owner", len(away), f"{len(away)} shards, e.g. {away[0]}")

    def _look_gone(self, now):
        """Look for members in the log that have been stopped for good."""
        records = self._fleet.store.get_stream(OWNERSHIP_STREAM).records
        for offset in range(self._logged.next_offset, len(records)):
            record = decode_record(OWNERSHIP_STREAM, records[offset][1]).value_or(None)
            apply_record(self._logged, offset, record)
        last_away_s = max(end for _, end in self._variant.away_s)
        members = {
            member.incarnation
            for member in self._logged.list_live_members()
            if member.address in self._fleet.ended
        }
        if now > last_away_s + SETTLED_S and members:
            self._miss(now, "gone", len(members), f"members {sorted(members)}")

    def _look_idle(self, now, counts, live, served):
        idle = {
            slot.name
            for slot in live
            if slot.control is not None
            and not slot.control.is_leaving
            and self._is_member(slot)
            and not counts[slot.name]
        }
        variant = self._variant
        is_away = any(begin <= now < end for begin, end in variant.away_s)
        away = is_away and not variant.slow_s
        beside = idle if away and served < SHARDS else set()
        self._idle_since_s = {
            name: self._idle_since_s.get(name, now) for name in sorted(beside)
        }
        for name, since_s in self._idle_since_s.items():
            if now - since_s > MAX_IDLE_S:
                self._miss(
                    now, "idle", now - since_s, f"{name} for {now - since_s:.1f}"
                )
        return len(idle)

    def _is_member(self, slot):
        core = slot.control.core
        member = core.state.members.get(core.incarnation)
        return member is not None and member.ended is None

    def _miss(self, now, goal, worst, text):
        """Note a missed goal, once a second."""
        if (goal, int(now // 1)) not in self._reported:
            self._reported.add((goal, int(now // 1)))
            self._play.missed.append((now, goal, worst, text))


class _Schedule:
    """Carries a variant out."""

    def __init__(self, *, fleet, play, variant, seed, begun_s):
        self._fleet = fleet
        self._play = play
        self._variant = variant
        self._random = random.Random(f"outage {seed}")
        self._begun_s = begun_s
        self._losses = collections.defaultdict(list)

    @property
    def losses(self):
        """Times at which each node, or its upstream, was told to end."""
        return self._losses

    def plan(self):
        """Set the timers of all actions."""
        variant, fleet = self._variant, self._fleet
        for begin_s, end_s in variant.away_s:
            self._at(begin_s, self._take_log)
            self._at(end_s, self._return_log)
        names = sorted(fleet.slots)
        self._random.shuffle(names)
        count = round(variant.stopped_share * len(names))
        moments = -(-count // variant.stops_at_once)
        first_s = FIRST_STOP_S
        if variant.last_stop_s is not None:
            first_s = variant.last_stop_s - (moments - 1) * variant.gap_s
        for number, name in enumerate(names[:count]):
            stop_s = first_s + number // variant.stops_at_once * variant.gap_s
            self._at(stop_s, self._stop, name)
            later = self._end if variant.are_stops_final else self._restart
            self._at(stop_s + RESTART_S, later, name)
        staying = [
            name for name in names[count:] if fleet.slots[name].service == SERVICE
        ]
        keyed = sum(slot.service == SERVICE for slot in fleet.slots.values())
        for number, name in enumerate(staying[: round(variant.leaving_share * keyed)]):
            self._at(0.8 + 0.4 * number, self._leave, name)
            self._at(0.8 + 0.4 * number + LEAVING_S, self._end_upstream, name)
        if variant.killed_s is not None:
            self._at(variant.killed_s, self._kill_all)

    def _at(self, delay_s, action, *args):
        loop = asyncio.get_running_loop()
        loop.call_at(self._begun_s + delay_s, action, *args)

    def _note(self, text):
        now = asyncio.get_running_loop().time() - self._begun_s
        self._play.actions.append((now, text))
        return now

    def _take_log(self):
        faults = self._fleet.store.faults
        if self._variant.slow_s:
            faults.delay_s = self._variant.slow_s
            self._note("the log is slow")
            return
        faults.outage = self._random.choice([Outage.HANG, Outage.REFUSE])
        self._note(f"the log is away ({faults.outage.value})")

    def _return_log(self):
        faults = self._fleet.store.faults
        faults.outage = Outage.NONE
        faults.delay_s = LOG_DELAY_S
        self._note("the log is back")

    def _stop(self, name):
        slot = self._fleet.slots[name]
        if slot.control is not None:
            self._losses[name].append(self._note(f"{name} is stopped"))
            context = contextvars.copy_context()
            context.run(PROCESS.set, name)
            context.run(slot.control.start_departure)

    def _end(self, name):
        self._note(f"{name} and its upstream end")
        self._fleet.ended.add(name)
        self._fleet.leaving.add(name)
        self._fleet.kill(name)
        self._fleet.end_upstream(name)

    def _restart(self, name):
        self._note(f"{name} starts again")
        self._fleet.kill(name)
        self._fleet.start(name)

    def _leave(self, name):
        self._fleet.leaving.add(name)
        self._losses[name].append(self._note(f"the upstream of {name} leaves"))
        self._fleet.tell_upstream_leaves(name)

    def _end_upstream(self, name):
        self._fleet.end_upstream(name)
        self._fleet.tell_upstream_gone(name)

    def _kill_all(self):
        now = self._note("all nodes are killed")
        names = [name for name in self._fleet.slots if name not in self._fleet.ended]
        for name in names:
            self._losses[name].append(now)
            self._fleet.kill(name)
        loop = asyncio.get_running_loop()
        for name in names:
            delay_s = KILLED_AWAY_S * self._random.random()
            loop.call_later(delay_s, self._fleet.start, name)


async def _play(play, variant, seed, nodes):
    loop = asyncio.get_running_loop()
    begun_s = loop.time() + SETTLE_S
    fleet = OutageFleet(seed=seed, nodes=nodes)
    recorder = _EventRecorder(play, begun_s)
    logger = logging.getLogger("papayatack")
    level, propagate = logger.level, logger.propagate
    logger.addHandler(recorder)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    last_away_s = max(end for _, end in variant.away_s)
    back_s = max(last_away_s, (variant.killed_s or 0.0) + KILLED_AWAY_S)
    schedule = _Schedule(
        fleet=fleet, play=play, variant=variant, seed=seed, begun_s=begun_s
    )
    observer = _Observer(fleet=fleet, play=play, begun_s=begun_s, variant=variant)
    schedule.plan()
    tasks = [
        asyncio.create_task(observer.watch()),
        asyncio.create_task(fleet.send_load()),
    ]
    try:
        await asyncio.sleep(SETTLE_S + back_s + WATCHED_S)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()
        logger.removeHandler(recorder)
        logger.setLevel(level)
        logger.propagate = propagate
    records = fleet.store.get_stream(OWNERSHIP_STREAM).records
    play.payloads = [(time_s - begun_s, payload) for time_s, payload in records]
    play.violations = fleet.checker.violations
    _count_events(play, schedule.losses)


def _count_events(play, losses):
    """Count the events of each second, and find shards that are taken again."""
    last_taken = {}
    seen = set()
    for now, node, name, fields in play.events:
        counts = play.seconds[int(now // 1)].counts
        subject = fields.get("subject")
        if name == "SHARD_TAKEN":
            counts["taken"] += 1
            taken_s, holder = last_taken.get(subject, (float("-inf"), ""))
            is_lost = any(taken_s <= lost_s <= now for lost_s in losses[holder])
            if now >= 0 and now - taken_s < RETAKE_S and not is_lost:
                counts["again"] += 1
                text = f"{subject}: {holder} at {taken_s:.2f}, {node} at {now:.2f}"
                play.missed.append((now, "again", 1.0, text))
            last_taken[subject] = now, node
        elif name == "LEASE_LIVE":
            counts["live"] += 1
        elif name == "LEASE_FENCED" and (subject, fields["reason"]) not in seen:
            seen.add((subject, fields["reason"]))
            counts[fields["reason"]] += 1
    for time_s, payload in play.payloads:
        record = decode_record(OWNERSHIP_STREAM, payload).value_or(None)
        play.seconds[int(time_s // 1)].counts[type(record).__name__] += 1


def play_outage(name, seed, nodes=12):
    """Play a variant; return what was seen."""
    play = OutagePlay()
    with asyncio.Runner(loop_factory=FreezableLoop) as runner:
        runner.run(_play(play, VARIANTS[name], seed, nodes))
    return play


COLUMNS = (
    "taken",
    "again",
    "live",
    "own",
    "lapsed",
    "resigned",
    "served",
    "full",
    "no owner",
    "lost",
    "Admit",
    "Assign",
    "Fenced",
    "Retire",
    "Activate",
)
"""Counted events that :func:`print_play` prints, in order."""


def print_play(play, *, first_s=-2):
    """Print what was seen each second, the actions and the missed goals."""
    rows = [
        (
            number,
            second.holders,
            f"{second.share:.2f}",
            f"{second.factor:.2f}",
            second.unowned,
            second.idle,
            *(second.counts[name] or "" for name in COLUMNS),
        )
        for number, second in sorted(play.seconds.items())
        if number >= first_s
    ]
    headers = ("s", "holders", "share", "factor", "unowned", "idle", *COLUMNS)
    print(tabulate.tabulate(rows, headers=headers))
    for time_s, text in play.actions:
        print(f"{time_s:7.2f}  {text}")
    for goal, (count, worst, text) in sorted(play.list_goals().items()):
        print(f"missed {goal}: {count} times, worst {worst:.2f}: {text}")
    for violation in play.violations[:5]:
        print("violation", violation)


def print_shard(play, shard, *, first_s=-1.0):
    """Print the records and events of a shard and of the leases in its chains."""
    lines = []
    state = OwnershipState()
    for offset, (time_s, payload) in enumerate(play.payloads):
        record = decode_record(OWNERSHIP_STREAM, payload).value_or(None)
        before = state.shards.get(shard)
        named = before.list_chains() if before is not None else ()
        leases = {lease for chain in named for lease in chain.leases}
        change = apply_record(state, offset, record)
        entry = state.shards.get(shard)
        is_named = leases.intersection(change.leases)
        wanted = [
            part
            for part in getattr(record, "assignments", ())
            if isinstance(record, Assign) and part.shard == shard
        ]
        if entry is before and not is_named and not wanted:
            continue
        kind = type(record).__name__
        text = f"{offset} {kind} {record.record_id} effective={change.effective}"
        text += f" {change.reason}"
        if wanted:
            text += f" base {wanted[0].base_epoch}"
        if entry is not before:
            chain = [
                f"{lease.incarnation}/{lease.term}" for lease in entry.current.leases
            ]
            text += f" -> epoch {entry.current.epoch} {chain} active={entry.active}"
            text += f" previous={len(entry.previous)}"
        if is_named:
            ends = [f"{lease.incarnation}/{lease.term}" for lease in is_named]
            text += f" leases {ends}"
        lines.append((time_s, "log", text))
    names = {"SHARD_TAKEN", "SHARD_STOPPED"}
    for now, node, name, fields in play.events:
        if name in names and fields.get("subject") == shard:
            kept = {
                key: fields[key]
                for key in ("epoch", "since", "term", "position", "others", "drains")
                if key in fields
            }
            lines.append((now, node, f"{name} {kept}"))
        elif name in {"LEASE_LIVE", "LEASE_FENCED", "DEPARTURE_STAGE"}:
            text = f"{name} {fields.get('subject')} {fields.get('reason')}"
            lines.append((now, node, text))
    for time_s, text in play.actions:
        lines.append((time_s, "----", text))
    for time_s, place, text in sorted(lines, key=lambda line: line[0]):
        if time_s >= first_s:
            print(f"{time_s:7.3f} {place:5} {text}")


def _summarise(task):
    name, seed, nodes = task
    return play_outage(name, seed, nodes).list_goals()


def _main(name="all", first="1", last="3", *rest):
    if name != "all":
        play = play_outage(name, int(first), int(last))
        print_play(play)
        for shard in rest:
            print_shard(play, shard)
        return
    nodes = int(rest[0]) if rest else 12
    for variant in VARIANTS:
        for seed in range(int(first), int(last) + 1):
            found = _summarise((variant, seed, nodes))
            text = ", ".join(
                f"{goal} {count} ({worst:.2f})"
                for goal, (count, worst, _) in sorted(found.items())
            )
            print(f"{variant:22} {seed:4}  {text}", flush=True)


if __name__ == "__main__":
    _main(*sys.argv[1:])
