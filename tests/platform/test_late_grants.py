"""Random faults on real processes whose grants reach their upstreams late.

To run more plays by hand, give the first seed, their number and seconds of faults::

    python -m tests.platform.test_late_grants 1 20 30
"""

import asyncio
import contextlib
import random
import signal
import sys
import tempfile
import time
import unittest

from standins.platformstore import StoreServer
from tests.fakes.grantrecords import KEYS, GrantRecords, Hold, RecordingUpstream
from tests.network.slow_relay import SlowRelay
from tests.platform.documents import build_manifest
from tests.platform.test_process import LIMIT_S, POLL_S, Machine

PLACES = ("east", "west", "south", "east")
SEED = 1
FAULTS_S = 12.0
SETTLE_S = 4.0
REQUESTS_PER_S = 25
THROTTLE_S = (0.03, 0.07)
"""Time for which a throttled process runs, and for which it then stands still."""


class LateMachine(Machine):
    """A machine whose node reaches its upstream through a slow relay."""

    def __init__(self, *, records, **fields):
        super().__init__(**fields)
        self.relay = SlowRelay()
        self.is_stopped = False
        self._starting = asyncio.Lock()
        self.upstream = RecordingUpstream(
            relay=self.relay,
            records=records,
            instance=self.upstream.instance,
            service=self.upstream.service,
            place=fields["place"],
        )
        self.upstream.keeps_id = True
        self.upstream.born_ms = int(time.time() * 1000)

    async def start(self):
        """Start the relay, the upstream and the node."""
        await self.relay.start()
        await super().start()

    async def stop(self):
        """Stop all."""
        await super().stop()
        self.relay.stop()

    async def restart(self):
        """Start the node unless it runs."""
        async with self._starting:
            if self.process.returncode is not None:
                await self.start_node()

    @property
    def runs(self):
        """Whether the node's process runs and isn't stopped."""
        return self.process.returncode is None and not self.is_stopped

    def pause(self):
        """Stop the node's process."""
        self.process.send_signal(signal.SIGSTOP)
        self.is_stopped = True

    def resume(self):
        """Let the node's process go on."""
        self.is_stopped = False
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)


