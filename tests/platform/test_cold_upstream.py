"""Tests of the load on upstreams that are cold, on virtual time.

The load is the same throughout: more requests than a cold upstream bears, and about as
many as a warm one serves. Upstreams count all that arrives, questions included.
"""

import asyncio
import bisect
import collections
import random
import unittest

import looptime
from returns.pipeline import is_successful
from returns.result import Success

from papayatack.core.admission import AdmissionController, AdmissionLimits, ColdBounds
from papayatack.core.errors import ErrorKind, Outcome, get_error_response
from papayatack.core.identity import IncarnationId, PeerAddress, ShardId
from papayatack.core.inventory import RequestClass
from papayatack.network.exchanges import PeerRequest, Request, Response
from papayatack.observability.metrics import Metrics
from papayatack.platform.fields import PlatformDialect
from papayatack.proxy.gate import AdmissionGate
from papayatack.proxy.interface import Route
from papayatack.proxy.local import LocalServer
from papayatack.proxy.node_selector import NodeSelector
from tests.proxy.fakes import FakeOwnership

SLOTS = 7
WORK_S = 0.095
COLD_WORK_RATIO = 3.0
COLD_S = 6.0
BOUNDS = ColdBounds(requests_per_s=6.0, start_s=COLD_S, overrun=1.5, slack=8.0)
MOST_IN_A_SECOND = 17
LINK_S = 0.002
RATES = (30.0, 70.0, 140.0)
"""Requests per second, from a moderate load to twice what a warm upstream serves."""

DEADLINE_S = 1.2
TARGET_S = 0.5
LONGEST_REFUSAL_S = TARGET_S + 0.05
MAX_ATTEMPTS = 3
HEARTBEAT_S = 1.0


class ColdUpstream:
    """A pool of connections to an upstream that may be cold.

    Attributes:
        arrivals_s: Times at which requests and questions arrived.
        ran: Ids of the requests that it ran.
        answers: Whether its health check answers.
    """

    def __init__(self):
        self.arrivals_s = []
        self.ran = []
        self.answers = True
        self.failed_ids = []
        self.is_reused = False
        self.is_leaving = False
        self.is_crashed = False
        self.cold = []

    def become_cold(self, duration_s=COLD_S):
        """Become cold for some time."""
        now = asyncio.get_running_loop().time()
        self.cold.append((now, now + duration_s))

    def find_remaining(self):
        """Return for how long it stays cold."""
        now = asyncio.get_running_loop().time()
        return max([0.0, *(end - now for start, end in self.cold)])

    async def reserve(self, *, deadline_s):
        """Return a connection."""
        return Success(self)

    def return_connection(self, connection):
        """Take a connection back."""

    async def exchange(self, request, *, deadline_s, matches_request):
        """Run a request."""
        await asyncio.sleep(LINK_S)
        self.arrivals_s.append(asyncio.get_running_loop().time())
        self.ran.append(request.target)
        work_s = WORK_S * (COLD_WORK_RATIO if self.find_remaining() else 1.0)
        await asyncio.sleep(work_s)
        signature = (b"papayatack-response-signature", b"1")
        return Success(Response(status=200, headers=(signature,)))

    async def check_health(self):
        """Return for how long it stays cold, ``None`` if there is no answer."""
        await asyncio.sleep(LINK_S)
        self.arrivals_s.append(asyncio.get_running_loop().time())
        remaining_s = self.find_remaining()
        await asyncio.sleep(LINK_S)
        return remaining_s if self.answers else None

    def find_most(self):
        """Return the most arrivals in any second in which it was cold throughout."""
        return max(
            (
                bisect.bisect_left(self.arrivals_s, min(at_s + 1.0, end))
                - bisect.bisect_left(self.arrivals_s, at_s)
                for start, end in self.cold
                for at_s in self.arrivals_s
                if start <= at_s < end
            ),
            default=0,
        )

    def count_arrivals(self, start_s, end_s):
        """Return the number of arrivals in a period."""
        return sum(start_s <= at_s < end_s for at_s in self.arrivals_s)


