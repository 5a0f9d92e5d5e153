"""Plays requests of a service without keys at upstreams that differ in speed.

Nothing is sent: senders choose nodes, the nodes admit to their upstreams, and events
pass in virtual time. The same draws can be played with other choices.
"""

import bisect
import dataclasses
import heapq
import itertools
import random

from papayatack.core.admission import AdmissionController, AdmissionLimits
from papayatack.core.admission.entry import Admitted
from papayatack.core.admission.room import RoomMeter
from papayatack.core.health import HealthTracker
from papayatack.core.inventory import RequestClass
from papayatack.core.load_balancer import LoadBalancer
from papayatack.core.reported_load import ReportedLoad, UpstreamReports

WARM_UP_S = 4.0
"""Time from which on requests count: sixty senders have heard of sixty upstreams."""

DEADLINE_S = 1e6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """What is played.

    Attributes:
        upstreams: Number of upstreams.
        slots: Slots of each.
        speeds: Lowest and highest speed; they are spread evenly.
        load: Requests that arrive, as a share of those that the slots can run.
        work_s: Time that most requests take at speed 1.
        tail_share: Share of requests that take ``tail_factor`` times as long.
        tail_factor: See ``tail_share``.
        slow_factor: How much slower one upstream is at a time.
        slow_s: For how long it is slower.
        slow_every_s: Time between the starts of two such periods.
        senders: Nodes that choose independently.
        news_age_s: Time that news of the load takes to a sender.
        target_s: Time within which a response is in time.
        duration_s: Time during which requests arrive.
        seed: Seed of the draws.
    """

    upstreams: int = 4
    slots: int = 8
    speeds: tuple[float, float] = (0.6, 1.6)
    load: float = 0.8
    work_s: float = 0.2
    tail_share: float = 0.03
    tail_factor: float = 7.0
    slow_factor: float = 3.0
    slow_s: float = 0.4
    slow_every_s: float = 2.0
    senders: int = 4
    news_age_s: float = 0.0
    target_s: float = 0.5
    duration_s: float = 24.0
    seed: int = 1


@dataclasses.dataclass(slots=True, kw_only=True)
class _Job:
    """One request."""

    arrived_s: float
    work_s: float
    sender: int
    node: int = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """What the callers got.

    Attributes:
        times_s: Time from each request to its response, sorted.
        target_s: The target of the plan.
        shares: Share of the requests by upstream.
    """

    times_s: list[float]
    target_s: float
    shares: list[float]

    @property
    def in_time(self) -> float:
        """Share of the requests that were answered within the target."""
        return bisect.bisect_right(self.times_s, self.target_s) / len(self.times_s)

    def find_percentile_s(self, percent: float) -> float:
        """Return a percentile of the time to the response, in seconds."""
        return self.times_s[int(len(self.times_s) * percent / 100)]


class Draws:
    """Speeds, slow periods and requests of a plan."""

    def __init__(self, plan: Plan) -> None:
        rng = random.Random(plan.seed)
        low, high = plan.speeds
        steps = max(1, plan.upstreams - 1)
        self.speeds = [
            low + (high - low) * index / steps for index in range(plan.upstreams)
        ]
        mean_s = plan.work_s * (1 + plan.tail_share * (plan.tail_factor - 1))
        rate = plan.load * plan.slots * sum(self.speeds) / mean_s
        self.jobs = []
        now = 0.0
        while now < plan.duration_s:
            now += rng.expovariate(rate)
            is_tail = rng.random() < plan.tail_share
            work_s = plan.work_s * rng.uniform(0.8, 1.2)
            self.jobs.append(
                (
                    now,
                    work_s * (plan.tail_factor if is_tail else 1.0),
                    rng.randrange(plan.senders),
                )
            )
        self.slow = []
        if plan.slow_factor != 1.0:
            periods = int(plan.duration_s / plan.slow_every_s)
            self.slow = [rng.randrange(plan.upstreams) for _ in range(periods)]
        self._plan = plan

    def find_pace(self, now: float, node: int) -> float:
        """Return how long work takes at an upstream, relative to usual."""
        period = int(now / self._plan.slow_every_s)
        is_slow = (
            period < len(self.slow)
            and self.slow[period] == node
            and now - period * self._plan.slow_every_s < self._plan.slow_s
        )
        return self._plan.slow_factor if is_slow else 1.0


class _Upstream:
    """An upstream with the admission before it."""

    def __init__(self, plan: Plan) -> None:
        self.admission = AdmissionController(
            now=0.0,
            limits=AdmissionLimits(
                slots=plan.slots, connections=1000, queue_per_slot=10_000, ramp_s=0.0
            ),
            rng=random.Random(1),
        )
        self.room = RoomMeter()
        self.reported = UpstreamReports()
        self.jobs = {}


