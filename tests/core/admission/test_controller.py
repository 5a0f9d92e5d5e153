"""Tests of papayatack.core.admission.controller."""

import random
import unittest

from papayatack.core.admission import (
    AdmissionController,
    AdmissionLimits,
    Admitted,
    ColdBounds,
    Refused,
)
from papayatack.core.admission.cold_limit import WINDOW_S
from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.inventory import Partner, RequestClass

PARTNERS = (Partner(name="a"), Partner(name="b"))
RAMPED_S = 100.0


def build_admission(*, slots=4, queue_per_slot=8, connections=130):
    """Return a controller whose slow start is over at ``RAMPED_S``."""
    limits = AdmissionLimits(
        slots=slots, connections=connections, queue_per_slot=queue_per_slot
    )
    return AdmissionController(
        now=0.0, limits=limits, partners=PARTNERS, rng=random.Random(1)
    )


def offer(
    admission, now, *, partner="a", kind=RequestClass.BROWSE, cost=1.0, within_s=10.0
):
    """Submit a request and return its entry."""
    return admission.offer(
        now,
        partner=partner,
        request_class=kind,
        cost=cost,
        deadline_s=now + within_s,
    )


def list_admitted(decisions):
    """Return the admitted entries."""
    return [decision.entry for decision in decisions if isinstance(decision, Admitted)]


def list_refused(decisions):
    """Return the refused entries with the kinds of their refusals."""
    return [
        (decision.entry, decision.refusal.kind)
        for decision in decisions
        if isinstance(decision, Refused)
    ]


def fill(admission, now, **fields):
    """Fill all slots and return the admitted entries."""
    limit = admission.current_limit(now)
    entries = [offer(admission, now, **fields) for _ in range(limit)]
    admission.poll(now)
    return entries


def record_service_time(admission, now, service_time_s, kind=RequestClass.BROWSE):
    """Run one request, so that its service time is recorded."""
    entry = offer(admission, now, kind=kind)
    admission.poll(now)
    admission.release(now, entry, service_time_s=service_time_s)


class SlotTests(unittest.TestCase):
    """Limits by slots, connections, slow start and sheds."""

    def test_admits_up_to_slots(self):
        """As many requests run as there are slots, and the next one waits."""
        admission = build_admission(slots=4)
        entries = [offer(admission, RAMPED_S) for _ in range(5)]
        admitted = list_admitted(admission.poll(RAMPED_S))
        self.assertEqual(admitted, entries[:4])
        admission.release(RAMPED_S, entries[0], service_time_s=0.01)
        self.assertEqual(list_admitted(admission.poll(RAMPED_S)), entries[4:])

    def test_connections_limit_slots(self):
        """The number of connections limits the running requests."""
        admission = build_admission(slots=4, connections=2)
        fill(admission, RAMPED_S)
        self.assertEqual(admission.in_use, 2)

    def test_cold_upstream_gets_slow_start(self):
        """A cold upstream starts with a share of its slots and reaches all of them."""
        admission = build_admission(slots=16)
        self.assertEqual(admission.current_limit(0.0), 4)
        self.assertLess(admission.current_limit(5.0), 16)
        self.assertEqual(admission.current_limit(10.0), 16)

    def test_sheds_lower_the_limit_and_answers_raise_it(self):
        """Sheds decrease the limit, and answers raise it to all slots again."""
        admission = build_admission(slots=10)
        entries = fill(admission, RAMPED_S)
        for entry in entries:
            admission.release(
                RAMPED_S, entry, service_time_s=0.0, error=ErrorKind.UPSTREAM_SHED
            )
        self.assertEqual(admission.current_limit(RAMPED_S), 8)
        for _ in range(100):
            record_service_time(admission, RAMPED_S, 0.01)
        self.assertEqual(admission.current_limit(RAMPED_S), 10)

    def test_sheds_of_an_idle_upstream_leave_the_least_share(self):
        """An upstream that sheds while it is idle keeps most of its slots."""
        limits = AdmissionLimits(slots=10, least_share=0.8)
        admission = AdmissionController(now=0.0, limits=limits, rng=random.Random(1))
        for number in range(200):
            now = RAMPED_S + number
            entry = offer(admission, now)
            admission.poll(now)
            admission.release(
                now, entry, service_time_s=0.0, error=ErrorKind.UPSTREAM_SHED
            )
        self.assertGreaterEqual(admission.current_limit(now), 6)

    def test_double_release_has_no_effect(self):
        """Releasing an entry twice returns its slot once."""
        admission = build_admission()
        entries = fill(admission, RAMPED_S)
        admission.release(RAMPED_S, entries[0], service_time_s=0.01)
        admission.release(RAMPED_S, entries[0], service_time_s=0.01)
        self.assertEqual(admission.in_use, 3)