class Play:
    """One random play.

    Attributes:
        records: What the upstreams held.
        events: Time and description of each fault.
        answers: Number of answers by status.
    """

    def __init__(self, *, seed, faults_s):
        self.records = GrantRecords()
        self.events = []
        self.answers = {}
        self.machines = []
        self._random = random.Random(f"late grants {seed}")
        self._faults_s = faults_s
        self._tasks = set()

    async def run(self):
        """Run the play; return the violations."""
        async with contextlib.AsyncExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            self._store = store = StoreServer()
            await store.start()
            stack.push_async_callback(store.stop)
            store.store.append("keyed.op", b"config", build_manifest())
            for number, place in enumerate(PLACES):
                machine = LateMachine(
                    records=self.records,
                    folder=folder,
                    place=place,
                    service="desk",
                    store_port=store.port,
                    number=number,
                )
                self.machines.append(machine)
                await machine.start()
                stack.push_async_callback(machine.stop)
            await self._wait_until_served()
            requests = [asyncio.ensure_future(self._send(one)) for one in self.machines]
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._faults_s):
                    await self._disturb()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await asyncio.sleep(SETTLE_S)
            for task in requests:
                task.cancel()
            self.lines = [
                (machine.upstream.instance, line)
                for machine in self.machines
                for line in machine.read_lines()
                if line["message"] == "GRANT_LATE"
            ]
        return self.records.list_violations()

    async def _wait_until_served(self):
        async with asyncio.timeout(LIMIT_S):
            for machine in self.machines:
                for key in (0, 30_000, 65_535):
                    while await self._ask(machine, key) != 200:
                        await asyncio.sleep(POLL_S)

    async def _ask(self, machine, key):
        try:
            status, _, _ = await machine.ask("/orders/1", key=key)
        except (OSError, TimeoutError, IndexError):
            status = 0
        self.answers[status] = self.answers.get(status, 0) + 1
        return status

    async def _send(self, machine):
        """Send requests for random keys to a node."""
        while True:
            await asyncio.sleep(self._random.expovariate(REQUESTS_PER_S))
            if machine.runs:
                key = self._random.choice(KEYS)
                self._start(self._ask(machine, key))

    def _start(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _disturb(self):
        while True:
            machine = self._random.choice(self.machines)
            fault = self._random.choice(FAULTS)
            if machine.runs:
                self._note(machine, fault.__name__)
                self._start(fault(self, machine))
            await asyncio.sleep(self._random.choice([0.05, 0.3, 0.8, 2.0]))

    def _note(self, machine, text):
        now = asyncio.get_running_loop().time()
        self.events.append((now, machine.upstream.instance, text))

    async def delay(self, machine):
        """Hold the bytes to the upstream back."""
        machine.relay.delay_s = self._random.choice([0.1, 0.2, 0.5, 1.0, 2.0, 3.0])
        self._note(machine, f"delay {machine.relay.delay_s}")
        await asyncio.sleep(self._random.choice([0.2, 0.7, 2.0, 4.0]))
        machine.relay.delay_s = 0.0

    async def kill(self, machine):
        """Kill the node and start it again."""
        machine.process.kill()
        await machine.process.wait()
        await asyncio.sleep(self._random.choice([0.0, 0.5, 3.0, 4.0, 6.0]))
        await machine.restart()

    async def delay_and_kill(self, machine):
        """Kill the node while its calls are on their way."""
        machine.relay.delay_s = self._random.choice([0.1, 0.25, 0.5, 1.0, 3.0])
        await asyncio.sleep(self._random.random())
        if machine.runs:
            await self.kill(machine)
        machine.relay.delay_s = 0.0

    async def pause(self, machine):
        """Stop the node's process for a while."""
        stopped_s = asyncio.get_running_loop().time()
        machine.upstream.stopped.append((stopped_s, float("inf")))
        machine.pause()
        await asyncio.sleep(self._random.choice([0.2, 0.6, 1.5, 3.0, 4.0]))
        machine.resume()
        now = asyncio.get_running_loop().time()
        machine.upstream.stopped[-1] = (stopped_s, now)

    async def throttle(self, machine):
        """Give the node's process the processor for a third of the time."""
        run_s, stand_s = THROTTLE_S
        end_s = asyncio.get_running_loop().time() + 3.0
        while asyncio.get_running_loop().time() < end_s and machine.runs:
            machine.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(stand_s)
            if machine.process.returncode is None and not machine.is_stopped:
                machine.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(run_s)

    async def end(self, machine):
        """Let the node end in order and start it again."""
        machine.process.send_signal(signal.SIGTERM)
        await machine.process.wait()
        await machine.restart()

    async def crash_upstream(self, machine):
        """End the upstream, which starts again."""
        machine.upstream.down_s = self._random.choice([0.1, 0.5, 1.5])
        late = machine.upstream.last_heartbeat
        machine.upstream.crash()
        for _ in range(6):
            await asyncio.sleep(0.5)
            if late is not None and machine.runs:
                late["Status"]["Seq"] += 1
                await machine.upstream.post_heartbeat(machine.ports["desk"], late)

    async def restart_both(self, machine):
        """Kill the node, and crash the upstream while it starts again."""
        machine.process.kill()
        await machine.process.wait()
        await machine.restart()
        await self.crash_upstream(machine)

    async def slow_store(self, machine):
        """Let the store answer slowly."""
        self._store.delay_s = self._random.choice([0.3, 1.2])
        await asyncio.sleep(self._random.choice([1.0, 3.0]))
        self._store.delay_s = 0.0


FAULTS = (
    Play.delay,
    Play.delay,
    Play.kill,
    Play.delay_and_kill,
    Play.delay_and_kill,
    Play.pause,
    Play.throttle,
    Play.end,
    Play.crash_upstream,
    Play.restart_both,
    Play.slow_store,
)


class GrantRecordTests(unittest.TestCase):
    """The checks of what upstreams hold can fail."""

    def check(self, *others, token=9):
        """Return the rules that holds of a second upstream break."""
        records = GrantRecords()
        first = Hold(
            token=8, since_s=0.0, until_s=2.0, prompt_until_s=2.0, counted_until_s=2.0
        )
        first.begun_s = [1.7]
        records.holds["i-0", 0] = [first]
        records.check_token("i-1", 0, token, is_late=False)
        records.holds["i-1", 0] = [
            Hold(
                token=token + number,
                since_s=since_s,
                until_s=until_s,
                prompt_until_s=until_s,
                counted_until_s=until_s,
                begun_s=begun_s,
            )
            for number, (since_s, until_s, begun_s) in enumerate(others)
        ]
        return [rule for rule, _, _ in records.list_violations()]

    def test_holds_that_overlap_for_long_are_found(self):
        """Also if one consists of several with different tokens."""
        self.assertEqual(self.check((1.6, 4.0, [])), [])
        self.assertEqual(self.check((1.4, 4.0, [])), ["held twice"])
        self.assertEqual(self.check((1.4, 1.7, []), (1.7, 4.0, [])), ["held twice"])

    def test_requests_that_begin_at_both_are_found(self):
        """However short the time is in which both hold the key."""
        self.assertEqual(self.check((1.6, 4.0, [1.9])), ["begun twice"])
        self.assertEqual(self.check((1.6, 4.0, [2.1])), [])

    def test_token_that_is_not_above_all_others_is_found(self):
        """Also if nobody holds the key any more."""
        self.assertEqual(self.check((3.0, 4.0, []), token=8), ["token"])


class LateGrantTests(unittest.IsolatedAsyncioTestCase):
    """Exclusive ownership although grants reach upstreams late."""

    async def test_no_two_upstreams_hold_the_same_keys(self):
        """Neither for long, nor both with requests, nor with an older token."""
        play = Play(seed=SEED, faults_s=FAULTS_S)
        found = await play.run()
        self.assertEqual(found, [], play.events)
        self.assertGreater(play.answers.get(200, 0), 0)


def main(first, count, faults_s):
    """Run plays by hand; print what each found."""
    for seed in range(first, first + count):
        play = Play(seed=seed, faults_s=faults_s)
        found = asyncio.run(play.run())
        records = play.records
        rules = {}
        for rule, _, _ in found:
            rules[rule] = rules.get(rule, 0) + 1
        print(
            f"seed {seed}: {rules}; {records.grants} grants, {records.late} late,"
            f" {records.begun} begun, {records.count_moves()} moves,"
            f" {len(records.late_tokens)} late tokens,"
            f" {len(play.lines)} GRANT_LATE; {play.answers}",
            flush=True,
        )
        for violation in found[:3]:
            print("   ", *violation)
        if found:
            for event in play.events:
                print("   ", *event)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]))
