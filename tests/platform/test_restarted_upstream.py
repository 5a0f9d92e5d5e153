"""Tests of upstreams that crash and start again at once at the same address."""

import asyncio
import contextlib
import random

from standins.platformupstream import PlatformUpstream
from tests.platform.documents import build_manifest
from tests.platform.test_process import Machine, ProcessTestCase

SEED = 74
RESTARTS = 8
MIN_DOWN_S, MAX_DOWN_S = 0.02, 0.1
MIN_GAP_S, MAX_GAP_S = 0.5, 1.5
HEARTBEAT_S = 0.9
CALLERS = 6
WORK_S = 0.1
KEYS = range(0, 65_536, 128)


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

    @property
    def is_down(self):
        """Whether it has crashed and not started again."""
        return self._restart is not None and not self._restart.done()

    def _grant(self, document):
        response = super()._grant(document)
        if response.status == 200:
            keys = document["From"], document["To"]
            self.fences.note_grant(self.instance, *keys, document["fence"])
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
    """Real nodes beside upstreams that crash and are back within 0.1 s."""

    layout = (("east", "desk"), ("west", "desk"), ("south", "desk"))
    machine_type = RestartingMachine

    async def asyncSetUp(self):
        self.fences = CheckedUpstream.fences = Fences()
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
        rng = random.Random(SEED)
        callers = [
            asyncio.ensure_future(self.call(number)) for number in range(CALLERS)
        ]
        for _ in range(RESTARTS):
            upstream = rng.choice(self.machines).upstream
            upstream.down_s = rng.uniform(MIN_DOWN_S, MAX_DOWN_S)
            upstream.crash()
            await asyncio.sleep(rng.uniform(MIN_GAP_S, MAX_GAP_S))
        await self.wait_for(self.is_served)
        for caller in callers:
            caller.cancel()
        self.assertGreater(len(self.fences.lives), len(self.machines))
        self.assertEqual(self.fences.violations[:10], [])
