"""OWNER: an instance that restarts gets keys that are granted to another one, too."""

import asyncio
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
LONG_DOWN_S = 1.5
SHORT_DOWN_S = 0.02
MIN_GAP_S, MAX_GAP_S = 0.1, 1.5
PAUSE_S = 2.5
ROUNDS = 17
LAYOUT = (*(("bq-norte", "desk"), ("bq-centro", "desk")) * 3, ("bq-norte", "desk")) + (
    ("bq-centro", "records"),
)
"""Seven instances divided by key, so that one is less than 0.15 of them."""


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
    record.write(f"{before} crashed, back after {down_s} s as {instance.instance}")


async def play(record: Record, has_trouble: bool) -> int:
    """Play the case."""
    rng = random.Random(7)
    async with Deployment(record=record, layout=LAYOUT, prepare=prepare) as deployment:
        await asyncio.sleep(2 * HEARTBEAT_S)
        deployment.publish(build_manifest())
        await deployment.wait_served()
        watch = HolderWatch(deployment=deployment, record=record)
        tasks = [asyncio.ensure_future(watch.run())]
        tasks += [
            asyncio.ensure_future(consume(deployment, number))
            for number in range(CONSUMERS)
        ]
        await asyncio.sleep(SETTLE_S)
        if watch.keys:
            record.tell("keys were held twice before the disruption")
            return NOT_RUN
        for _ in range(ROUNDS):
            first, second = rng.sample(deployment.holders, 2)
            if has_trouble:
                await restart(first, LONG_DOWN_S, record)
            await asyncio.sleep(rng.uniform(MIN_GAP_S, MAX_GAP_S))
            if has_trouble:
                await restart(second, SHORT_DOWN_S, record)
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
    return BROKEN if watch.keys else HELD


if __name__ == "__main__":
    run_case(__file__, play)