class DeadlineTests(unittest.TestCase):
    """Refusals of requests that cannot finish in time."""

    def test_request_with_expired_deadline_is_refused(self):
        """A request whose deadline has passed on arrival is refused as expired."""
        admission = build_admission()
        entry = offer(admission, RAMPED_S, within_s=0.0)
        refused = list_refused(admission.poll(RAMPED_S))
        self.assertEqual(refused, [(entry, ErrorKind.DEADLINE_EXPIRED)])

    def test_unreachable_deadline_is_refused_at_once(self):
        """A request is refused on arrival if its expected wait is too long."""
        admission = build_admission(slots=1)
        record_service_time(admission, RAMPED_S, 1.0)
        fill(admission, RAMPED_S)
        waiting = [offer(admission, RAMPED_S, within_s=4.5) for _ in range(4)]
        late = offer(admission, RAMPED_S, within_s=4.5)
        decisions = admission.poll(RAMPED_S)
        self.assertEqual(
            list_refused(decisions), [(late, ErrorKind.DEADLINE_UNREACHABLE)]
        )
        self.assertGreaterEqual(decisions[0].refusal.retry_after_s, 4.0)
        self.assertEqual(admission.queued, len(waiting))

    def test_queued_request_is_refused_at_queue_deadline(self):
        """A queued request is refused once it cannot finish, before its deadline."""
        admission = build_admission(slots=1)
        record_service_time(admission, RAMPED_S, 1.0)
        fill(admission, RAMPED_S)
        entry = offer(admission, RAMPED_S, within_s=3.0)
        self.assertEqual(admission.poll(RAMPED_S), ())
        self.assertEqual(admission.next_wakeup(RAMPED_S), RAMPED_S + 2.0)
        refused = list_refused(admission.poll(RAMPED_S + 2.0))
        self.assertEqual(refused, [(entry, ErrorKind.DEADLINE_UNREACHABLE)])

    def test_varying_service_times_bring_the_queue_deadline_forward(self):
        """With varying service times, the queue deadline includes a margin."""
        admission = build_admission(slots=1)
        for number in range(200):
            record_service_time(admission, RAMPED_S, 0.5 if number % 2 else 1.5)
        fill(admission, RAMPED_S)
        offer(admission, RAMPED_S, within_s=5.0)
        admission.poll(RAMPED_S)
        queue_deadline_s = admission.next_wakeup(RAMPED_S) - RAMPED_S
        # The mean of 1 s plus two deviations of 0.5 s.
        self.assertAlmostEqual(queue_deadline_s, 3.0, delta=0.2)

    def test_free_slot_is_used_despite_pessimistic_estimate(self):
        """A long measured service time does not keep an idle upstream idle."""
        admission = build_admission()
        record_service_time(admission, RAMPED_S, 60.0)
        entry = offer(admission, RAMPED_S, within_s=1.0)
        self.assertEqual(list_admitted(admission.poll(RAMPED_S)), [entry])

    def test_failures_do_not_change_the_service_time(self):
        """Timeouts of a stalled upstream leave the estimate unchanged."""
        admission = build_admission()
        record_service_time(admission, RAMPED_S, 0.01)
        entries = fill(admission, RAMPED_S)
        for entry in entries:
            admission.release(
                RAMPED_S, entry, service_time_s=10.0, error=ErrorKind.UPSTREAM_TIMEOUT
            )
        measured = admission.get_class_state(RequestClass.BROWSE).seconds_per_cost
        self.assertEqual(measured, 0.01)


