"""Tests of upstreams that crash and start again at once at the same address.

To run more seeds by hand, with more crashes, give the first one and their number::

    python -m tests.platform.test_restarted_upstream 1 50
"""

import asyncio
import collections
import contextlib
import functools
import io
import random
import sys
import time
import unittest

from standins.platformupstream import MS_PER_S, PlatformUpstream
from tests.platform.documents import build_manifest
from tests.platform.test_process import Machine, ProcessTestCase

SEED = 74
RESTARTS = 8
DOWN_S = (0.0, 0.1)
GAP_S = (0.5, 1.5)
HARD_RESTARTS = 25
HARD_DOWN_S = (0.0, 0.05)
HARD_GAP_S = (0.3, 0.9)
HEARTBEAT_S = 0.9
HELD_TWICE_S = 0.5
WATCH_S = 0.02
STALL_S = 0.2
CALLERS = 6
WORK_S = 0.1
STEP = 128
KEYS = range(0, 65_536, STEP)


class Fences:
    """Fence numbers with which each life of an upstream had a key.

    Attributes:
        violations: Grants whose fence number isn't above all of other lives.
        lives: Lives that were granted a key.
    """

    def __init__(self):
        self.violations = []
        self.lives = set()
        self._taken = {key: {} for key in KEYS}

    def reset(self):
        """Begin anew with what is granted from now on."""
        self.violations.clear()
        self.lives.clear()

    def note_grant(self, life, first, last, fence):
        """Check a grant that a life takes."""
        self.lives.add(life)
        for key in KEYS:
            if first <= key <= last:
                self._check_key(life, key, fence)

    def _check_key(self, life, key, fence):
        taken = self._taken[key]
        for other, known in taken.items():
            if other != life and known >= fence:
                self.violations.append(
                    f"key {key} went to {life} with {fence}; {other} had {known}"
                )
        taken[life] = max(fence, taken.get(life, 0))


