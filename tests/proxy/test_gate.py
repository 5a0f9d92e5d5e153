"""Tests of papayatack.proxy.gate."""

import asyncio
import random
import unittest
import unittest.mock

import looptime
import uvloop
from returns.result import Success

from papayatack.core.admission import AdmissionController, AdmissionLimits
from papayatack.core.errors import ErrorKind
from papayatack.core.inventory import Partner, RequestClass
from papayatack.observability.metrics import Metrics
from papayatack.proxy.gate import AdmissionGate
from papayatack.proxy.interface import AdmissionRequest

RAMPED_S = 20.0


def run(coroutine):
    """Run a coroutine on virtual time."""
    loop = looptime.new_event_loop(start=0.0)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


def build_gate(slots=1):
    """Return a gate and its admission; call inside a loop."""
    admission = AdmissionController(
        now=asyncio.get_running_loop().time(),
        limits=AdmissionLimits(slots=slots),
        partners=(Partner(name="a"),),
        rng=random.Random(1),
    )
    return AdmissionGate(admission=admission, metrics=Metrics()), admission


def build_ticket(within_s=5.0):
    """Return a browse ticket with a deadline from now."""
    return AdmissionRequest(
        partner="a",
        request_class=RequestClass.BROWSE,
        cost=1.0,
        deadline_s=asyncio.get_running_loop().time() + within_s,
    )


class AdmissionGateTests(unittest.TestCase):
    """Waiting for slots."""

    def test_waiter_gets_released_slot(self):
        """A release hands the slot to the request that waits."""

        async def scenario():
            gate, _ = build_gate()
            first = (await gate.acquire(build_ticket())).unwrap()
            waiting = asyncio.create_task(gate.acquire(build_ticket()))
            await asyncio.sleep(1.0)
            self.assertFalse(waiting.done())
            first.release(service_time_s=1.0)
            second = (await waiting).unwrap()
            second.release(service_time_s=1.0)

        run(scenario())

    def test_refusal_comes_by_timer(self):
        """A request that waits in vain is answered without any other event."""

        async def scenario():
            gate, _ = build_gate()
            permit = (await gate.acquire(build_ticket())).unwrap()
            await asyncio.sleep(1.0)
            permit.release(service_time_s=1.0)
            (await gate.acquire(build_ticket())).unwrap()
            started_s = asyncio.get_running_loop().time()
            refusal = (await gate.acquire(build_ticket(4.0))).failure()
            waited_s = asyncio.get_running_loop().time() - started_s
            self.assertEqual(refusal.kind, ErrorKind.DEADLINE_UNREACHABLE)
            self.assertAlmostEqual(waited_s, 3.0)

        run(scenario())

    def test_cancelled_wait_leaves_queue(self):
        """A caller that leaves while waiting takes no slot later."""

        async def scenario():
            gate, admission = build_gate()
            first = (await gate.acquire(build_ticket())).unwrap()
            waiting = asyncio.create_task(gate.acquire(build_ticket()))
            await asyncio.sleep(0.1)
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            self.assertEqual(admission.queued, 0)
            first.release(service_time_s=0.1)
            self.assertEqual(admission.in_use, 0)

        run(scenario())

    def test_cancel_after_verdict_gives_slot_back(self):
        """A permit that its caller never saw is given back."""

        async def scenario():
            gate, admission = build_gate()
            first = (await gate.acquire(build_ticket())).unwrap()
            waiting = asyncio.create_task(gate.acquire(build_ticket()))
            await asyncio.sleep(0.1)
            first.release(service_time_s=0.1)
            self.assertEqual(admission.in_use, 1)
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            self.assertEqual(admission.in_use, 0)

        run(scenario())

    def test_ramp_admits_without_other_events(self):
        """Waiting requests get the slots that the ramp opens."""

        async def scenario():
            gate, admission = build_gate(slots=8)
            tasks = [
                asyncio.create_task(gate.acquire(build_ticket(30.0))) for _ in range(8)
            ]
            await asyncio.sleep(0)
            self.assertEqual(admission.in_use, 2)
            await asyncio.sleep(RAMPED_S)
            self.assertTrue(all(task.done() for task in tasks))

        run(scenario())

    def test_unknown_error_still_frees_slot(self):
        """A release with an error outside the list frees the slot as well."""

        async def scenario():
            gate, admission = build_gate()
            permit = (await gate.acquire(build_ticket())).unwrap()
            permit.release(service_time_s=0.1, error="no such kind")
            self.assertEqual(admission.in_use, 0)

        run(scenario())

    def test_close_refuses_waiting(self):
        """A closed gate answers all that wait."""

        async def scenario():
            gate, _ = build_gate()
            (await gate.acquire(build_ticket())).unwrap()
            waiting = asyncio.create_task(gate.acquire(build_ticket()))
            await asyncio.sleep(0.1)
            gate.close()
            refusal = (await waiting).failure()
            self.assertEqual(refusal.kind, ErrorKind.NODE_DRAINING)
            refusal = (await gate.acquire(build_ticket())).failure()
            self.assertEqual(refusal.kind, ErrorKind.NODE_DRAINING)

        run(scenario())

    def test_counts_verdicts(self):
        """Admissions and refusals are counted by class and kind."""

        async def scenario():
            admission = AdmissionController(now=0.0, limits=AdmissionLimits())
            metrics = Metrics()
            gate = AdmissionGate(admission=admission, metrics=metrics)
            await gate.acquire(build_ticket())
            await gate.acquire(build_ticket(0.0))
            self.assertEqual(metrics.read_count("admissions", "browse"), 1)
            self.assertEqual(
                metrics.read_count("admission_refusals", "deadline-expired"), 1
            )

        run(scenario())