class QueueTests(unittest.TestCase):
    """Bounds of the queues."""

    def test_full_queue_drops_from_longest(self):
        """The newest request of the partner with the longest queue is refused."""
        admission = build_admission(slots=1, queue_per_slot=4)
        fill(admission, RAMPED_S)
        heavy = [offer(admission, RAMPED_S, partner="a") for _ in range(4)]
        admission.poll(RAMPED_S)
        offer(admission, RAMPED_S, partner="b")
        refused = list_refused(admission.poll(RAMPED_S))
        self.assertEqual(refused, [(heavy[-1], ErrorKind.QUEUE_FULL)])

    def test_full_queue_refuses_requests_of_the_longest_flow(self):
        """A heavy partner cannot displace the requests of others."""
        admission = build_admission(slots=1, queue_per_slot=4)
        fill(admission, RAMPED_S)
        for partner in "aaab":
            offer(admission, RAMPED_S, partner=partner)
        admission.poll(RAMPED_S)
        late = offer(admission, RAMPED_S, partner="a")
        refused = list_refused(admission.poll(RAMPED_S))
        self.assertEqual(refused, [(late, ErrorKind.QUEUE_FULL)])

    def test_unknown_partners_share_one_flow(self):
        """Any number of unknown partner names takes the memory of one flow."""
        admission = build_admission(slots=1, queue_per_slot=1000)
        for number in range(1000):
            offer(admission, RAMPED_S, partner=f"invented-{number}")
        admission.poll(RAMPED_S)
        queue = admission.get_class_state(RequestClass.BROWSE).queue
        self.assertEqual(queue.flow_count, 1)

    def test_refuse_queued_refuses_all(self):
        """All queued requests get the given refusal."""
        admission = build_admission()
        fill(admission, RAMPED_S)
        waiting = [offer(admission, RAMPED_S) for _ in range(3)]
        admission.refuse_queued(Refusal(kind=ErrorKind.NODE_DRAINING))
        refused = list_refused(admission.poll(RAMPED_S))
        self.assertEqual(
            refused, [(entry, ErrorKind.NODE_DRAINING) for entry in waiting]
        )


class ClassTests(unittest.TestCase):
    """Slots guaranteed to the classes."""

    def test_order_overtakes_browse_backlog(self):
        """An order gets the next free slot while browsing exceeds its share."""
        admission = build_admission(slots=10)
        running = fill(admission, RAMPED_S)
        for _ in range(20):
            offer(admission, RAMPED_S)
        order = offer(admission, RAMPED_S, kind=RequestClass.ORDER)
        admission.poll(RAMPED_S)
        admission.release(RAMPED_S, running[0], service_time_s=0.01)
        self.assertEqual(list_admitted(admission.poll(RAMPED_S)), [order])

    def test_order_overload_leaves_browse_its_share(self):
        """An overload of orders leaves browsing its guaranteed slots."""
        admission = build_admission(slots=10)
        running = fill(admission, RAMPED_S, kind=RequestClass.ORDER)
        for _ in range(20):
            offer(admission, RAMPED_S, kind=RequestClass.ORDER)
            offer(admission, RAMPED_S)
        admission.poll(RAMPED_S)
        for entry in running:
            admission.release(RAMPED_S, entry, service_time_s=0.01)
            admission.poll(RAMPED_S)
        browse = admission.get_class_state(RequestClass.BROWSE)
        self.assertGreaterEqual(browse.in_use, 5)

    def test_downloads_use_idle_upstream(self):
        """Without other requests, downloads get all slots."""
        admission = build_admission(slots=10)
        fill(admission, RAMPED_S, kind=RequestClass.DOWNLOAD)
        self.assertEqual(admission.in_use, 10)

    def test_downloads_leave_headroom_for_browsing(self):
        """Beside browsing, downloads do not get the slots reserved for it."""
        admission = build_admission(slots=10)
        now = RAMPED_S
        browse = [offer(admission, now) for _ in range(4)]
        admission.poll(now)
        now += 30.0
        for _ in range(10):
            offer(admission, now, kind=RequestClass.DOWNLOAD, within_s=600.0)
        admission.poll(now)
        downloads = admission.get_class_state(RequestClass.DOWNLOAD)
        # A load of four slots reserves 4 + 1.5 * sqrt(4) = 7.
        self.assertEqual(downloads.in_use, 3)
        for entry in browse:
            admission.release(now, entry, service_time_s=0.01)
        admission.poll(now)
        admission.poll(now + 200.0)
        self.assertEqual(downloads.in_use, 10)


