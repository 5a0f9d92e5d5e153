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

SLOW_START_S = 20.0


def run(coroutine):
    """Run a coroutine on virtual time."""
    loop = looptime.new_event_loop(start=0.0)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


def build_gate(slots=1):
    """Return a gate and its admission controller; needs a running loop."""
    admission = AdmissionController(
        now=asyncio.get_running_loop().time(),
        limits=AdmissionLimits(slots=slots),
        partners=(Partner(name="a"),),
        rng=random.Random(1),
    )
    return AdmissionGate(admission=admission, metrics=Metrics()), admission


def build_admission_request(within_s=5.0):
    """Return an admission request of class browse with a deadline from now."""
    return AdmissionRequest(
        partner="a",
        request_class=RequestClass.BROWSE,
        cost=1.0,
        deadline_s=asyncio.get_running_loop().time() + within_s,
    )


class AdmissionGateTests(unittest.TestCase):
    """Requests that wait for slots."""

    def test_waiter_gets_released_slot(self):
        """A released slot goes to the waiting request."""

        async def scenario():
            gate, _ = build_gate()
            first = (await gate.acquire(build_admission_request())).unwrap()
            waiting = asyncio.create_task(gate.acquire(build_admission_request()))
            await asyncio.sleep(1.0)
            self.assertFalse(waiting.done())
            first.release(service_time_s=1.0)
            second = (await waiting).unwrap()
            second.release(service_time_s=1.0)

        run(scenario())

    def test_timer_refuses_unreachable_deadline(self):
        """A timer refuses a request whose deadline has become unreachable."""

        async def scenario():
            gate, _ = build_gate()
            permit = (await gate.acquire(build_admission_request())).unwrap()
            await asyncio.sleep(1.0)
            permit.release(service_time_s=1.0)
            (await gate.acquire(build_admission_request())).unwrap()
            started_s = asyncio.get_running_loop().time()
            refusal = (await gate.acquire(build_admission_request(4.0))).failure()
            waited_s = asyncio.get_running_loop().time() - started_s
            self.assertEqual(refusal.kind, ErrorKind.DEADLINE_UNREACHABLE)
            self.assertAlmostEqual(waited_s, 3.0)

        run(scenario())

    def test_cancelled_wait_leaves_queue(self):
        """A request that was cancelled in the queue gets no slot later."""

        async def scenario():
            gate, admission = build_gate()
            first = (await gate.acquire(build_admission_request())).unwrap()
            waiting = asyncio.create_task(gate.acquire(build_admission_request()))
            await asyncio.sleep(0.1)
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            self.assertEqual(admission.queued, 0)
            first.release(service_time_s=0.1)
            self.assertEqual(admission.in_use, 0)

        run(scenario())

    def test_cancel_after_admission_releases_slot(self):
        """A permit whose caller left before receiving it is released."""

        async def scenario():
            gate, admission = build_gate()
            first = (await gate.acquire(build_admission_request())).unwrap()
            waiting = asyncio.create_task(gate.acquire(build_admission_request()))
            await asyncio.sleep(0.1)
            first.release(service_time_s=0.1)
            self.assertEqual(admission.in_use, 1)
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            self.assertEqual(admission.in_use, 0)

        run(scenario())

    def test_caller_that_left_in_the_turn_of_its_admission_gets_no_slot(self):
        """Its leaving was read after the response that freed the slot."""

        async def scenario():
            gate, admission = build_gate()
            first = (await gate.acquire(build_admission_request())).unwrap()
            waiting = asyncio.create_task(gate.acquire(build_admission_request()))
            await asyncio.sleep(0.1)
            first.release(service_time_s=0.1)
            asyncio.get_running_loop().call_soon(waiting.cancel)
            await asyncio.gather(waiting, return_exceptions=True)
            self.assertTrue(waiting.cancelled())
            self.assertEqual(admission.in_use, 0)

        run(scenario())

    def test_slow_start_admits_without_other_events(self):
        """Waiting requests get the slots that open during the slow start."""

        async def scenario():
            gate, admission = build_gate(slots=8)
            tasks = [
                asyncio.create_task(gate.acquire(build_admission_request(30.0)))
                for _ in range(8)
            ]
            await asyncio.sleep(0)
            self.assertEqual(admission.in_use, 2)
            await asyncio.sleep(SLOW_START_S)
            self.assertTrue(all(task.done() for task in tasks))

        run(scenario())

    def test_unknown_error_still_frees_slot(self):
        """A release with an unknown kind of error still frees the slot."""

        async def scenario():
            gate, admission = build_gate()
            permit = (await gate.acquire(build_admission_request())).unwrap()
            permit.release(service_time_s=0.1, error="no such kind")
            self.assertEqual(admission.in_use, 0)

        run(scenario())

    def test_close_refuses_waiting(self):
        """A closed gate refuses all waiting and later requests."""

        async def scenario():
            gate, _ = build_gate()
            (await gate.acquire(build_admission_request())).unwrap()
            waiting = asyncio.create_task(gate.acquire(build_admission_request()))
            await asyncio.sleep(0.1)
            gate.close()
            refusal = (await waiting).failure()
            self.assertEqual(refusal.kind, ErrorKind.NODE_DRAINING)
            refusal = (await gate.acquire(build_admission_request())).failure()
            self.assertEqual(refusal.kind, ErrorKind.NODE_DRAINING)

        run(scenario())

    def test_counts_decisions(self):
        """Admissions and refusals are counted by class and kind."""

        async def scenario():
            admission = AdmissionController(now=0.0, limits=AdmissionLimits())
            metrics = Metrics()
            gate = AdmissionGate(admission=admission, metrics=metrics)
            await gate.acquire(build_admission_request())
            await gate.acquire(build_admission_request(0.0))
            self.assertEqual(metrics.read_count("admissions", "browse"), 1)
            self.assertEqual(
                metrics.read_count("admission_refusals", "deadline-expired"), 1
            )
            self.assertEqual(metrics.read_count("admissions_by_rank", "0"), 1)
            self.assertEqual(metrics.read_count("admission_refusals_by_rank", "0"), 1)

        run(scenario())