class BesideNode:
    """What a node does for its upstream: admission, forwarding, questions."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.metrics = Metrics()
        self.start()

    def start(self):
        """Start without any memory, as after a kill."""
        loop = asyncio.get_running_loop()
        limits = AdmissionLimits(slots=SLOTS, ramp_s=0.0, cold=BOUNDS)
        admission = AdmissionController(now=loop.time(), limits=limits)
        self.gate = AdmissionGate(
            admission=admission, metrics=self.metrics, ejects_upstream=False
        )
        self.gate.configure(limits=limits, partners=())
        self.server = LocalServer(
            ownership=FakeOwnership(),
            gate=self.gate,
            metrics=self.metrics,
            upstream=self.upstream,
            dialect=PlatformDialect(),
        )
        self._wanted = asyncio.Event()
        self.gate.cold.on_question = self._wanted.set
        self._tasks = [
            loop.create_task(self._answer_questions()),
            loop.create_task(self._take_heartbeats()),
        ]
        self.gate.restart()

    def replace(self, pause_s):
        """Kill the node at once, and start another after a pause."""
        for task in self._tasks:
            task.cancel()
        asyncio.get_running_loop().call_later(pause_s, self.start)

    async def _answer_questions(self):
        cold = self.gate.cold
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            asked_s = cold.begin_question()
            if asked_s is None:
                continue
            remaining_s = await self.upstream.check_health()
            if remaining_s is None:
                await asyncio.sleep(0.3)
                cold.record_failure()
            else:
                cold.record_answer(asked_s, remaining_s)

    async def _take_heartbeats(self):
        """Take heartbeats that are a second old."""
        while True:
            remaining_s = self.upstream.find_remaining()
            await asyncio.sleep(HEARTBEAT_S)
            self.gate.cold.record_report(remaining_s)


class ColdTestCase(unittest.TestCase):
    """Load on some nodes.

    Attributes:
        results: Time, node, duration and result of each attempt.
        answered: Whether each caller got an answer, by the time of its request.
    """

    def run_scenario(self, scenario):
        """Run a scenario on virtual time."""
        self.results = []
        self.answered = {}

        async def run():
            await scenario()
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(run())

    async def send_load(self, nodes, rate, duration_s, *, seed=1):
        """Send requests at random times; each is tried at up to three nodes."""
        loop = asyncio.get_running_loop()
        rng = random.Random(seed)
        selector = NodeSelector(rng=rng)
        end_s = loop.time() + duration_s
        tasks = []
        while loop.time() < end_s:
            number = len(tasks)
            tasks.append(loop.create_task(self._call(nodes, selector, number)))
            await asyncio.sleep(rng.expovariate(rate))
        await asyncio.wait(tasks, timeout=DEADLINE_S)

    async def _call(self, nodes, selector, number):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        request = build_request(number)
        routes = tuple(build_route(index) for index in range(len(nodes)))
        tried = frozenset()
        self.answered[started_s] = False
        for _ in range(min(MAX_ATTEMPTS, len(nodes))):
            route = selector.choose(loop.time(), request, routes, tried).unwrap()
            tried |= {route.incarnation}
            attempt = selector.start_attempt(loop.time(), "s", route.incarnation)
            sent_s = loop.time()
            index = routes.index(route)
            deadline_s = started_s + DEADLINE_S
            result = await nodes[index].server.serve(request, deadline_s=deadline_s)
            self.results.append((sent_s, index, loop.time() - sent_s, result))
            if is_successful(result):
                attempt.finish(loop.time(), None)
                self.answered[started_s] = True
                return
            refusal = result.failure()
            attempt.finish(
                loop.time(), refusal.kind, retry_after_s=refusal.retry_after_s
            )

    def list_refusals(self, start_s=0.0, end_s=float("inf")):
        """Return duration and refusal of the attempts of a period that failed."""
        return [
            (duration_s, result.failure())
            for sent_s, _, duration_s, result in self.results
            if start_s <= sent_s < end_s and not is_successful(result)
        ]

    def find_share(self, start_s, end_s):
        """Return the share of the callers of a period that got an answer."""
        found = [got for at_s, got in self.answered.items() if start_s <= at_s < end_s]
        return sum(found) / len(found)

    def check_bound(self, *upstreams):
        """Fail if a cold upstream got more in a second than it bears."""
        for upstream in upstreams:
            self.assertGreater(upstream.find_most(), 0)
            self.assertLessEqual(upstream.find_most(), MOST_IN_A_SECOND)

    def check_refusals(self, start_s, end_s):
        """Fail unless refusals come in time, are true and say when to come again."""
        refusals = self.list_refusals(start_s, end_s)
        kinds = collections.Counter(refusal.kind for _, refusal in refusals)
        self.assertGreater(kinds[ErrorKind.UPSTREAM_COLD], 0)
        for duration_s, refusal in refusals:
            self.assertLessEqual(duration_s, LONGEST_REFUSAL_S)
            outcome = get_error_response(refusal.kind).outcome
            self.assertIs(outcome, Outcome.NOT_RUN)
            self.assertGreater(refusal.retry_after_s, 0.0)


class OneUpstreamTests(ColdTestCase):
    """One node, whose load has nowhere else to go."""

    def test_start_under_full_load(self):
        """The upstream gets what it bears while cold, and all afterwards."""
        for rate in RATES:

            async def scenario(rate=rate):
                self.upstream = ColdUpstream()
                self.upstream.become_cold()
                await self.send_load([BesideNode(self.upstream)], rate, 12.0)

            self.run_scenario(scenario)
            self.check_bound(self.upstream)
            self.check_refusals(0.0, 5.0)
            self.assertGreaterEqual(self.upstream.count_arrivals(1.3, 6.0), 4.5 * 6)
            warm = self.upstream.count_arrivals(8.0, 12.0) / 4.0
            self.assertGreaterEqual(warm, 0.9 * min(rate, SLOTS / (WORK_S + 0.002)))

    def test_cold_again_under_full_load(self):
        """The coldness begins at any moment and is told by the health check first."""
        for rate in RATES:
            for phase in range(4):
                begins_s = 8.0 + phase / 4

                async def scenario(rate=rate, begins_s=begins_s):
                    self.upstream = ColdUpstream()
                    loop = asyncio.get_running_loop()
                    loop.call_later(begins_s, self.upstream.become_cold)
                    await self.send_load([BesideNode(self.upstream)], rate, 18.0)

                self.run_scenario(scenario)
                self.check_bound(self.upstream)
                self.check_refusals(9.0, 13.0)
                served = min(1.0, SLOTS / WORK_S / rate)
                self.assertGreater(self.find_share(16.0, 18.0), 0.85 * served)

    def test_health_check_that_does_not_answer(self):
        """Whatever begins, an upstream of which nothing is known gets no more."""

        async def scenario():
            self.upstream = ColdUpstream()
            self.upstream.answers = False
            loop = asyncio.get_running_loop()
            loop.call_later(8.0, self.upstream.become_cold)
            await self.send_load([BesideNode(self.upstream)], 70.0, 16.0)

        self.run_scenario(scenario)
        self.check_bound(self.upstream)
        self.assertGreaterEqual(self.upstream.count_arrivals(6.5, 8.0), 12)

    def test_node_is_killed_and_starts_again_while_the_upstream_is_cold(self):
        """The next node knows nothing of what the last one has sent."""
        for pause_s in (0.001, 0.05, 0.4, 1.5):

            async def scenario(pause_s=pause_s):
                self.upstream = ColdUpstream()
                node = BesideNode(self.upstream)
                loop = asyncio.get_running_loop()
                loop.call_later(8.0, self.upstream.become_cold)
                loop.call_later(10.3, node.replace, pause_s)
                await self.send_load([node], 70.0, 18.0)

            self.run_scenario(scenario)
            self.check_bound(self.upstream)
            self.assertGreater(self.find_share(16.0, 18.0), 0.85)

    def test_refused_requests_reach_no_upstream(self):
        """Each request arrives at most once, and only if it is answered."""

        async def scenario():
            self.upstream = ColdUpstream()
            self.upstream.become_cold()
            await self.send_load([BesideNode(self.upstream)], 70.0, 6.0)

        self.run_scenario(scenario)
        self.assertEqual(len(self.upstream.ran), len(set(self.upstream.ran)))
        self.assertEqual(len(self.upstream.ran), sum(self.answered.values()))

    def test_service_without_a_limit_is_asked_nothing(self):
        """Neither questions nor a limit."""

        async def scenario():
            self.upstream = ColdUpstream()
            self.upstream.become_cold()
            node = BesideNode(self.upstream)
            node.gate.configure(limits=AdmissionLimits(slots=SLOTS), partners=())
            await self.send_load([node], 30.0, 10.0)

        self.run_scenario(scenario)
        self.assertEqual(self.list_refusals(8.0), [])
        self.assertEqual(self.count_questions(), 0)

    def count_questions(self):
        """Return how many questions arrived."""
        return len(self.upstream.arrivals_s) - len(self.upstream.ran)


class SeveralUpstreamsTests(ColdTestCase):
    """Upstreams of a service without keys, of which some are cold."""

    def start_nodes(self, count):
        """Start warm upstreams and their nodes."""
        self.upstreams = [ColdUpstream() for _ in range(count)]
        self.nodes = [BesideNode(upstream) for upstream in self.upstreams]

    def restart(self, index):
        """Replace an upstream's process by a cold one."""
        self.upstreams[index].become_cold()
        self.nodes[index].gate.restart()

    def test_rolling_release(self):
        """Each new upstream starts cold; the others take what it doesn't bear."""

        async def scenario():
            self.start_nodes(4)
            loop = asyncio.get_running_loop()
            for index in range(4):
                loop.call_later(4.0 + 7.0 * index, self.restart, index)
            await self.send_load(self.nodes, 100.0, 32.0)

        self.run_scenario(scenario)
        self.check_bound(*self.upstreams)
        self.assertGreaterEqual(self.find_share(4.0, 32.0), 0.99)
        refused = len(self.list_refusals(4.0, 32.0))
        self.assertLessEqual(refused, 0.05 * len(self.answered))

    def test_data_centre_that_comes_back_cold(self):
        """Half of the upstreams start at one moment."""

        async def scenario():
            self.start_nodes(6)
            loop = asyncio.get_running_loop()
            for index in range(3):
                loop.call_later(4.0, self.restart, index)
            await self.send_load(self.nodes, 150.0, 14.0)

        self.run_scenario(scenario)
        self.check_bound(*self.upstreams[:3])
        self.assertGreaterEqual(self.find_share(4.0, 14.0), 0.97)

    def test_all_upstreams_are_cold(self):
        """There is no room for most requests, and they are told so at once."""

        async def scenario():
            self.start_nodes(3)
            loop = asyncio.get_running_loop()
            for index in range(3):
                loop.call_later(4.0, self.restart, index)
            await self.send_load(self.nodes, 100.0, 13.0)

        self.run_scenario(scenario)
        self.check_bound(*self.upstreams)
        self.check_refusals(5.0, 10.0)
        self.assertGreaterEqual(self.find_share(12.0, 13.0), 0.95)


def build_request(number):
    """Return a request of its own target."""
    return PeerRequest(
        request=Request(method=b"GET", target=b"/%d" % number),
        service="s",
        shard="",
        key="",
        remaining_s=DEADLINE_S,
        partner="",
        request_class=RequestClass.BROWSE,
        cost=1.0,
        repeatable=True,
        request_id=f"r-{number}",
        target_s=TARGET_S,
    )


def build_route(index):
    """Return the route to a node."""
    address = f"127.0.0.1:{index}"
    return Route(
        shard=ShardId(""),
        local=False,
        incarnation=IncarnationId(f"{address}#x"),
        address=PeerAddress(address),
        in_local_data_centre=True,
    )