class TargetTests(unittest.TestCase):
    """Under overload, answers arrive by their target."""

    SERVICE_S = 0.1
    TARGET_S = 0.3
    DEADLINE_S = 0.8
    SLOTS = 4
    INTERVAL_S = 0.015
    LENGTH_S = 30.0

    def simulate(self, *, with_target):
        """Simulate 1.7 times the capacity; return the answers in time and late."""
        limits = AdmissionLimits(slots=self.SLOTS, ramp_s=0.0)
        admission = AdmissionController(now=0.0, limits=limits, rng=random.Random(1))
        running, in_time, late, now = [], 0, 0, 0.0
        while now < self.LENGTH_S:
            now += self.INTERVAL_S
            for ended_s, entry in [item for item in running if item[0] <= now]:
                running.remove((ended_s, entry))
                admission.release(ended_s, entry, service_time_s=self.SERVICE_S)
                took_s = ended_s - entry.offered_s
                in_time += took_s <= self.TARGET_S
                late += took_s > self.TARGET_S
            admission.offer(
                now,
                partner="",
                request_class=RequestClass.BROWSE,
                cost=1.0,
                deadline_s=now + self.DEADLINE_S,
                target_s=now + self.TARGET_S if with_target else None,
            )
            for decision in admission.poll(now):
                if isinstance(decision, Admitted):
                    running.append((now + self.SERVICE_S, decision.entry))
        return in_time, late

    def test_overload_keeps_answers_in_time(self):
        """There are as many answers as without targets, nearly all of them in time."""
        in_time, late = self.simulate(with_target=True)
        plain_in_time, plain_late = self.simulate(with_target=False)
        self.assertGreater(plain_late, plain_in_time)
        self.assertGreaterEqual(in_time + late, 0.95 * (plain_in_time + plain_late))
        self.assertGreaterEqual(in_time, 0.95 * (in_time + late))


class UnreachableTargetTests(unittest.TestCase):
    """Some requests have a target that is shorter than the work itself."""

    SERVICE_S = 0.8
    TARGET_S = 2.2
    SHORT_TARGET_S = 0.1
    DEADLINE_S = 5.0
    SLOTS = 8
    LENGTH_S = 300.0
    LEAST_RATIO = 0.25
    """Target: the configuration of a route must not keep it from being served."""

    def simulate(self, *, utilisation):
        """Return the share of the requests with a short target and of the others."""
        rng = random.Random(1)
        limits = AdmissionLimits(slots=self.SLOTS, ramp_s=0.0)
        admission = AdmissionController(now=0.0, limits=limits, rng=rng)
        rate = utilisation * self.SLOTS / self.SERVICE_S
        offered, served, running, now = [0, 0], [0, 0], [], 0.0
        short_entries = set()
        while now < self.LENGTH_S:
            now += rng.expovariate(rate)
            for ended_s, entry in sorted(running, key=lambda item: item[0]):
                if ended_s <= now:
                    running.remove((ended_s, entry))
                    service_s = ended_s - entry.started_s
                    admission.release(ended_s, entry, service_time_s=service_s)
                    self.start(admission, ended_s, running, served, short_entries, rng)
            is_short = rng.random() < 0.1
            target_s = self.SHORT_TARGET_S if is_short else self.TARGET_S
            entry = admission.offer(
                now,
                partner="",
                request_class=RequestClass.BROWSE,
                cost=1.0,
                deadline_s=now + self.DEADLINE_S,
                target_s=now + target_s,
            )
            offered[is_short] += 1
            if is_short:
                short_entries.add(entry)
            self.start(admission, now, running, served, short_entries, rng)
        return served[True] / offered[True], served[False] / offered[False]

    def start(self, admission, now, running, served, short_entries, rng):
        """Start the admitted requests."""
        for decision in admission.poll(now):
            if isinstance(decision, Admitted):
                service_s = rng.lognormvariate(-0.32, 0.8) * self.SERVICE_S
                running.append((now + service_s, decision.entry))
                served[decision.entry in short_entries] += 1

    def test_requests_with_a_short_target_are_served_at_high_load(self):
        """They are served at least a quarter as often as the others."""
        for utilisation in (0.8, 0.95, 1.1):
            short, others = self.simulate(utilisation=utilisation)
            self.assertGreaterEqual(short, self.LEAST_RATIO * others)


class LimitedUpstreamTests(unittest.TestCase):
    """The upstream names fewer requests per second than its slots can run."""

    LIMIT_PER_S = 4.0
    SERVICE_S = 0.1
    LENGTH_S = 60.0

    def test_no_class_is_starved(self):
        """Orders and browsing, both beyond the limit, share it."""
        limits = AdmissionLimits(slots=13, ramp_s=0.0)
        admission = AdmissionController(now=0.0, limits=limits, rng=random.Random(1))
        admission.observe_limit(0.0, self.LIMIT_PER_S)
        served = dict.fromkeys((RequestClass.ORDER, RequestClass.BROWSE), 0)
        running = []
        for step in range(int(self.LENGTH_S * 20)):
            now = step / 20
            for ended_s, entry in [item for item in running if item[0] <= now]:
                running.remove((ended_s, entry))
                admission.release(now, entry, service_time_s=self.SERVICE_S)
            for kind in served:
                offer(admission, now, kind=kind, within_s=1.0)
            for entry in list_admitted(admission.poll(now)):
                served[entry.request_class] += 1
                running.append((now + self.SERVICE_S, entry))
        total = sum(served.values())
        self.assertLessEqual(total, self.LIMIT_PER_S * self.LENGTH_S + 1)
        self.assertGreaterEqual(total, 0.95 * self.LIMIT_PER_S * self.LENGTH_S)
        self.assertGreaterEqual(min(served.values()), 0.25 * total, served)

    def test_restart_ends_the_limit(self):
        """Another life of the upstream has named none."""
        admission = build_admission()
        admission.observe_limit(RAMPED_S, 0.5)
        admission.restart(RAMPED_S)
        offer(admission, RAMPED_S)
        offer(admission, RAMPED_S)
        self.assertIsNone(admission.requests_per_s)

    def test_request_that_would_wait_too_long_is_refused_at_once(self):
        """The next request may be sent in two seconds."""
        admission = build_admission()
        admission.observe_limit(RAMPED_S, 0.5)
        now = RAMPED_S + 2.0
        offer(admission, now)
        self.assertEqual(len(list_admitted(admission.poll(now))), 1)
        offer(admission, now, within_s=1.0)
        ((_, kind),) = list_refused(admission.poll(now))
        self.assertIs(kind, ErrorKind.DEADLINE_UNREACHABLE)


