"""Tests of real processes whose data centres are evacuated under a light load."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import random

from standins.fleet import call
from tests.platform.documents import build_manifest
from tests.platform.test_process import ProcessTestCase

TOPIC = "keyed.op"
BOUND_S = 5.0
SERVED_FROM_S = 0.5
SERVED_SHARE = 0.99
APART_S = 0.02
WORK_S = 0.03
DEADLINE_MS = 1500
LIMIT_S = 3.0
EVACUATED_S = 8.0
RETURN_S = 4.0
KEYS = 65_536
SLICE_KEYS = 128
FEW_SLICES = 16
SETTLED_S = 2.0
LIMIT_SETTLE_S = 40.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """The end of a request of the load."""

    sent_s: float
    service: str
    status: int
    detail: str
    took_s: float


def build_routes():
    """Return a manifest with a sharded and an unsharded service."""
    routes = json.loads(build_manifest())["Routes"]
    routes["orders"] |= {"RouteKind": "idempotent", "TargetLatency": "1000ms"}
    routes["bills"] = {
        **routes["orders"],
        "PathPrefix": "/bills/",
        "Service": "papers",
    }
    return build_manifest(Routes=routes)


class EvacuationCase(ProcessTestCase):
    """Nodes with a load of requests for keys and without keys."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.answers = []
        self.has_ended = asyncio.Event()
        self.rng = random.Random(1)
        self.store.store.append(TOPIC, b"config", build_routes())
        await self.wait_for(self.is_served)
        await self.wait_for(self.is_unsharded_served)
        for machine in self.machines:
            machine.upstream.work_s = WORK_S

    async def is_unsharded_served(self):
        """Return whether each node has the unsharded service served."""
        for machine in self.machines:
            status, _, _ = await machine.ask("/bills/1")
            if status != 200:
                return False
        return True

    async def wait_settled(self):
        """Wait until the first moves of a new fleet are over."""
        loop = asyncio.get_running_loop()
        last, since_s = [], loop.time()
        async with asyncio.timeout(LIMIT_SETTLE_S):
            while loop.time() < since_s + SETTLED_S:
                held = self.list_held()
                changed = sum(len(a ^ b) for a, b in zip(held, last, strict=False))
                if changed > FEW_SLICES or not all(held) or not last:
                    last, since_s = held, loop.time()
                await asyncio.sleep(APART_S)

    def list_held(self):
        """Return the slices of keys that each upstream with keys holds."""
        return [
            {key for key in range(0, KEYS, SLICE_KEYS) if machine.upstream.holds(key)}
            for machine, (_, service) in zip(self.machines, self.layout, strict=True)
            if service == "desk"
        ]

    def order(self, name, value=b"{}"):
        """Write an order and return the time of its acknowledgement."""
        self.store.store.append(TOPIC, b"evacuate/" + name.encode(), value)
        return asyncio.get_running_loop().time()

    async def send_load(self):
        """Send requests to all nodes until told to stop, and wait for their ends."""
        async with asyncio.TaskGroup() as tasks:
            for number in itertools.count():
                if self.has_ended.is_set():
                    break
                machine = self.machines[number % len(self.machines)]
                tasks.create_task(self.send(machine, number))
                await asyncio.sleep(APART_S)

    @contextlib.asynccontextmanager
    async def loaded(self):
        """Send the load meanwhile; begin once the fleet has settled under it."""
        load = asyncio.ensure_future(self.send_load())
        await self.wait_settled()
        yield
        self.has_ended.set()
        await load

    async def send(self, machine, number):
        """Send one request of the load."""
        sent_s = asyncio.get_running_loop().time()
        service = ("desk", "papers")[self.rng.random() < 0.5]
        key = self.rng.randrange(KEYS) if service == "desk" else None
        try:
            status, head, _ = await machine.ask(
                "/orders/1" if key is not None else "/bills/1",
                key=key,
                request_id=f"load-{number}",
                deadline_ms=DEADLINE_MS,
                limit_s=LIMIT_S,
            )
        except (OSError, TimeoutError, IndexError) as error:
            status, head = 0, repr(error)
        self.answers.append(
            Answer(
                sent_s=sent_s,
                service=service,
                status=status,
                detail=head,
                took_s=asyncio.get_running_loop().time() - sent_s,
            )
        )

    def list_answers(self, from_s, to_s, service=""):
        """Return the answers to requests that were sent in a time."""
        return [
            answer
            for answer in self.answers
            if from_s <= answer.sent_s < to_s and service in ("", answer.service)
        ]

    def measure_share(self, from_s, to_s, service=""):
        """Return the share of the requests of a time that were served."""
        answers = self.list_answers(from_s, to_s, service)
        self.assertTrue(answers)
        return sum(answer.status == 200 for answer in answers) / len(answers)

    def check_served(self, from_s, to_s, service=""):
        """Check that requests sent in a time were served, and return the share."""
        share = self.measure_share(from_s, to_s, service)
        failures = [
            f"at {answer.sent_s - from_s:.2f} s {answer.service} {answer.status}"
            f" after {answer.took_s:.2f} s {answer.detail}"
            for answer in self.list_answers(from_s, to_s, service)
            if answer.status != 200
        ]
        self.assertGreaterEqual(share, SERVED_SHARE, "\n".join(failures))
        return share

    def list_reached_s(self, place, from_s, to_s):
        """Return the times at which requests reached upstreams of a data centre."""
        return [
            reached_s
            for machine, (own_place, _) in zip(self.machines, self.layout, strict=True)
            if own_place == place
            for reached_s in machine.upstream.reached_s
            if from_s <= reached_s < to_s
        ]