class FrozenUpstreamTests(unittest.TestCase):
    """An upstream that stops responding."""

    def test_waiting_requests_are_refused_at_once(self):
        """All waiting requests are refused as soon as the upstream is ejected."""

        async def scenario():
            gate, admission = build_gate()
            (await gate.acquire(build_admission_request())).unwrap().release(
                service_time_s=0.01
            )
            (await gate.acquire(build_admission_request())).unwrap()
            started_s = asyncio.get_running_loop().time()
            waiting = [
                asyncio.create_task(gate.acquire(build_admission_request(9.0)))
                for _ in range(3)
            ]
            results = await asyncio.gather(*waiting)
            waited_s = asyncio.get_running_loop().time() - started_s
            kinds = {result.failure().kind for result in results}
            self.assertEqual(kinds, {ErrorKind.UPSTREAM_EJECTED})
            self.assertLess(waited_s, 2.0)
            late = await gate.acquire(build_admission_request(9.0))
            self.assertEqual(late.failure().kind, ErrorKind.UPSTREAM_EJECTED)
            self.assertEqual(admission.queued, 0)

        run(scenario())

    def test_responses_end_the_ejection(self):
        """Responses of an upstream that has recovered open the gate again."""

        async def scenario():
            gate, _ = build_gate()
            (await gate.acquire(build_admission_request())).unwrap().release(
                service_time_s=0.01
            )
            stuck = (await gate.acquire(build_admission_request())).unwrap()
            await asyncio.sleep(5.0)
            stuck.release(service_time_s=5.0)
            probe = (await gate.acquire(build_admission_request())).unwrap()
            probe.release(service_time_s=0.01)
            (await gate.acquire(build_admission_request())).unwrap()

        run(scenario())

    def test_one_request_waits_as_probe(self):
        """While stuck requests hold all slots, only one request waits, as a probe."""

        async def scenario():
            gate, admission = build_gate()
            (await gate.acquire(build_admission_request())).unwrap().release(
                service_time_s=0.01
            )
            (await gate.acquire(build_admission_request())).unwrap()
            await asyncio.sleep(5.0)
            tasks = [
                asyncio.create_task(gate.acquire(build_admission_request(9.0)))
                for _ in range(3)
            ]
            await asyncio.sleep(0.1)
            self.assertEqual(sum(task.done() for task in tasks), 2)
            self.assertEqual(admission.queued, 1)
            gate.close()
            await asyncio.gather(*tasks)

        run(scenario())


class LoopTests(unittest.TestCase):
    """The gate on uvloop, the event loop of the platform's program."""

    def test_wakeup_that_is_due_already(self):
        """A timer that is already due when it is set has no time in uvloop.

        The gate must not read the time from the timer handle.
        """

        async def scenario():
            loop = asyncio.get_running_loop()
            admission = AdmissionController(
                now=loop.time(), limits=AdmissionLimits(slots=1, ramp_s=0.0)
            )
            gate = AdmissionGate(admission=admission, metrics=Metrics())
            past = unittest.mock.Mock(side_effect=lambda: loop.time() - 1.0)
            with unittest.mock.patch.object(gate._health, "next_check", past):
                for _ in range(3):
                    admission_request = AdmissionRequest(
                        partner="",
                        request_class=RequestClass.BROWSE,
                        cost=1.0,
                        deadline_s=loop.time() + 1.0,
                    )
                    permit = (await gate.acquire(admission_request)).unwrap()
                    permit.release(service_time_s=0.01)
            gate.close()
            return admission.in_use

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            self.assertEqual(runner.run(scenario()), 0)

    def test_ejection_can_be_disabled(self):
        """With ``ejects_upstream=False`` no error leads to an ejection."""

        async def scenario():
            loop = asyncio.get_running_loop()
            admission = AdmissionController(
                now=loop.time(), limits=AdmissionLimits(slots=1, ramp_s=0.0)
            )
            gate = AdmissionGate(
                admission=admission, metrics=Metrics(), ejects_upstream=False
            )
            for _ in range(40):
                admission_request = AdmissionRequest(
                    partner="",
                    request_class=RequestClass.BROWSE,
                    cost=1.0,
                    deadline_s=loop.time() + 1.0,
                )
                admitted = await gate.acquire(admission_request)
                self.assertIsInstance(admitted, Success)
                permit = admitted.unwrap()
                permit.release(service_time_s=0.01, error=ErrorKind.UPSTREAM_LOST)
            gate.close()

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(scenario())