class FrozenUpstreamTests(unittest.TestCase):
    """An upstream that stops answering."""

    def test_waiting_are_refused_at_once(self):
        """All that wait get their answer as soon as the upstream counts as frozen."""

        async def scenario():
            gate, admission = build_gate()
            (await gate.acquire(build_ticket())).unwrap().release(service_time_s=0.01)
            (await gate.acquire(build_ticket())).unwrap()
            started_s = asyncio.get_running_loop().time()
            waiting = [
                asyncio.create_task(gate.acquire(build_ticket(9.0))) for _ in range(3)
            ]
            results = await asyncio.gather(*waiting)
            waited_s = asyncio.get_running_loop().time() - started_s
            kinds = {result.failure().kind for result in results}
            self.assertEqual(kinds, {ErrorKind.UPSTREAM_EJECTED})
            self.assertLess(waited_s, 2.0)
            late = await gate.acquire(build_ticket(9.0))
            self.assertEqual(late.failure().kind, ErrorKind.UPSTREAM_EJECTED)
            self.assertEqual(admission.queued, 0)

        run(scenario())

    def test_answers_bring_it_back(self):
        """Answers of a frozen upstream that wakes up open the gate again."""

        async def scenario():
            gate, _ = build_gate()
            (await gate.acquire(build_ticket())).unwrap().release(service_time_s=0.01)
            stuck = (await gate.acquire(build_ticket())).unwrap()
            await asyncio.sleep(5.0)
            stuck.release(service_time_s=5.0)
            probe = (await gate.acquire(build_ticket())).unwrap()
            probe.release(service_time_s=0.01)
            (await gate.acquire(build_ticket())).unwrap()

        run(scenario())

    def test_one_request_waits_as_probe(self):
        """While stuck requests hold all slots, one probe waits and others do not."""

        async def scenario():
            gate, admission = build_gate()
            (await gate.acquire(build_ticket())).unwrap().release(service_time_s=0.01)
            (await gate.acquire(build_ticket())).unwrap()
            await asyncio.sleep(5.0)
            tasks = [
                asyncio.create_task(gate.acquire(build_ticket(9.0))) for _ in range(3)
            ]
            await asyncio.sleep(0.1)
            self.assertEqual(sum(task.done() for task in tasks), 2)
            self.assertEqual(admission.queued, 1)
            gate.close()
            await asyncio.gather(*tasks)

        run(scenario())


class LoopTests(unittest.TestCase):
    """The gate on the event loop of the platform's program."""

    def test_wakeup_that_is_due_already(self):
        """uvloop gives no time of a timer that was due when it was set."""

        async def scenario():
            loop = asyncio.get_running_loop()
            admission = AdmissionController(
                now=loop.time(), limits=AdmissionLimits(slots=1, ramp_s=0.0)
            )
            gate = AdmissionGate(admission=admission, metrics=Metrics())
            past = unittest.mock.Mock(side_effect=lambda: loop.time() - 1.0)
            with unittest.mock.patch.object(gate._health, "next_check", past):
                for _ in range(3):
                    ticket = AdmissionRequest(
                        partner="",
                        request_class=RequestClass.BROWSE,
                        cost=1.0,
                        deadline_s=loop.time() + 1.0,
                    )
                    permit = (await gate.acquire(ticket)).unwrap()
                    permit.release(service_time_s=0.01)
            gate.close()
            return admission.in_use

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            self.assertEqual(runner.run(scenario()), 0)

    def test_a_gate_may_leave_the_judgement_to_others(self):
        """Whatever the upstream does, it is not taken out of use here."""

        async def scenario():
            loop = asyncio.get_running_loop()
            admission = AdmissionController(
                now=loop.time(), limits=AdmissionLimits(slots=1, ramp_s=0.0)
            )
            gate = AdmissionGate(
                admission=admission, metrics=Metrics(), judges_upstream=False
            )
            for _ in range(40):
                ticket = AdmissionRequest(
                    partner="",
                    request_class=RequestClass.BROWSE,
                    cost=1.0,
                    deadline_s=loop.time() + 1.0,
                )
                admitted = await gate.acquire(ticket)
                self.assertIsInstance(admitted, Success)
                permit = admitted.unwrap()
                permit.release(service_time_s=0.01, error=ErrorKind.UPSTREAM_LOST)
            gate.close()

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(scenario())
