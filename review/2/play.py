"""Two instances hold the same keys after the node of the last machine was killed."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness import KEYS, has_trouble, now, run_case

LAYOUT = [("desk", "bq-norte"), ("desk", "bq-centro"), ("desk", "bq-puerto")]
STEP_KEYS = 128
POLL_S = 0.05
LIMIT_S = 0.5
WATCHED_S = 15.0
GRANTED_S = 30.0


def list_shared(machines):
    """Return the keys that two instances hold at this moment."""
    return [
        key
        for key in range(0, KEYS, STEP_KEYS)
        if sum(machine.instance.holds(key) for machine in machines) > 1
    ]


async def watch(fleet, machines, longest):
    """Record for how long each key has two holders, without a break."""
    since: dict[int, float] = {}
    until_s = now() + WATCHED_S
    while now() < until_s:
        shared = set(list_shared(machines))
        for key in list(since):
            if key not in shared:
                del since[key]
        for key in shared:
            begun_s = since.setdefault(key, now())
            longest[key] = max(longest.get(key, 0.0), now() - begun_s)
        await asyncio.sleep(POLL_S)
    fleet.record.note(f"keys with two holders: {len(longest)}")


async def ask_all(fleet, machines, stopping):
    """Ask for keys all over the range."""
    number = 0
    while not stopping.is_set():
        machine = machines[number % len(machines)]
        number += 1
        await fleet.ask(machine, f"/list/{number}", key=number * 4_099 % KEYS)
        await asyncio.sleep(POLL_S)


async def wait_granted(fleet, machine):
    """Wait until one instance has been granted all keys beyond MaxHold."""
    until_s = now() + GRANTED_S
    while now() < until_s:
        if all(machine.instance.is_overlong(key) for key in range(0, KEYS, STEP_KEYS)):
            fleet.record.note(f"{machine.instance.name} holds all keys")
            return
        await asyncio.sleep(POLL_S)
    raise TimeoutError("the last instance was not granted all keys")


async def play(fleet):
    """Take two machines away, kill the last node, and add a machine."""
    last, second, third = fleet.machines
    await asyncio.gather(second.remove(), third.remove())
    await wait_granted(fleet, last)
    added = fleet.add_machine("desk", "bq-centro")
    if has_trouble():
        await last.kill_node()
        await asyncio.sleep(0.5)
        await last.start_node()
    await added.start_node()
    await added.start_instance()
    longest: dict[int, float] = {}
    stopping = asyncio.Event()
    asking = asyncio.ensure_future(ask_all(fleet, [last, added], stopping))
    await watch(fleet, [last, added], longest)
    stopping.set()
    await asking
    long = {key: time_s for key, time_s in longest.items() if time_s > LIMIT_S}
    text = (
        f"{len(long)} of {KEYS // STEP_KEYS} keys that were looked at had two "
        f"holders for over {LIMIT_S} s, at most {max(longest.values(), default=0):.1f}"
    )
    return bool(long), text


run_case(pathlib.Path(__file__).resolve().parent, LAYOUT, play)
