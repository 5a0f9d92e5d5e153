"""Plays of real nodes that lose some of their number, soon after trouble of the store.

``python -m tests.fakes.config_plays 0 10`` plays the seeds from 0 to 9, one after the
other, and prints what each gives. Logs of a seed with faults are kept.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import pathlib
import random
import shutil
import sys
import tempfile

from tests.fakes.config_answers import (
    Answer,
    Change,
    History,
    find_faults,
    list_delays,
)
from tests.fakes.process_fleet import ProcessFleet
from tests.platform.documents import build_large_manifest, build_manifest

__all__ = ["STORE_TROUBLES", "ConfigPlay", "Episode", "describe_fault", "play_episodes"]

STORE_TROUBLES = {
    "none": {},
    "slow": {"delay_s": 1.2},
    "silent": {"is_silent": True},
    "refused": {"refuse_with": 503},
}
"""How the store is disturbed, by name."""

WAYS = ("kill", "stop", "cut")
NODES = 12
VICTIMS_SHARE = 2 / 3
CALM_S = 3.5
"""Time before the first trouble, and after the last, in which all is undisturbed."""

WATCHED_S = 3.0
"""Time for which a change is watched while nodes are disturbed."""

MAX_STARTS = 3
ASK_INTERVAL_S = 0.08
ANSWER_LIMIT_S = 2.0
DEADLINE_MS = 1500
LARGE_ROUTES = 1_500
FIRST_VERSION = 12
VERSION_STEP = 16
INVALID_STEPS = 10
"""Steps by which an invalid manifest's version is ahead of all others."""