class CheckedUpstream(PlatformUpstream):
    """An upstream whose grants are checked.

    Attributes:
        fences: The check.
    """

    fences = None
    _life = 0

    def __init__(self, **fields):
        self._at_work = set()
        super().__init__(**fields)

    @property
    def is_down(self):
        """Whether it has crashed and not started again."""
        return self._restart is not None and not self._restart.done()

    @property
    def life(self):
        """Name of its life, also where lives have the same id."""
        return f"{self._first_instance} life {self._life}"

    def list_held_keys(self, now):
        """Return those of ``KEYS`` that it holds."""
        return {
            key
            for grant in self.grants.values()
            if now < grant.until_s
            for key in range(-(-grant.first // STEP) * STEP, grant.last + 1, STEP)
        }

    def crash(self):
        """End all that it does at once, and start again after ``down_s``."""
        if self.is_down:
            return
        self._life += 1
        for work in self._at_work:
            work.cancel()
        self.grants.clear()
        super().crash()

    def _build_server(self, port):
        server = super()._build_server(port)
        server.handler = functools.partial(self._handle_in_life, self._life)
        return server

    async def _handle_in_life(self, life, request):
        """Handle a request unless the life that it was sent to has ended."""
        if life != self._life:
            await asyncio.get_running_loop().create_future()
        work = asyncio.ensure_future(self._handle(request))
        self._at_work.add(work)
        work.add_done_callback(self._at_work.discard)
        return await work

    def _grant(self, document):
        response = super()._grant(document)
        if response.status == 200:
            keys = document["From"], document["To"]
            self.fences.note_grant(self.life, *keys, document["fence"])
        return response


class RestartingMachine(Machine):
    """A machine whose upstream sends heartbeats at long intervals."""

    def __init__(self, **fields):
        super().__init__(**fields)
        self.upstream = CheckedUpstream(
            instance=self.upstream.instance,
            service=self.upstream.service,
            place=fields["place"],
        )

    async def _report(self):
        while True:
            if not self.upstream.is_down:
                with contextlib.suppress(OSError, TimeoutError):
                    await self.upstream.send_heartbeat(self.ports["desk"], "ready")
            await asyncio.sleep(HEARTBEAT_S)


class RestartTests(ProcessTestCase):
    """Real nodes beside upstreams that crash and are back within 0.1 s.

    Attributes:
        seed: Seed of the crashes.
        restarts: Number of crashes.
        down_s: Shortest and longest time for which an upstream is away.
        gap_s: Shortest and longest time between crashes.
    """

    seed = SEED
    restarts = RESTARTS
    down_s = DOWN_S
    gap_s = GAP_S
    layout = (("east", "desk"), ("west", "desk"), ("south", "desk"))
    machine_type = RestartingMachine

    async def asyncSetUp(self):
        self.fences = CheckedUpstream.fences = Fences()
        self.held_twice = {}
        await super().asyncSetUp()
        self.store.store.append("keyed.op", b"config", build_manifest())
        await self.wait_for(self.is_served)

    async def call(self, number):
        """Send requests, one after the other, until cancelled."""
        rng = random.Random(number)
        while True:
            with contextlib.suppress(OSError, TimeoutError, IndexError):
                await rng.choice(self.machines).ask(
                    f"/orders/1?work={WORK_S}", key=rng.randrange(65_536)
                )
            await asyncio.sleep(0.01)

    async def test_next_life_gets_no_grant_of_the_last(self):
        """Its keys come with fence numbers above those of the life before."""
        await self.restart_upstreams()
        self.assertEqual(self.fences.violations[:10], [])

    async def test_next_life_with_the_same_id_gets_no_grant_of_the_last(self):
        """Only the time of its start tells it from the life before."""
        for machine in self.machines:
            machine.upstream.keeps_id = True
            machine.upstream.born_ms = int(time.time() * MS_PER_S)
        await asyncio.sleep(2 * HEARTBEAT_S)
        await self.wait_for(self.is_served)
        self.fences.reset()
        await self.restart_upstreams()
        self.assertEqual(self.fences.violations[:10], [])

    async def restart_upstreams(self):
        """Have upstreams crash, and check that no key is held by two for long."""
        rng = random.Random(self.seed)
        watch = asyncio.ensure_future(self.watch_holders())
        callers = [
            asyncio.ensure_future(self.call(number)) for number in range(CALLERS)
        ]
        for _ in range(self.restarts):
            upstream = rng.choice(self.machines).upstream
            upstream.down_s = rng.uniform(*self.down_s)
            upstream.crash()
            await asyncio.sleep(rng.uniform(*self.gap_s))
        await self.wait_for(self.is_served)
        for caller in callers:
            caller.cancel()
        watch.cancel()
        self.assertGreater(len(self.fences.lives), len(self.machines))
        self.assertEqual(self.held_twice, {})
        ended = [machine.process.returncode for machine in self.machines]
        self.assertEqual(ended, [None] * len(self.machines))

    async def watch_holders(self):
        """Note for how long keys are held by two upstreams, if over half a second."""
        loop = asyncio.get_running_loop()
        since_s = {}
        last_s = loop.time()
        while True:
            now = loop.time()
            if now - last_s > STALL_S:
                since_s.clear()  # grants were taken late, as this process stood still
            last_s = now
            holders = collections.defaultdict(list)
            for machine in self.machines:
                for key in machine.upstream.list_held_keys(now):
                    holders[key].append(machine.upstream.life)
            since_s = {
                key: since_s.get(key, now)
                for key, lives in holders.items()
                if len(lives) > 1
            }
            for key, began_s in since_s.items():
                if now - began_s > HELD_TWICE_S:
                    self.held_twice[key] = (now - began_s, holders[key])
            await asyncio.sleep(WATCH_S)


def run_seeds(first, count):
    """Run the tests with each seed and more crashes; print which ones failed."""
    names = unittest.TestLoader().getTestCaseNames(RestartTests)
    RestartTests.restarts = HARD_RESTARTS
    RestartTests.down_s = HARD_DOWN_S
    RestartTests.gap_s = HARD_GAP_S
    for seed in range(first, first + count):
        RestartTests.seed = seed
        suite = unittest.TestSuite(RestartTests(name) for name in names)
        result = unittest.TextTestRunner(stream=io.StringIO()).run(suite)
        print(f"seed {seed}: {'ok' if result.wasSuccessful() else 'failed'}")
        for test, text in result.failures + result.errors:
            print(test.id(), text, sep="\n")


if __name__ == "__main__":
    run_seeds(*map(int, sys.argv[1:3]))
