"""Tests of requests that end each upstream that runs them."""

import asyncio
import itertools
import json

from standins.fleet import call
from tests.platform.documents import build_manifest
from tests.platform.test_process import ProcessTestCase

STABLE_S = 3.0
ALLOWED_LATER = 3
MAX_CRASHES = 3
RECOVERED_S = 2.5
"""Time from a crash until its upstream and its keys are back."""

SERVED_SHARE = 0.95
WATCHED_S = 12.0
CRASHING_INTERVAL_S = 0.3
OTHER_INTERVAL_S = 0.04
SAME_KEY = 7
RUN_S = 0.02
LIMIT_MS = 1_000


def build_routes():
    """Return routes to a service with keys and to one without."""
    base = json.loads(build_manifest())["Routes"]["pages"]
    del base["TrafficSplit"]
    return {
        "pages": {**base, "Service": "desk"},
        "papers": {**base, "Service": "papers", "PathPrefix": "/papers/"},
    }


class CrashingRequestTestCase(ProcessTestCase):
    """Three nodes each of a service with keys and of one without."""

    layout = tuple(
        (place, service)
        for service in ("desk", "papers")
        for place in ("east", "west", "south")
    )

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for machine in self.machines:
            machine.upstream.work_s = RUN_S
            machine.upstream.crash_target = b"crash"
        self.store.store.append(
            "keyed.op", b"config", build_manifest(Routes=build_routes())
        )
        self.numbers = itertools.count()
        self.statuses = []
        await self.wait_for(self.is_served)
        await self.wait_for(self.serves_papers)

    async def serves_papers(self):
        """Return whether each node serves the service without keys."""
        asked = [self.ask("/papers/1", None) for _ in self.machines]
        return set(await asyncio.gather(*asked)) == {200}

    async def ask(self, path, key):
        """Send a request from the next machine; return its status, 0 for none."""
        number = next(self.numbers)
        try:
            status, _, _ = await self.machines[number % len(self.machines)].ask(
                path, key=key, request_id=f"r{number}", deadline_ms=LIMIT_MS
            )
        except (OSError, TimeoutError, IndexError):
            return 0
        return status

    async def ask_others(self, path, keys):
        """Ask for one path and record when it was served."""
        loop = asyncio.get_running_loop()
        asked_s = loop.time()
        self.statuses.append((path, asked_s, await self.ask(path, next(keys))))

    async def send(self, interval_s, start):
        """Start requests at an interval for ``WATCHED_S``, and wait for all."""
        loop = asyncio.get_running_loop()
        tasks = []
        for number in range(int(WATCHED_S / interval_s)):
            tasks.append(loop.create_task(start(number)))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)

    def list_times_s(self, service, name):
        """Return the times that the upstreams of a service have noted, in order."""
        return sorted(
            time_s
            for machine in self.machines
            if machine.upstream.service == service
            for time_s in getattr(machine.upstream, name)
        )

    def find_share(self, path, after_s):
        """Return the share of the requests for a path that were served."""
        found = [
            status == 200
            for asked_path, asked_s, status in self.statuses
            if asked_path == path and asked_s > after_s
        ]
        return sum(found) / max(1, len(found))


class CrashingRequestTests(CrashingRequestTestCase):
    """The same request comes again and again, at all machines."""

    async def test_request_that_crashes_its_upstreams_stops_reaching_them(self):
        keys = itertools.cycle(range(0, 65_536, 4_096))
        same = itertools.repeat(SAME_KEY)
        others = (
            ("/pages/other", keys),
            ("/pages/same-key", same),
            ("/papers/other", itertools.repeat(None)),
        )
        crashing = (("/pages/crash?id=9", SAME_KEY), ("/papers/crash", None))
        await asyncio.gather(
            self.send(
                CRASHING_INTERVAL_S,
                lambda number: self.ask(*crashing[number % 2]),
            ),
            self.send(
                OTHER_INTERVAL_S, lambda number: self.ask_others(*others[number % 3])
            ),
        )
        last_s = max(map(self.check_crashes, ("desk", "papers")))
        for path, _ in others:
            share = self.find_share(path, last_s + RECOVERED_S)
            self.assertGreaterEqual(share, SERVED_SHARE, path)

    async def is_refused(self):
        """Return whether each running node refuses the crashing request."""
        for machine in self.machines:
            _, head, _ = await machine.ask("/papers/crash")
            if "papayatack-error: request-quarantined" not in head:
                return False
        return True

    async def call_operators(self, port, target, method="GET", body=b""):
        """Return the document of an answer of a node's operators' endpoint."""
        _, answer = await call(port, target, method=method, body=body)
        return json.loads(answer.partition(b"\r\n\r\n")[2])

    def count_runs(self):
        """Return how often the crashing request ran."""
        return len(self.list_times_s("papers", "crashing_runs_s"))

    async def test_refused_request_stays_refused_after_all_nodes_restart_until_lifted(
        self,
    ):
        await self.wait_for(self.is_refused)
        runs = self.count_runs()
        for machine in self.machines:
            machine.process.kill()
        for machine in self.machines:
            await machine.process.wait()
            await machine.start_node()
        await self.wait_for(self.serves_papers)
        self.assertTrue(await self.is_refused())
        self.assertEqual(self.count_runs(), runs)
        operators = [machine.ports["operators"] for machine in self.machines]
        suspects = await self.call_operators(operators[0], "/quarantine")
        names = [
            item["fingerprint"] for item in suspects["suspects"] if item["is_refused"]
        ]
        body = json.dumps({"fingerprints": names}).encode()
        lifted = await self.call_operators(operators[1], "/lift", "POST", body)
        self.assertEqual(lifted, {"lifted": names, "unknown": []})
        await self.wait_for(self.serves_papers)
        await self.ask("/papers/crash", None)
        self.assertGreater(self.count_runs(), runs)

    def check_crashes(self, service):
        """Check the crashes of a service's upstreams; return when the last one was."""
        crashes_s = self.list_times_s(service, "crashes_s")
        runs_s = self.list_times_s(service, "crashing_runs_s")
        third_s = crashes_s[2] if len(crashes_s) > 2 else float("inf")
        later_s = [run_s for run_s in runs_s if run_s > third_s + STABLE_S]
        self.assertLessEqual(len(later_s), ALLOWED_LATER, service)
        self.assertLessEqual(len(crashes_s), MAX_CRASHES, service)
        self.assertGreater(len(crashes_s), 0, service)
        return crashes_s[-1]