MOVING_SERVICES = ("papers", "sheets")
SERVICES = ("desk", *MOVING_SERVICES)
HOST = "shop.example"
TRACED_EVENTS = (
    "CONFIGURATION_AGED",
    "CONFIGURATION_IN_FORCE",
    "OLD_CONFIGURATION_ACCEPTED",
    "LOG_RECORD_SKIPPED",
    "LOG_UNAVAILABLE",
    "LOG_AVAILABLE",
    "LOOP_STALLED",
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Episode:
    """Trouble of the store, a pause, and a change beside a disturbance of nodes.

    Attributes:
        trouble: Name of the trouble in :data:`STORE_TROUBLES`.
        trouble_s: How long it lasts.
        pause_s: Time from its end to the change.
        ways: How nodes are disturbed, in turn; the first is that of the node that reads
            the store for all others.
        victims: Number of nodes that are disturbed.
        changes: Number of changes from that moment on, in series.
        between_s: Time between these.
        changes_in_trouble: Whether there is also one amid the trouble of the store.
        is_invalid_stored: Whether an invalid manifest precedes the last change.
        added: Nodes that start at the moment of the change.
        is_struck_early: Whether nodes are disturbed amid the trouble of the store.
        strikes_each: Whether before each further change the node that reads the store
            for all by then is disturbed too.
        is_mended: Whether the disturbances end.
    """

    trouble: str = "none"
    trouble_s: float = 4.0
    pause_s: float = CALM_S
    ways: tuple[str, ...] = ("kill",)
    victims: int = 0
    changes: int = 1
    between_s: float = 0.5
    changes_in_trouble: bool = False
    is_invalid_stored: bool = False
    added: int = 0
    is_struck_early: bool = False
    strikes_each: bool = False
    is_mended: bool = True


def build_numbered_manifest(number, *, invalid=0, routes=0):
    """Return a manifest that adds a route for each number and moves one.

    Args:
        number: Rises by one with each.
        invalid: Number of an invalid manifest that adds a route which no other has.
        routes: Number of further routes.
    """
    document = json.loads(build_manifest())
    others = json.loads(build_large_manifest(version="0", routes=routes))["Routes"]
    moving = MOVING_SERVICES[number % len(MOVING_SERVICES)]
    targets = {"first": "papers", "moving": moving}
    targets |= {f"added-{added}": "papers" for added in range(1, number + 1)}
    targets |= {f"invalid-{invalid}": "papers"} if invalid else {}
    pages = document["Routes"]["pages"]
    pages = {name: pages[name] for name in pages if name != "TrafficSplit"}
    version = FIRST_VERSION + VERSION_STEP * (number + bool(invalid) * INVALID_STEPS)
    document["Version"] = f"{version:08x}"
    document["Routes"] = others | {
        name: pages | {"PathPrefix": f"/{name}/", "Service": service}
        for name, service in targets.items()
    }
    plain = document["Services"]["papers"]
    document["Services"] |= dict.fromkeys(MOVING_SERVICES, plain)
    if invalid:
        document["Routes"]["odd"] = pages | {"Timeout": "soon"}
    return json.dumps(document).encode()


class ConfigPlay:
    """A fleet whose nodes are asked all the time which configuration they serve.

    Args:
        folder: Where logs of the nodes are written.
        random: Chooses nodes.
        routes: Number of routes that are in each configuration beside those asked for.
    """

    def __init__(self, *, folder, random, routes=0):
        self.fleet = ProcessFleet(folder=folder)
        self.history = History(store_spans=self.fleet.spans, stalls=self.fleet.stalls)
        self._random = random
        self._routes = routes
        self._number = 0
        self._invalid = 0
        self._asking = []
        self._requests = 0
        self._struck = []

    async def start(self, nodes):
        """Start nodes and wait until they are settled."""
        self.store_change()
        await self.fleet.start(nodes)
        await self.fleet.wait_served("/first/1")
        self._ask_all(self.fleet.machines)
        await asyncio.sleep(CALM_S)

    async def stop(self):
        """Stop everything; return the faults."""
        for task in self._asking:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*self._asking)
        await self.fleet.stop()
        return find_faults(self.history)

    def store_change(self):
        """Store the next configuration."""
        self._number += 1
        manifest = build_numbered_manifest(self._number, routes=self._routes)
        stored_s = self.fleet.store_config(manifest)
        service = MOVING_SERVICES[self._number % len(MOVING_SERVICES)]
        change = Change(number=self._number, service=service, stored_s=stored_s)
        self.history.changes.append(change)

    def store_invalid(self):
        """Store an invalid configuration."""
        self._invalid += 1
        manifest = build_numbered_manifest(
            self._number, invalid=self._invalid, routes=self._routes
        )
        self.fleet.store_config(manifest)

    def _ask_all(self, machines):
        for machine in machines:
            self.history.node_spans[machine.number] = machine.spans
            self._asking.append(asyncio.ensure_future(self._ask_always(machine)))

    async def _ask_always(self, machine):
        """Ask one node for the newest route and, in turn, for the others."""
        seen = 0
        turns = 0
        await asyncio.sleep(self._random.random() * ASK_INTERVAL_S)
        while True:
            turns += 1
            others = (("moving", 0), ("first", 0), ("added", max(1, seen)))
            others += (("invalid", self._invalid),) if self._invalid else ()
            asked = (("added", self._number), others[turns % len(others)])
            for kind, number in asked:
                answer = await self._ask(machine, kind, number)
                if answer is not None and kind == "added" and answer.status != 404:
                    seen = number
            await asyncio.sleep(ASK_INTERVAL_S)

    async def _ask(self, machine, kind, number):
        """Ask for one route; keep the answer unless the node knows no configuration."""
        loop = asyncio.get_running_loop()
        life = machine.life
        self._requests += 1
        request_id = f"{kind}-{number}-{machine.number}-{self._requests}"
        name = f"{kind}-{number}" if number else kind
        sent_s = loop.time()
        try:
            status, head, body = await machine.ask(
                f"/{name}/1",
                request_id=request_id,
                deadline_ms=DEADLINE_MS,
                limit_s=ANSWER_LIMIT_S,
            )
        except (OSError, TimeoutError, IndexError, ValueError):
            return None
        if "papayatack-error: config-stale" in head:
            return None
        is_signed = "papayatack-response-signature" in head
        answer = Answer(
            node=machine.number,
            life=life,
            asked=kind,
            number=number,
            request_id=request_id,
            sent_s=sent_s,
            ended_s=loop.time(),
            status=status,
            service=self._find_service(body) if is_signed else "",
        )
        self.history.answers.append(answer)
        return answer

    def _find_service(self, body):
        instance = body.split()[0] if body else ""
        return next(
            (
                machine.upstream.service
                for machine in self.fleet.machines
                if machine.upstream.instance == instance
            ),
            "",
        )

    async def play(self, episode):
        """Play an episode up to the end of all its disturbances."""
        self._struck = []
        await self._trouble_store(episode)
        await asyncio.sleep(episode.pause_s)
        if not episode.is_struck_early:
            self._strike(episode)
        adding = asyncio.ensure_future(self._add(episode.added))
        await self._store_series(episode)
        await asyncio.sleep(WATCHED_S)
        await adding
        if episode.is_mended:
            await asyncio.gather(*(machine.mend(way) for machine, way in self._struck))
            await asyncio.sleep(CALM_S)

    async def _trouble_store(self, episode):
        attributes = STORE_TROUBLES[episode.trouble]
        if attributes:
            self.fleet.trouble_store(**attributes)
        await asyncio.sleep(episode.trouble_s / 2)
        if episode.is_struck_early:
            self._strike(episode)
        if episode.changes_in_trouble:
            self.store_change()
        await asyncio.sleep(episode.trouble_s / 2)
        if attributes:
            self.fleet.mend_store()

    async def _add(self, nodes):
        self._ask_all(await self.fleet.add(nodes))

    def _strike(self, episode):
        """Disturb the node that reads for all, then others, in turn in each way."""
        if episode.victims:
            self._strike_planner(episode.ways[0])
        left = self._list_undisturbed()
        count = min(max(episode.victims - 1, 0), len(left) - 1)
        ways = itertools.cycle(episode.ways[1:] + episode.ways[:1])
        for machine in self._random.sample(left, count):
            self._strike_one(machine, next(ways))

    def _list_undisturbed(self):
        struck = [machine for machine, _ in self._struck]
        running = [machine for machine in self.fleet.machines if machine.is_running]
        return [machine for machine in running if machine not in struck]

    def _strike_planner(self, way):
        left = self._list_undisturbed()
        if len(left) > 1:
            self._strike_one(self.fleet.find_planner(left), way)

    def _strike_one(self, machine, way):
        machine.strike(way)
        self._struck.append((machine, way))

    async def _store_series(self, episode):
        for at in range(episode.changes):
            if at:
                await asyncio.sleep(episode.between_s)
            if at and episode.strikes_each:
                self._strike_planner(self._random.choice(episode.ways))
            if at == episode.changes - 1 and episode.is_invalid_stored:
                self.store_invalid()
                await asyncio.sleep(episode.between_s)
            self.store_change()


