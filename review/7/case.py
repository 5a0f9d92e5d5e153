"""OWNER: the next life of an instance gets keys with the last one's fence numbers."""

import asyncio
import collections
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "scene-2"))

from scene import (  # noqa: E402
    BROKEN,
    HEARTBEAT_S,
    HELD,
    HELD_TWICE_S,
    KEYS,
    MS_PER_S,
    NOT_RUN,
    SLICE_KEYS,
    Deployment,
    HolderWatch,
    Instance,
    Machine,
    Record,
    build_manifest,
    check_tasks,
    run_case,
)

SLOTS = 13
MEAN_WORK_S = 0.1
MAX_WORK_S = 0.75
CONSUMERS = 24
SETTLE_S = 5.0
MIN_DOWN_S, MAX_DOWN_S = 0.02, 0.1
MIN_GAP_S, MAX_GAP_S = 0.3, 1.2
PAUSE_S = 1.5
STARTS = 3
ROUNDS = 20
LAYOUT = (*(("bq-norte", "desk"), ("bq-centro", "desk")) * 3, ("bq-norte", "desk")) + (
    ("bq-centro", "records"),
)
"""Seven instances divided by key, so that one is less than 0.15 of them."""


class FenceCheck:
    """Finds grants whose fence number isn't above all with which others had a key.

    Another life of an instance, with another id, is another one. Grants of the same
    keys with the same number are the same grant, and don't count.

    Attributes:
        broken: The grants found: id, first and last key, and fence number.
    """

    def __init__(self, *, record: Record) -> None:
        self.broken: list[tuple[str, int, int, int]] = []
        self._record = record
        self._taken: dict[tuple[int, int, int], set[str]] = collections.defaultdict(set)

    def note_grant(self, instance: str, first: int, last: int, fence: int) -> None:
        """Check and keep a grant that an instance takes."""
        takers = self._taken[first, last, fence]
        if instance in takers:
            return
        for (other_first, other_last, other_fence), others in self._taken.items():
            had = others - {instance} - takers
            is_same_key = other_first <= last and first <= other_last
            if had and is_same_key and other_fence >= fence:
                self.broken.append((instance, first, last, fence))
                self._record.write(
                    f"key {max(first, other_first)} went to {instance} with fence"
                    f" {fence}; {min(had)} had it with fence {other_fence}"
                )
                break
        takers.add(instance)


def prepare(machine: Machine) -> None:
    """Give each instance its slots and the time of its start."""
    machine.instance.slots = SLOTS
    machine.instance.born_ms = int(time.time() * MS_PER_S)


async def consume(deployment: Deployment, number: int) -> None:
    """Send requests, one after the other, until cancelled."""
    rng = random.Random(number)
    count = 0
    while True:
        count += 1
        work_s = min(rng.expovariate(1 / MEAN_WORK_S), MAX_WORK_S)
        answer = await rng.choice(deployment.machines).ask(
            f"/vacancies/{number}-{count}?work={work_s:.3f}",
            request_id=f"{number}-{count}",
            key=rng.randrange(KEYS),
        )
        if answer.status != 200:
            await asyncio.sleep(0.2)


async def restart(instance: Instance, down_s: float, record: Record) -> None:
    """End an instance at once; start it again, with another id and without keys."""
    before = instance.instance
    instance.down_s = down_s
    instance.crash()
    while True:
        await asyncio.sleep(0.01)
        if not instance.is_down:
            break
    record.write(f"{before} crashed, back after {down_s:.3f} s as {instance.instance}")


async def play(record: Record, has_trouble: bool) -> int:
    """Play the case."""
    rng = random.Random(7)
    async with Deployment(record=record, layout=LAYOUT, prepare=prepare) as deployment:
        await asyncio.sleep(2 * HEARTBEAT_S)
        deployment.publish(build_manifest())
        await deployment.wait_served()
        check = FenceCheck(record=record)
        for holder in deployment.holders:
            holder.on_grant = check.note_grant
        watch = HolderWatch(deployment=deployment, record=record)
        tasks = [asyncio.ensure_future(watch.run())]
        tasks += [
            asyncio.ensure_future(consume(deployment, number))
            for number in range(CONSUMERS)
        ]
        await asyncio.sleep(SETTLE_S)
        if watch.keys or check.broken:
            record.tell("the rule was broken before the disruption")
            return NOT_RUN
        for _ in range(ROUNDS):
            instance = rng.choice(deployment.holders)
            for _ in range(STARTS):
                if has_trouble:
                    down_s = rng.uniform(MIN_DOWN_S, MAX_DOWN_S)
                    await restart(instance, down_s, record)
                await asyncio.sleep(rng.uniform(MIN_GAP_S, MAX_GAP_S))
            await asyncio.sleep(PAUSE_S)
        check_tasks(tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    span_s, held, key = watch.longest
    record.tell(
        f"{len(watch.keys)} ranges of {SLICE_KEYS} keys were held by two instances"
        f" for over {HELD_TWICE_S} s; longest {span_s:.2f} s, key {key}, {held}"
    )
    lives = len({broken[0] for broken in check.broken})
    record.tell(
        f"{len(check.broken)} grants, to {lives} instances, with a fence number not"
        " above all with which others had a key of theirs"
    )
    return BROKEN if watch.keys or check.broken else HELD


if __name__ == "__main__":
    run_case(__file__, play)
