"""Property tests of papayatack.platform.lifetimes against who truly runs."""

import dataclasses
import random
import unittest

from papayatack.platform.lifetimes import (
    CONFIRMATION_S,
    Identity,
    Lifetime,
    Lifetimes,
)

SEEDS = 400
ADDRESS = "10.0.0.1:80"
STEP_S = 0.05
HEARTBEAT_S = 0.87
MAX_DELAY_S = 5.0
PLAYED_S = 30.0
SETTLED_S = 2.0
"""Time in which the running upstream must be known after the last disturbance."""


@dataclasses.dataclass
class Upstream:
    """One true lifetime of the upstream.

    Attributes:
        name: Its id.
        is_draining: Whether it reports that it drains.
        has_left: Whether its leaving was acknowledged.
        seq: Number of its last report.
        due_s: Time of its next report.
    """

    name: str
    is_draining: bool = False
    has_left: bool = False
    seq: int = 0
    due_s: float = 0.0


class World:
    """An upstream and its node, both restarted at random; reports may come late.

    Attributes:
        lifetimes: What the current process of the node has decided.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 0.0
        self.upstream = None
        self.starts = 0
        self.on_way = []
        self.away_until_s = 0.0
        self.left = set()
        self.lifetimes = self.build()
        self.start_upstream()

    def build(self):
        """Return what a new process of the node knows."""
        return Lifetimes(
            service="desk", address=ADDRESS, report_timeout_s=1.7 * HEARTBEAT_S
        )

    def start_upstream(self):
        """Start a new lifetime, which ends the last one."""
        self.starts += 1
        self.upstream = Upstream(name=f"i-{self.starts}", due_s=self.now)

    def disturb(self):
        """Play one random event."""
        event = self.random.choice(
            ("restart node", "crash", "drain", "deregister", "away", "release")
        )
        if event == "restart node":
            self.lifetimes = self.build()
        elif event == "crash":
            self.upstream = None
        elif event == "release":
            self.start_upstream()
        elif event == "away":
            self.away_until_s = self.now + 1.0
        elif self.upstream is not None and event == "drain":
            self.upstream.is_draining = True
        elif self.upstream is not None:
            self.upstream.is_draining = self.upstream.has_left = True
            self.left.add(self.upstream.name)
            self.lifetimes.note_departure(self.upstream.name, self.now)

    def step(self, *, is_late):
        """Advance the time; reports may be sent late."""
        self.now += STEP_S
        upstream = self.upstream
        if upstream is not None and not upstream.has_left:
            self.report(upstream, is_late=is_late)
        arrived = [item for item in self.on_way if item[0] <= self.now]
        self.on_way = [item for item in self.on_way if item[0] > self.now]
        for _, lifetime, seq in arrived:
            self.lifetimes.note_report(lifetime, seq, self.now)
        address = self.lifetimes.find_address_to_check(self.now)
        if address is not None:
            self.lifetimes.note_identity(self.ask(), address=address, now=self.now)
        self.probe()

    def report(self, upstream, *, is_late):
        """Send the next report if it is due."""
        if self.now < upstream.due_s:
            return
        upstream.due_s = self.now + HEARTBEAT_S
        upstream.seq += 1
        lifetime = Lifetime(
            instance=upstream.name,
            service="desk",
            address=ADDRESS,
            slots=13,
            leaving=upstream.is_draining,
        )
        is_delayed = is_late and self.random.random() < 0.4
        delay_s = self.random.random() * MAX_DELAY_S if is_delayed else 0.0
        self.on_way.append((self.now + delay_s, lifetime, upstream.seq))

    def ask(self):
        """Return what the health check answers."""
        if self.upstream is None or self.now < self.away_until_s:
            return None
        is_ready = not self.upstream.is_draining
        return Identity(instance=self.upstream.name, is_ready=is_ready, slots=13)

    def probe(self):
        """Find out that nothing listens."""
        if self.upstream is None and self.lifetimes.running is not None:
            self.lifetimes.note_end()

    def settle(self):
        """Let a last lifetime run undisturbed, while late reports still arrive."""
        if self.upstream is None or self.upstream.is_draining:
            self.start_upstream()
        self.away_until_s = self.now
        end_s = self.now + SETTLED_S
        while self.now < end_s:
            self.step(is_late=False)


class LifetimeScheduleTests(unittest.TestCase):
    """Random orders of reports, ends, departures and restarts of node and upstream."""

    def check_left(self, world):
        """Fail if an upstream that has left, or drains, counts as ready."""
        running = world.lifetimes.running
        if running is not None and not running.leaving:
            self.assertNotIn(running.instance, world.left)

    def check_running(self, world):
        """Fail unless the true upstream is in service."""
        running = world.lifetimes.running
        self.assertIsNotNone(running)
        self.assertEqual(running.instance, world.upstream.name)
        self.assertFalse(running.leaving)

    def test_late_reports_neither_displace_the_running_upstream_nor_revive_another(
        self,
    ):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                world = World(seed)
                while world.now < PLAYED_S:
                    if world.random.random() < 0.02:
                        world.disturb()
                    world.step(is_late=True)
                    self.check_left(world)
                world.settle()
                self.check_running(world)
                end_s = world.now + MAX_DELAY_S
                while world.now < end_s:
                    world.step(is_late=False)
                    self.check_running(world)

    def test_upstream_without_a_health_check_is_believed_after_a_time(self):
        world = World(1)
        world.away_until_s = 2 * CONFIRMATION_S
        while world.now < CONFIRMATION_S:
            world.step(is_late=False)
            self.assertIsNone(world.lifetimes.running)
        while world.now < CONFIRMATION_S + 2 * HEARTBEAT_S:
            world.step(is_late=False)
        self.check_running(world)