async def play_episodes(episodes, *, seed, folder, nodes=NODES, routes=0):
    """Return what happened in episodes one after the other, and the faults."""
    play = await _start(seed=seed, folder=folder, nodes=nodes, routes=routes)
    try:
        for episode in episodes:
            await play.play(episode)
    finally:
        faults = await play.stop()
    return play, faults


async def _start(*, seed, folder, nodes, routes):
    """Return a play that has begun; other programs may take ports of a first one."""
    for _ in range(MAX_STARTS):
        play = ConfigPlay(folder=folder, random=random.Random(seed), routes=routes)
        try:
            await play.start(nodes)
        except ChildProcessError:
            await play.stop()
        else:
            return play
    raise ChildProcessError("nodes end as they start")


def describe_fault(play, fault):
    """Return a line on a fault."""
    answer = fault.answer
    at_s = answer.sent_s + play.fleet.clock_offset_s
    own = ", the asking process stood still meanwhile" if fault.is_own else ""
    return (
        f"{fault.kind}: {answer.asked}-{answer.number} at node {answer.node} life"
        f" {answer.life}, sent {at_s:.3f}, {fault.delay_s:.2f} s after, status"
        f" {answer.status} {answer.service}, id {answer.request_id}{own}"
    )


def list_traces(play, fault):
    """Return the log lines of a fault's node that may explain it."""
    lines = play.fleet.machines[fault.answer.node].read_lines()
    return [
        json.dumps(line)
        for line in lines
        if line.get("message") in TRACED_EVENTS
        or line.get("request") == fault.answer.request_id
    ]