class OneOfTwoTests(EvacuationCase):
    """One of two data centres, each of which has both services."""

    layout = (
        ("east", "desk"),
        ("west", "desk"),
        ("east", "papers"),
        ("west", "papers"),
    )

    async def test_evacuated_data_centre_gets_nothing_and_callers_are_served(self):
        """From the bound on, until the order is taken back; then it serves again."""
        async with self.loaded():
            ordered_s = self.order("east")
            await asyncio.sleep(EVACUATED_S)
            await self.check_nodes_there()
            returned_s = self.order("east", b"")
            await self.wait_for(lambda: self.holds_keys(self.machines[0].upstream))
            await asyncio.sleep(RETURN_S)
            now = asyncio.get_running_loop().time()
        last_s = max(self.list_reached_s("east", ordered_s, returned_s), default=0.0)
        late = self.list_reached_s("east", ordered_s + BOUND_S, returned_s)
        share = self.check_served(ordered_s + SERVED_FROM_S, returned_s)
        print(
            f"last request there {last_s - ordered_s:.2f} s after the order,"
            f" served {share:.4f} from {SERVED_FROM_S} s on"
        )
        self.assertEqual(late, [])
        self.check_return(returned_s, now)

    async def check_nodes_there(self):
        """The nodes there are ready and their heartbeats are acknowledged."""
        for machine, (place, _) in zip(self.machines, self.layout, strict=True):
            if place == "east":
                status, _ = await call(machine.ports["readiness"], "/readiness")
                self.assertEqual(status, 200)
                status = await machine.upstream.send_heartbeat(
                    machine.ports["desk"], "ready"
                )
                self.assertEqual(status, 200)

    def check_return(self, returned_s, now):
        """Both upstreams there get requests again, and callers are served."""
        self.check_served(returned_s, now)
        for machine, (place, _) in zip(self.machines, self.layout, strict=True):
            if place == "east":
                self.assertGreater(machine.upstream.reached_s[-1], returned_s)
        names = {line["message"] for line in self.machines[0].read_lines()}
        self.assertLessEqual({"DATA_CENTRE_EVACUATED", "DATA_CENTRE_RETURNED"}, names)


class NowhereElseTests(EvacuationCase):
    """A data centre that alone has the unsharded service."""

    async def test_service_without_another_data_centre_is_refused_at_once(self):
        """After the bound, until the return; the other service is served elsewhere."""
        async with self.loaded():
            ordered_s = self.order("east")
            await asyncio.sleep(EVACUATED_S)
            now = asyncio.get_running_loop().time()
        self.assertEqual(self.list_reached_s("east", ordered_s + BOUND_S, now), [])
        self.check_served(ordered_s + SERVED_FROM_S, now, "desk")
        refused = self.list_answers(ordered_s + BOUND_S, now, "papers")
        self.assertTrue(refused)
        for answer in refused:
            self.assertEqual(answer.status, 503)
            self.assertIn("retry-after: 1", answer.detail)
        started_s = asyncio.get_running_loop().time()
        await self.machines[1].ask("/bills/1")
        self.assertLess(asyncio.get_running_loop().time() - started_s, 0.5)
        self.order("east", b"")
        await self.wait_for(self.is_unsharded_served)
        names = [line["message"] for line in self.machines[3].read_lines()]
        self.assertIn("SERVICE_EVACUATED", names)
