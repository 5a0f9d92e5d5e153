"""Runs a small mesh on loopback, loses a VM, and tells how long keys were away.

Starts the log stand-in and, in three data centres, nodes and upstreams of the two
services of ``examples/barranquilla``; publishes the inventory; sends real requests;
kills the VM that owns a key; and sends requests for that key to another node until it
is answered again.
"""

import asyncio
import json
import pathlib
import sys
import uuid

from standins.fleet import Fleet, Member, Site, call

FOLDER = pathlib.Path(__file__).resolve().parent / "barranquilla"
PLACES = ("baq-norte", "baq-centro", "baq-puerto")
REGION = "barranquilla"
HIRING_NODES = 6
RECORDS_NODES = 3
KEYS = 60
MAX_AT_ONCE = 20
START_TIMEOUT_S = 60.0
POLL_S = 0.02
TARGET_S = 2.0


async def run_mesh() -> int:
    """Run the mesh and return the exit status."""
    sites = _list_sites()
    async with Fleet(sites=sites, check_grants=frozenset({"hiring"})) as fleet:
        print(f"started a log, {len(sites)} upstreams and {len(sites)} nodes")
        await publish_inventory(fleet)
        await wait_served(fleet)
        failed = await send_requests(fleet)
        gap_s = await lose_owner(fleet)
    print(f"requests that failed before the loss: {failed}")
    print(f"keys of the lost VM were served again after {gap_s:.2f} s")
    return 0 if failed == 0 and gap_s < TARGET_S else 1


def _list_sites() -> tuple[Site, ...]:
    services = ["hiring"] * HIRING_NODES + ["records"] * RECORDS_NODES
    return tuple(
        Site(service=service, place=PLACES[number % len(PLACES)], region=REGION)
        for number, service in enumerate(services)
    )


async def publish_inventory(fleet: Fleet) -> None:
    """Publish the example's inventory through the operators' command."""
    address = fleet.members[0].operator_address
    command = (
        "publish",
        str(FOLDER / "inventory.toml"),
        str(FOLDER / "rules.toml"),
        f"--node={address}",
    )
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            status, text = await run_ctl(*command)
            if status == 0:
                print(text.strip())
                return
            await asyncio.sleep(POLL_S)


async def run_ctl(*arguments: str) -> tuple[int, str]:
    """Run ``papayatackctl`` and return its status and output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "papayatack.ctl.main",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode or 0, output.decode()


async def wait_served(fleet: Fleet) -> None:
    """Wait until a request for every key is answered."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    async with asyncio.timeout(START_TIMEOUT_S):
        for number in range(KEYS):
            while not await _ask(fleet.members[-1], number):
                await asyncio.sleep(POLL_S)
    print(f"every key served {loop.time() - started_s:.1f} s after the publication")


async def send_requests(fleet: Fleet) -> int:
    """Send a request for every key through every node; return how many failed."""
    at_once = asyncio.Semaphore(MAX_AT_ONCE)

    async def ask(member: Member, number: int) -> bool:
        async with at_once:
            return await _ask(member, number)

    asked = [ask(member, n) for member in fleet.members for n in range(KEYS)]
    answered = await asyncio.gather(*asked)
    print(f"answered {sum(answered)} of {len(answered)} requests through all nodes")
    return len(answered) - sum(answered)


async def lose_owner(fleet: Fleet) -> float:
    """Kill the VM that owns a key; return the seconds until it is served again."""
    loop = asyncio.get_running_loop()
    owner, number = await _find_owner(fleet)
    witness = next(member for member in fleet.members if member is not owner)
    print(f"killing the VM of key {_name_key(number)}, in {owner.site.place}")
    owner.kill()
    killed_s = loop.time()
    async with asyncio.timeout(START_TIMEOUT_S):
        while not await _ask(witness, number, timeout_s=0.5):
            await asyncio.sleep(POLL_S)
    return loop.time() - killed_s


async def _find_owner(fleet: Fleet) -> tuple[Member, int]:
    number = int(uuid.uuid4()) % KEYS
    asked = fleet.members[-1]
    target = f"/explain?service=hiring&key={_name_key(number)}"
    _, answer = await call(asked.operators, target)
    owner = json.loads(answer.split(b"\r\n\r\n", 1)[1])["address"]
    for member in fleet.members:
        if owner == f"127.0.0.1:{member.peers}":
            return member, number
    raise LookupError(f"no node listens at {owner}")


async def _ask(member: Member, number: int, *, timeout_s: float = 5.0) -> bool:
    target = f"/hiring/vacancies/{_name_key(number)}"
    status, _ = await call(member.callers, target, timeout_s=timeout_s)
    return status == 200


def _name_key(number: int) -> str:
    return f"v-{number:05d}"


if __name__ == "__main__":
    sys.exit(asyncio.run(run_mesh()))