def draw_episode(rng, nodes):
    """Return a random episode."""
    return Episode(
        trouble=rng.choice(("slow", "slow", "silent", "silent", "refused", "none")),
        trouble_s=rng.choice((4.0, 6.0)),
        pause_s=rng.choice((0.0, rng.uniform(0, 15), 3.5, rng.uniform(2.5, 6))),
        ways=tuple(rng.sample(WAYS, rng.randint(1, len(WAYS)))),
        victims=rng.choice((0, 1, 2, nodes * 2 // 3, nodes * 2 // 3)),
        changes=rng.choice((1, 1, 2, 4)),
        between_s=rng.choice((0.1, 0.5, 1.5)),
        changes_in_trouble=rng.random() < 0.3,
        is_invalid_stored=rng.random() < 0.3,
        added=rng.choice((0, 0, 0, 2)),
        is_struck_early=rng.random() < 0.2,
        strikes_each=rng.random() < 0.3,
    )


async def _play_seed(seed, folder, nodes):
    rng = random.Random(seed)
    episodes = [draw_episode(rng, nodes) for _ in range(2)]
    routes = rng.choice((0, LARGE_ROUTES))
    play, faults = await play_episodes(
        episodes, seed=seed, folder=folder, nodes=nodes, routes=routes
    )
    return episodes, routes, play, faults


def _print_seed(seed, episodes, routes, play, faults, folder):
    delays_s = list_delays(play.history)
    stalls_s = [span.end_s - span.start_s for span in play.history.stalls]
    counted = [fault for fault in faults if not fault.is_own]
    print(
        f"seed {seed}: worst delay {max(delays_s.values()):.2f} s,"
        f" {len(counted)} faults, {len(faults) - len(counted)} beside own stalls,"
        f" own stalls {len(stalls_s)} up to {max(stalls_s, default=0):.2f} s,"
        f" {len(play.history.answers)} answers",
        flush=True,
    )
    ended = [m.number for m in play.fleet.machines if m.has_ended_itself]
    if ended:
        print(f"   nodes {ended} ended by themselves, logs: {folder}", flush=True)
    if not faults:
        return
    print("  ", {n: round(d, 2) for n, d in delays_s.items()}, f"routes={routes}")
    for episode in episodes:
        print(f"   {episode}")
    first = {(fault.kind, fault.answer.node): fault for fault in reversed(faults)}
    found = [describe_fault(play, fault) for fault in first.values()]
    lines = [describe_fault(play, fault) for fault in faults]
    for fault in first.values():
        lines += [describe_fault(play, fault), *list_traces(play, fault)]
    pathlib.Path(folder, "faults.txt").write_text("\n".join(lines), "utf-8")
    print(*(f"   {line}" for line in found), f"   logs: {folder}", sep="\n", flush=True)


def main(argv):
    """Play the seeds from the first argument to the second, of so many nodes."""
    first, after = map(int, argv[1:3])
    nodes = int(argv[3]) if len(argv) > 3 else NODES
    for seed in range(first, after):
        folder = tempfile.mkdtemp(prefix=f"config-plays-{seed}-")
        found = asyncio.run(_play_seed(seed, folder, nodes))
        _print_seed(seed, *found, folder)
        play, faults = found[-2:]
        if not faults and not any(m.has_ended_itself for m in play.fleet.machines):
            shutil.rmtree(folder)


if __name__ == "__main__":
    main(sys.argv)