class Play:
    """Plays a plan with the choice of :class:`LoadBalancer`.

    Args:
        plan: What is played.
        tells: Whether the upstreams report, and the nodes tell, their load.
    """

    def __init__(self, plan: Plan, *, tells: bool) -> None:
        self._plan = plan
        self._tells = tells
        self._draws = Draws(plan)
        self._nodes = list(range(plan.upstreams))
        self._upstreams = [_Upstream(plan) for _ in self._nodes]
        self._health = HealthTracker(
            nodes=self._nodes, max_ejected_share=0.0, rng=random.Random(2)
        )
        self._balancers = [
            LoadBalancer(rng=random.Random(plan.seed * 1000 + sender))
            for sender in range(plan.senders)
        ]
        self._events = []
        self._numbers = itertools.count()
        self._times_s = []
        self._counts = [0] * plan.upstreams

    def run(self) -> Result:
        """Play to the end of the last request."""
        for now, work_s, sender in self._draws.jobs:
            job = _Job(arrived_s=now, work_s=work_s, sender=sender)
            self._run_events(now)
            self._send(now, job)
        self._run_events(float("inf"))
        total = sum(self._counts)
        return Result(
            times_s=sorted(self._times_s),
            target_s=self._plan.target_s,
            shares=[count / total for count in self._counts],
        )

    def tell(self, now, sender, node, load, formed_s):
        """Pass news of the load of a node on to a sender."""
        self._balancers[sender].record_told_load(now, node, load, formed_s=formed_s)

    def _schedule(self, at_s, call, *arguments):
        heapq.heappush(self._events, (at_s, next(self._numbers), call, arguments))

    def _run_events(self, until_s):
        while self._events and self._events[0][0] <= until_s:
            at_s, _, call, arguments = heapq.heappop(self._events)
            call(at_s, *arguments)

    def _send(self, now, job):
        balancer = self._balancers[job.sender]
        if self._tells and job.sender < len(self._nodes):
            own = self._upstreams[job.sender]
            load = own.room.read(now, own.admission, pace=own.reported.pace.read(now))
            balancer.record_told_load(now, job.sender, load)
        job.node = balancer.choose(
            now, local_nodes=self._nodes, remote_nodes=(), health=self._health
        )
        balancer.start_request(job.node, now)
        if now >= WARM_UP_S:
            self._counts[job.node] += 1
        upstream = self._upstreams[job.node]
        upstream.admission.set_pace(upstream.reported.pace.read(now))
        entry = upstream.admission.offer(
            now,
            partner="",
            request_class=RequestClass.BROWSE,
            cost=1.0,
            deadline_s=DEADLINE_S,
        )
        upstream.jobs[entry] = job
        self._start_admitted(now, upstream)

    def _start_admitted(self, now, upstream):
        for decision in upstream.admission.poll(now):
            assert isinstance(decision, Admitted), decision
            job = upstream.jobs[decision.entry]
            upstream.room.start(decision.entry)
            speed = self._draws.speeds[job.node]
            service_s = job.work_s / speed * self._draws.find_pace(now, job.node)
            self._schedule(
                now + service_s, self._end, upstream, decision.entry, service_s
            )

    def _end(self, now, upstream, entry, service_s):
        job = upstream.jobs.pop(entry)
        if self._tells:
            pace = self._draws.find_pace(now, job.node)
            report = ReportedLoad(
                running=upstream.admission.in_use,
                waiting=0,
                slots=self._plan.slots,
                pace=pace,
            )
            upstream.reported.record(now, report)
        pace = upstream.reported.pace.read(now)
        upstream.admission.set_pace(pace)
        upstream.room.finish(entry, service_time_s=service_s, pace=pace)
        upstream.admission.release(now, entry, service_time_s=service_s)
        self._start_admitted(now, upstream)
        latency_s = now - job.arrived_s
        if job.arrived_s >= WARM_UP_S:
            self._times_s.append(latency_s)
        balancer = self._balancers[job.sender]
        balancer.finish_request(now, job.node, latency_s=latency_s, error=None)
        if self._tells:
            load = upstream.room.read(now, upstream.admission, pace=pace)
            self._schedule(
                now + self._plan.news_age_s, self.tell, job.sender, job.node, load, now
            )


def play_shared_queue(plan: Plan) -> Result:
    """Play a plan with one queue for all, and the fastest free slot for its head."""
    draws = Draws(plan)
    free = [plan.slots] * plan.upstreams
    ends = []
    queue = []
    times_s = []
    counts = [0] * plan.upstreams

    def start(now):
        head = 0
        while head < len(queue) and any(free):
            arrived_s, work_s = queue[head]
            head += 1
            service_s, node = min(
                (draws.find_pace(now, node) / draws.speeds[node], node)
                for node in range(plan.upstreams)
                if free[node]
            )
            free[node] -= 1
            counts[node] += 1
            heapq.heappush(ends, (now + work_s * service_s, node, arrived_s))
        del queue[:head]

    def finish_until(until_s):
        while ends and ends[0][0] <= until_s:
            now, node, arrived_s = heapq.heappop(ends)
            free[node] += 1
            if arrived_s >= WARM_UP_S:
                times_s.append(now - arrived_s)
            start(now)

    for now, work_s, _ in draws.jobs:
        finish_until(now)
        queue.append((now, work_s))
        start(now)
    finish_until(float("inf"))
    total = sum(counts)
    return Result(
        times_s=sorted(times_s),
        target_s=plan.target_s,
        shares=[count / total for count in counts],
    )
