"""Time until a publication is in force on every node: real processes.

``python -m bench.publication --publications=20``

Each round publishes a changed inventory through two nodes at once, both made from the
same version: exactly one must be accepted and the other told of the conflict. The time
runs from the call until the new version is in force on the last node.
"""

import asyncio
import json
import sys
import uuid

from absl import app, flags

from bench.stats import format_quantiles
from examples.mesh import FOLDER, publish_inventory
from standins.fleet import Fleet, Member, Site, call

__all__ = ["main"]

PLACES = ("baq-norte", "baq-centro", "baq-puerto")
NODES = 9
INVENTORY = (FOLDER / "inventory.toml").read_text(encoding="utf-8")
POLL_S = 0.01
ROUND_TIMEOUT_S = 30.0
TARGET_S = 4.0

FLAGS = flags.FLAGS


async def _publish(member: Member, base_version: int, rules: str) -> int:
    """Publish through a node; return the status of its answer."""
    document = {
        "record_id": uuid.uuid4().hex,
        "base_version": base_version,
        "inventory": INVENTORY,
        "rules": rules,
    }
    status, _ = await call(
        member.operators,
        "/publish",
        method="POST",
        body=json.dumps(document).encode(),
        timeout_s=ROUND_TIMEOUT_S,
    )
    return status


async def _wait_in_force(member: Member, version: int) -> None:
    """Wait until a version, or a later one, is in force on a node."""
    async with asyncio.timeout(ROUND_TIMEOUT_S):
        while await _read_version(member) < version:
            await asyncio.sleep(POLL_S)


async def _read_version(member: Member) -> int:
    status, answer = await call(member.operators, "/status")
    if status != 200:
        return -1
    return json.loads(answer.split(b"\r\n\r\n", 1)[1])["config_version"]


async def _run_round(fleet: Fleet, number: int) -> tuple[float, bool]:
    """Publish once in a race; return the time in force and whether one won."""
    loop = asyncio.get_running_loop()
    base = await _read_version(fleet.members[0])
    racers = (fleet.members[number % NODES], fleet.members[(number + 4) % NODES])
    started_s = loop.time()
    statuses = await asyncio.gather(
        *(
            _publish(member, base, f'partner_header = "X-Partner-{number}-{racer}"')
            for racer, member in enumerate(racers)
        )
    )
    await asyncio.gather(
        *(_wait_in_force(member, base + 1) for member in fleet.members)
    )
    return loop.time() - started_s, sorted(statuses) == [200, 409]


async def _measure() -> int:
    sites = tuple(
        Site(service="hiring", place=PLACES[n % len(PLACES)], region="barranquilla")
        for n in range(NODES)
    )
    async with Fleet(sites=sites, check_grants=frozenset({"hiring"})) as fleet:
        await publish_inventory(fleet)
        for member in fleet.members:
            await _wait_in_force(member, 1)
        rounds = [await _run_round(fleet, n) for n in range(FLAGS.publications)]
    times_ms = [elapsed_s * 1000 for elapsed_s, _ in rounds]
    races = sum(won for _, won in rounds)
    print(f"{NODES} nodes, in force everywhere after ms: {format_quantiles(times_ms)}")
    print(f"races with one winner and one conflict: {races} of {len(rounds)}")
    return 0 if max(times_ms) < TARGET_S * 1000 and races == len(rounds) else 1


def main(arguments: list[str]) -> None:
    """Measure as many publications as the flag says."""
    del arguments
    sys.exit(asyncio.run(_measure()))


if __name__ == "__main__":
    flags.DEFINE_integer("publications", 20, "Publications to measure.")
    app.run(main)