class ColdTests(unittest.TestCase):
    """An upstream that takes few requests while it is cold."""

    def setUp(self):
        self.admission = build_admission(slots=20)
        self.limit = self.admission.cold_limit
        bounds = ColdBounds(requests_per_s=6.0, start_s=6.0, overrun=1.5, slack=8.0)
        self.limit.configure(RAMPED_S, bounds)
        self.answer(RAMPED_S, 60.0)

    def answer(self, now, remaining_s):
        """Ask the health check, which answers at once."""
        self.limit.record_question(now)
        self.limit.record_answer(now, asked_s=now, remaining_s=remaining_s)

    def run_all(self, now, count, **fields):
        """Offer requests; send those that are admitted. Return them."""
        for _ in range(count):
            offer(self.admission, now, **fields)
        admitted = list_admitted(self.admission.poll(now))
        for entry in admitted:
            self.admission.record_sent(now, entry)
        return admitted

    def test_no_more_are_admitted_than_the_window_has_room_for(self):
        now = RAMPED_S + 10.0
        admitted = self.run_all(now, 15)
        self.assertEqual(len(admitted), 9)
        self.assertEqual(self.admission.queued, 6)
        for entry in admitted:
            self.admission.release(now + 0.1, entry, service_time_s=0.1)
        self.assertEqual(self.admission.poll(now + 1.0), ())
        wakeup_s = self.admission.next_wakeup(now + 1.0)
        self.assertAlmostEqual(wakeup_s, now + WINDOW_S)
        self.assertEqual(len(self.admission.poll(wakeup_s + 0.001)), 6)

    def test_request_without_room_in_time_is_refused_at_once(self):
        now = RAMPED_S + 10.0
        self.run_all(now, 9)
        offer(self.admission, now + 0.2, within_s=0.5)
        (decision,) = self.admission.poll(now + 0.2)
        self.assertIs(decision.refusal.kind, ErrorKind.UPSTREAM_COLD)
        self.assertGreaterEqual(decision.refusal.retry_after_s, WINDOW_S - 0.2)
        self.assertLessEqual(decision.refusal.retry_after_s, 2 * WINDOW_S)

    def test_queue_that_has_no_room_is_refused_when_the_news_come(self):
        now = RAMPED_S + 10.0
        self.answer(now, 0.0)
        admitted = self.run_all(now, 40, within_s=0.6)
        self.assertEqual(len(admitted), 14)
        self.answer(now + 0.1, 6.0)
        self.admission.refuse_unreachable(now + 0.1)
        refused = list_refused(self.admission.poll(now + 0.1))
        kinds = {kind for _, kind in refused}
        self.assertEqual(kinds, {ErrorKind.UPSTREAM_COLD})
        self.assertEqual(self.admission.queued, 0)

    def test_slot_that_is_released_unsent_gives_its_room_back(self):
        now = RAMPED_S + 10.0
        offer(self.admission, now)
        (entry,) = list_admitted(self.admission.poll(now))
        self.assertEqual(self.limit.count_room(now), 8)
        self.admission.release(now, entry, service_time_s=None)
        self.assertEqual(self.limit.count_room(now), 9)

    def test_rate_for_the_planner_is_the_lower_one(self):
        now = RAMPED_S + 10.0
        self.assertEqual(self.admission.find_rate(now), 6.0)
        self.admission.observe_limit(now, 3.0)
        self.assertEqual(self.admission.find_rate(now), 3.0)
